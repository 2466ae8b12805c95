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
	// Health is the primary as its pooler sees it.
	Health Health
	// Row is set until the promoter has shown that it holds the version.
	Row *topology.Group
}

// Promise answers a PromiseRequest.
type Promise struct {
	Group   topology.GroupID
	Version uint64
	Granted bool
	// Position of the promoter's replica; meaningful when ReplicaReachable.
	Position         position.Position
	ReplicaReachable bool
	// Row is the newer row that a refusal rests on, or nil.
	Row *topology.Group
}

// HeartbeatRequest carries the promise requests of one VM to another.
type HeartbeatRequest struct {
	VM          topology.VMID
	Incarnation topology.Incarnation
	// Sequence is unique over all starts of the sending VM.
	Sequence uint64
	Promises []PromiseRequest
}

// HeartbeatResponse answers a HeartbeatRequest.
type HeartbeatResponse struct {
	Sequence uint64
	// Incarnation of the answering VM.
	Incarnation topology.Incarnation
	Promises    []Promise
}

// WithdrawRequest asks a member of an unsettled list to confirm that it promises
// no more under that list. Version 0 asks for the position alone.
type WithdrawRequest struct {
	Group   topology.GroupID
	Version uint64
	// Row is the asker's row, which holds the unsettled list.
	Row *topology.Group
}

// WithdrawResponse answers a WithdrawRequest. What it confirms never becomes
// false again, so late and repeated answers are harmless.
type WithdrawResponse struct {
	Group   topology.GroupID
	Version uint64
	// Withdrawn: the answering VM, in the incarnation of the list or as its
	// successor, promises no more under Version or any earlier one.
	Withdrawn bool
	// LapsesIn counts from the receipt of the answer.
	LapsesIn         time.Duration
	Position         position.Position
	ReplicaReachable bool
}

// ReleaseRightRequest asks a holder to acknowledge nothing more under Version
// and earlier ones.
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

// CommitStatus is how a commit of a row ended.
type CommitStatus int

// How a commit ended.
const (
	// Committed: the row took effect.
	Committed CommitStatus = iota + 1
	// Conflict: another row is in place; Row holds it.
	Conflict
	// Unavailable: this try had no effect (platform.ErrUnavailable).
	Unavailable
	// Unknown: the answer was lost (platform.ErrUnknown).
	Unknown
)

// CommitResult is fed back for each CommitRow.
type CommitResult struct {
	Group    topology.GroupID
	ChangeID string
	Status   CommitStatus
	// Row is the row in place on Conflict.
	Row *topology.Group
}

// RowRead is a row as a strongly consistent platform read showed it.
type RowRead struct {
	Row *topology.Group
	// Began is when the read began, on this VM's clock: the row was the current
	// one at some instant after it. For a row heard from a peer it is zero, and
	// nothing is concluded about its being current.
	Began mono.Time
}

// Action is what the caller must carry out.
type Action interface{ action() }

// SendHeartbeat sends Request to VM; the answer goes to Holder.ObserveHeartbeat.
type SendHeartbeat struct {
	To      topology.VMID
	Request HeartbeatRequest
}

// SendWithdraw sends Request to VM; the answer goes to ObserveWithdraw of the
// table that asked.
type SendWithdraw struct {
	To      topology.VMID
	Request WithdrawRequest
}

// SendRelease sends Request; the answer goes to Promoter.ObserveRelease.
type SendRelease struct {
	To      topology.VMID
	Request ReleaseRightRequest
}

// CommitRow replaces the row of version Row.Version-1 by compare-and-set; the
// result goes to ObserveCommit of the table that asked.
type CommitRow struct{ Row *topology.Group }

// ReadRow reads the row from the platform; it goes to ObserveRow of both tables.
type ReadRow struct{ Group topology.GroupID }

// FenceReplica stops the replica's replication and makes it refuse terms below
// Term; its position then goes to Promoter.ObserveFenced.
type FenceReplica struct {
	Group  topology.GroupID
	Target topology.TargetID
	Term   uint64
	// Began goes back with the answer.
	Began mono.Time
}

// PromoteReplica makes the replica the primary of Term. The row says so already,
// so it is repeated by whoever pools the target until it succeeds.
type PromoteReplica struct {
	Group  topology.GroupID
	Target topology.TargetID
	Term   uint64
}

// FollowPrimary undoes a fence whose promotion was given up.
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
