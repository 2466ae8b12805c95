package authority

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// PromiseRequest asks for a promise under one version of a group's row.
type PromiseRequest struct {
	Group   topology.GroupID
	Version uint64
	// Health is the state of the primary as observed by its pooler.
	Health Health
	// Row is set until the promoter has given a promise under the version.
	Row *topology.Group
}

// Promise answers a PromiseRequest.
type Promise struct {
	Group   topology.GroupID
	Version uint64
	Granted bool
	// Position is the position of the promoter's replica. It is valid if
	// ReplicaReachable is set.
	Position         position.Position
	ReplicaReachable bool
	// Row is the newer row because of which the promise was refused, or nil.
	Row *topology.Group
}

// HeartbeatRequest contains the promise requests from one VM to another.
type HeartbeatRequest struct {
	VM          topology.VMID
	Incarnation topology.Incarnation
	// Sequence is unique across all incarnations of the sending VM.
	Sequence uint64
	Promises []PromiseRequest
}

// HeartbeatResponse answers a HeartbeatRequest.
type HeartbeatResponse struct {
	Sequence uint64
	// Incarnation is the incarnation of the answering VM.
	Incarnation topology.Incarnation
	Promises    []Promise
}

// WithdrawRequest asks a member of an unsettled list to confirm that it gives no
// more promises under that list. Version 0 requests the position only.
type WithdrawRequest struct {
	Group   topology.GroupID
	Version uint64
	// Row is the sender's row, which contains the unsettled list.
	Row *topology.Group
}

// WithdrawResponse answers a WithdrawRequest. A confirmation stays true for good, so
// late and duplicate answers are harmless.
type WithdrawResponse struct {
	Group   topology.GroupID
	Version uint64
	// Withdrawn reports that the answering VM gives no more promises under Version
	// or any earlier one. The VM answers as the listed incarnation or as a later one.
	Withdrawn bool
	// LapsesIn is the time until the VM's last promise has lapsed, counted from the
	// receipt of the answer.
	LapsesIn         time.Duration
	Position         position.Position
	ReplicaReachable bool
}

// ReleaseRightRequest asks a holder to acknowledge no more writes under Version and
// earlier versions.
type ReleaseRightRequest struct {
	Group   topology.GroupID
	Version uint64
}

// ReleaseRightResponse answers a ReleaseRightRequest.
type ReleaseRightResponse struct {
	Group    topology.GroupID
	Version  uint64
	Released bool
}

// CommitStatus is the result of a commit of a row.
type CommitStatus int

// Results of a commit.
const (
	// Committed means that the row took effect.
	Committed CommitStatus = iota + 1
	// Conflict means that another row is stored, which is in CommitResult.Row.
	Conflict
	// Unavailable means that this attempt had no effect (platform.ErrUnavailable).
	Unavailable
	// Unknown means that the answer was lost (platform.ErrUnknown).
	Unknown
)

// CommitResult is the result of a CommitRow; it goes to ObserveCommit.
type CommitResult struct {
	Group    topology.GroupID
	ChangeID string
	Status   CommitStatus
	// Row is the stored row if Status is Conflict.
	Row *topology.Group
}

// RowRead is a row from a strongly consistent platform read or from a peer.
type RowRead struct {
	Row *topology.Group
	// Began is when the read began, on this VM's clock: the row was current at some
	// time after it. It is zero for a row received from a peer, which need not be
	// current.
	Began mono.Time
}

// Action is an operation that the caller must carry out.
type Action interface{ action() }

// SendHeartbeat sends Request to the VM To; the answer goes to
// Holder.ObserveHeartbeat.
type SendHeartbeat struct {
	To      topology.VMID
	Request HeartbeatRequest
}

// SendWithdraw sends Request to the VM To; the answer goes to ObserveWithdraw of the
// table that returned the action.
type SendWithdraw struct {
	To      topology.VMID
	Request WithdrawRequest
}

// SendRelease sends Request to the VM To; the answer goes to Promoter.ObserveRelease.
type SendRelease struct {
	To      topology.VMID
	Request ReleaseRightRequest
}

// CommitRow replaces the row of version Row.Version-1 by compare-and-set; the result
// goes to ObserveCommit of the table that returned the action.
type CommitRow struct{ Row *topology.Group }

// ReadRow reads the row from the platform; the row goes to ObserveRow of Holder and
// Promoter.
type ReadRow struct{ Group topology.GroupID }

// FenceReplica stops the replica's replication and makes it refuse terms below
// Term; its position then goes to Promoter.ObserveFenced.
type FenceReplica struct {
	Group  topology.GroupID
	Target topology.TargetID
	Term   uint64
	// Began is when the action was returned. It is passed back with the answer.
	Began mono.Time
}

// PromoteReplica makes the replica the primary of Term. The row already names it as
// the primary, so the VM that pools the target repeats this until it succeeds.
type PromoteReplica struct {
	Group  topology.GroupID
	Target topology.TargetID
	Term   uint64
}

// FollowPrimary makes the replica follow the row's primary again, after a promotion
// that fenced it was given up.
type FollowPrimary struct {
	Group  topology.GroupID
	Target topology.TargetID
}

func (SendHeartbeat) action()  {}
func (SendWithdraw) action()   {}
func (SendRelease) action()    {}
func (CommitRow) action()      {}
func (ReadRow) action()        {}
func (FenceReplica) action()   {}
func (PromoteReplica) action() {}
func (FollowPrimary) action()  {}
