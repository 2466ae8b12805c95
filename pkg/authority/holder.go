package authority

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Right is the permission to send one write to the primary. It must be checked
// with Confirm just before the write is acknowledged.
type Right struct {
	Group   topology.GroupID
	Term    uint64
	Version uint64
	// WaitFor lists the replicas that a write must wait for if its class waits for
	// replicas. If it is empty, such writes must be refused.
	WaitFor []topology.TargetID
	// Until is when the right ends if no promise is renewed.
	Until mono.Time
}

// Holder is the table of groups whose primary this VM pools. It is not safe for
// concurrent use.
type Holder struct {
	self   topology.VM
	opts   Options
	groups map[topology.GroupID]*holderGroup
	sent   map[topology.VMID]*sentTimes
	// released is kept across Drop. Failure: the VM releases its right while it does
	// not pool the group, pools it again, and then receives a promise that was given
	// before the release.
	released          map[topology.GroupID]release
	sequence          uint64
	changes           uint64
	lastHeartbeat     mono.Time
	heartbeatSent     bool
	lastFastHeartbeat mono.Time
	lastTick          mono.Time
}

// basis is one version of the row that a right may be based on.
type basis struct {
	row *topology.Group
	// asOf is when the latest platform read began that showed the version as
	// current. It is valid if confirmed is set.
	asOf      mono.Time
	confirmed bool
}

// release is the newest version whose right this VM released, and when.
type release struct {
	version uint64
	at      mono.Time
}

type promiseKey struct {
	vm      topology.VMID
	inc     topology.Incarnation
	version uint64
}

// holderGroup is the state of one group of the Holder.
type holderGroup struct {
	target topology.TargetID
	// now is the current version of the row.
	now basis
	// learnedAt is when this VM learned of the current row.
	learnedAt mono.Time
	// older holds the earlier versions of the term whose promises may still be
	// valid, newest first.
	older    []basis
	promises map[promiseKey]mono.Time
	// lastGranted is, by VM, when the latest request that it granted was sent, or
	// when the version was learned if it has granted none yet.
	lastGranted map[topology.VMID]mono.Time
	// excluded is, by VM, until when a VM that was removed from the list for its
	// silence is not added again.
	excluded     map[topology.VMID]mono.Time
	health       Health
	heartbeatDue bool
	drain        *drain
	proposal     *proposal
	settlement   settlement
	candidates   []topology.Promoter
	// lastCandidates are the candidates at the last tick, which have been the same
	// since candidatesSince.
	lastCandidates  []topology.Promoter
	candidatesSince mono.Time
	replicas        map[topology.TargetID]replicaView
	primary         []primarySample
	readAsked       mono.Time
	// confirmedTerm is the latest term for which the target has confirmed that it is
	// the primary.
	confirmedTerm uint64
	promoteAsked  mono.Time
}

// sentTimes records, by sequence number, when the latest heartbeats to one VM were
// sent.
type sentTimes struct {
	at    map[uint64]mono.Time
	order []uint64
}

// keptHeartbeats is how many heartbeats are recorded for each VM. Older ones were
// sent longer ago than the lease.
const keptHeartbeats = 32

// NewHolder returns an empty table. Sequence numbers of heartbeats contain the
// incarnation: an answer to an earlier incarnation of this VM must not be taken as
// an answer to a later request, which would prolong the promise.
func NewHolder(self topology.VM, opts Options) *Holder {
	return &Holder{
		self:     self,
		opts:     opts,
		groups:   map[topology.GroupID]*holderGroup{},
		sent:     map[topology.VMID]*sentTimes{},
		released: map[topology.GroupID]release{},
		sequence: uint64(self.Incarnation) << 32,
	}
}

// Serve makes this VM a pooler of the group's target. The VM may acknowledge writes
// while the target is the primary of the row and the promises are valid.
func (h *Holder) Serve(group topology.GroupID, target topology.TargetID) {
	if g, ok := h.groups[group]; ok && g.target == target {
		return
	}
	h.groups[group] = &holderGroup{
		target:      target,
		promises:    map[promiseKey]mono.Time{},
		lastGranted: map[topology.VMID]mono.Time{},
		excluded:    map[topology.VMID]mono.Time{},
		replicas:    map[topology.TargetID]replicaView{},
		settlement:  newSettlement(),
	}
}

// Drop ends this VM's role as a pooler of the group.
func (h *Holder) Drop(group topology.GroupID) { delete(h.groups, group) }

// Row returns the newest row of the group that the table knows, or nil.
func (h *Holder) Row(group topology.GroupID) *topology.Group {
	g, ok := h.groups[group]
	if !ok {
		return nil
	}
	return g.now.row
}

// ObserveRow records a row that was read from the platform or received from a peer.
func (h *Holder) ObserveRow(read RowRead, now mono.Time) {
	if read.Row == nil {
		return
	}
	g, ok := h.groups[read.Row.ID]
	if !ok {
		return
	}
	h.adopt(g, read.Row, now)
	if read.Began == 0 || g.now.row.Version != read.Row.Version {
		return
	}
	if !g.now.confirmed || g.now.asOf.Before(read.Began) {
		g.now.asOf = read.Began
		g.now.confirmed = true
	}
}

// adopt replaces the row by a newer one. The previous row stays usable within its
// term: its promises are still valid, so the right does not end while promises
// under the new version are being requested.
func (h *Holder) adopt(g *holderGroup, row *topology.Group, now mono.Time) {
	if g.now.row != nil && row.Version <= g.now.row.Version {
		return
	}
	h.opts.checkSuccessor(g.now.row, row)
	g.older = h.keptBasis(g, row, now)
	if g.now.row == nil || g.now.row.Term != row.Term {
		g.drain = nil
		g.settlement = newSettlement()
		g.replicas = map[topology.TargetID]replicaView{}
		g.primary = nil
	}
	g.now = basis{row: row.Clone()}
	g.learnedAt = now
	if own := g.proposal; own != nil && own.row.ChangeID == row.ChangeID {
		// The answer to this VM's own commit was lost, and the row came from a peer.
		// The commit took effect after its first attempt, so the row was current at
		// some time after that, and no platform read is needed to show it.
		g.now.asOf = own.firstSent
		g.now.confirmed = true
	}
	g.settlement.note(row, now)
	g.lastGranted = map[topology.VMID]mono.Time{}
	for _, p := range row.Promoters {
		g.lastGranted[p.VM] = now
	}
	for k := range g.promises {
		if !g.reliesOn(k.version) {
			delete(g.promises, k)
		}
	}
	if g.proposal != nil && g.proposal.supersededBy(row) {
		g.proposal = nil
	}
	g.heartbeatDue = true
}

// rightEnd returns when the right under one version ends, and whether it is valid
// at now.
func (h *Holder) rightEnd(g *holderGroup, r basis, now mono.Time) (mono.Time, bool) {
	if r.row == nil || !r.confirmed || r.row.Primary != g.target || r.row.Version <= h.released[r.row.ID].version {
		return 0, false
	}
	// A VM that waits out an unsettled list of which no member can answer relies on
	// the right ending MaxOutage after asOf.
	end := r.asOf.Add(h.opts.MaxOutage)
	for _, p := range r.row.Promoters {
		sent, ok := h.promiseOf(g, p, r.row.Version)
		if !ok {
			return 0, false
		}
		end = min(end, sent.Add(h.opts.Lease))
	}
	return end, end.After(now)
}

// promiseOf returns when the request for the promise was sent. A promise counts
// for its own version only: a promoter that promised under a newer version may
// have let the older promise lapse and confirmed that to others.
func (h *Holder) promiseOf(g *holderGroup, p topology.Promoter, version uint64) (mono.Time, bool) {
	sent, ok := g.promises[promiseKey{p.VM, p.Incarnation, version}]
	if !h.opts.faults.anyVersion {
		return sent, ok
	}
	for k, at := range g.promises {
		if k.vm == p.VM && k.inc == p.Incarnation {
			sent, ok = max(sent, at), true
		}
	}
	return sent, ok
}

// Right returns the permission to send a write of the term to the primary now.
// Errors: WrongPooler (this VM does not pool the group or knows no row of it),
// TermRefused (the group is in another term), NoRight (promises are missing),
// Leaving (a switchover is in progress). No write was sent in any of these cases.
func (h *Holder) Right(group topology.GroupID, term uint64, now mono.Time) (Right, *result.Error) {
	g, ok := h.groups[group]
	if !ok || g.now.row == nil {
		return Right{}, result.New(result.WrongPooler, "group %s is not pooled here", group).After(h.opts.Heartbeat)
	}
	if g.now.row.Term != term {
		return Right{}, result.New(result.TermRefused, "group %s is in term %d, not %d", group, g.now.row.Term, term)
	}
	if g.drain != nil {
		return Right{}, result.New(result.Leaving, "group %s: switchover", group).After(h.opts.Heartbeat)
	}
	for _, r := range g.basis() {
		if end, ok := h.rightEnd(g, r, now); ok {
			return Right{Group: group, Term: term, Version: r.row.Version, WaitFor: Synced(r.row.Promoters), Until: end}, nil
		}
	}
	return Right{}, result.New(result.NoRight, "group %s: promises are missing", group).After(h.opts.Heartbeat)
}

// Confirm returns nil if a write that ran under the right may be acknowledged at
// now. waited reports whether the write waited for right.WaitFor. Errors:
// OutcomeUnknown (the right has ended), NotReplicated (the write did not wait for a
// replica that has become synced since).
//
// Failure: the holder is paused between Right and the completion of the write, and
// another replica is promoted in the meantime. The holder's clock ran on during the
// pause, so its promises have lapsed and Confirm refuses.
func (h *Holder) Confirm(right Right, waited bool, now mono.Time) *result.Error {
	if h.opts.faults.noRecheck {
		return nil
	}
	g, ok := h.groups[right.Group]
	if !ok || g.now.row == nil || g.now.row.Term != right.Term {
		return result.New(result.OutcomeUnknown, "group %s left term %d", right.Group, right.Term)
	}
	code := result.OutcomeUnknown
	for _, r := range g.basis() {
		if _, ok := h.rightEnd(g, r, now); !ok {
			continue
		}
		if !waited || h.opts.faults.confirmWithoutWaits || subset(Synced(r.row.Promoters), right.WaitFor) {
			return nil
		}
		code = result.NotReplicated
	}
	return result.New(code, "group %s: the right of version %d has ended", right.Group, right.Version)
}

// ObserveHeartbeat records the answer of a VM. Its promises count from when the
// request was sent. Failure: the request or the answer is delayed in a buffer while
// the promise lapses at the promoter; counted from receipt, the right would outlast
// the promise.
func (h *Holder) ObserveHeartbeat(from topology.VMID, resp HeartbeatResponse, now mono.Time) {
	s, ok := h.sent[from]
	if !ok {
		return
	}
	sent, ok := s.at[resp.Sequence]
	if !ok {
		return
	}
	if h.opts.faults.countFromReceipt {
		sent = now
	}
	for _, p := range resp.Promises {
		if g, ok := h.groups[p.Group]; ok {
			h.observePromise(g, from, resp.Incarnation, p, sent, now)
		}
	}
}

func (h *Holder) observePromise(g *holderGroup, from topology.VMID, inc topology.Incarnation, p Promise, sent, now mono.Time) {
	if p.Row != nil {
		h.adopt(g, p.Row, now)
	}
	if g.now.row == nil {
		return
	}
	if h.opts.faults.keepOldIncarnation {
		inc = registered(g.now.row, from, inc)
	}
	if e, ok := entryOf(g.now.row.Promoters, from, inc); ok {
		g.observeReplica(e.Replica, p, now)
	}
	if !p.Granted {
		return
	}
	key := promiseKey{from, inc, p.Version}
	if old, ok := g.promises[key]; !ok || old.Before(sent) {
		g.promises[key] = sent
	}
	_, current := entryOf(g.now.row.Promoters, from, inc)
	if current && p.Version == g.now.row.Version && g.lastGranted[from].Before(sent) {
		g.lastGranted[from] = sent
	}
}

// registered implements the planted mistake keepOldIncarnation: it replaces the
// incarnation of an answer by the one in the list.
func registered(row *topology.Group, vm topology.VMID, inc topology.Incarnation) topology.Incarnation {
	for _, p := range row.Promoters {
		if p.VM == vm {
			return p.Incarnation
		}
	}
	return inc
}
