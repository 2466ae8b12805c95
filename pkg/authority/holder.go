package authority

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Right is the leave to send one write to the primary. It must be confirmed
// just before the write is acknowledged.
type Right struct {
	Group   topology.GroupID
	Term    uint64
	Version uint64
	// WaitFor are the replicas that a waiting write must wait for. Empty: refuse
	// classes that wait.
	WaitFor []topology.TargetID
	// Until is when the right ends unless promises are renewed.
	Until mono.Time
}

// Holder is the table of groups whose primary this VM pools. Not safe for
// concurrent use.
type Holder struct {
	self   topology.VM
	opts   Options
	groups map[topology.GroupID]*held
	sent   map[topology.VMID]*sentTimes
	// released outlives Drop. Failure: the VM releases while it does not pool the
	// group, pools it again, and a promise given before arrives.
	released  map[topology.GroupID]release
	sequence  uint64
	changes   uint64
	lastBeat  mono.Time
	beaten    bool
	lastHurry mono.Time
	ticked    mono.Time
}

// relied is one version of the row that a right may rest on.
type relied struct {
	row *topology.Group
	// asOf is when a platform read began that showed the version as current.
	asOf  mono.Time
	known bool
}

// release is the newest version whose right this VM gave up.
type release struct {
	version uint64
	at      mono.Time
}

type promiseKey struct {
	vm      topology.VMID
	inc     topology.Incarnation
	version uint64
}

// held is one group of the Holder.
type held struct {
	target topology.TargetID
	now    relied
	// learned is when the row became known here.
	learned mono.Time
	// older holds earlier versions of the term under which promises may still
	// stand, the newest first.
	older    []relied
	promises map[promiseKey]mono.Time
	// granted tells, by VM, when its latest granted request was sent; before the
	// first grant, when the version was learned.
	granted map[topology.VMID]mono.Time
	// shunned VMs left the list for silence and stay out until then.
	shunned    map[topology.VMID]mono.Time
	health     Health
	urgent     bool
	drain      *drain
	proposal   *proposal
	settlement settlement
	candidates []topology.Promoter
	// viewed are the candidates at the last tick, and since when.
	viewed      []topology.Promoter
	viewedSince mono.Time
	replicas    map[topology.TargetID]replicaView
	primary     []primarySample
	readAsked   mono.Time
	// inTerm is the term in which the target has confirmed to be the primary.
	inTerm       uint64
	promoteAsked mono.Time
}

// sentTimes remembers when the latest heartbeats to one VM were sent.
type sentTimes struct {
	at    map[uint64]mono.Time
	order []uint64
}

// keptHeartbeats bounds the remembered heartbeats of a VM; older ones than these
// have outlived the lease.
const keptHeartbeats = 32

// NewHolder returns an empty table. The sequence of heartbeats starts at the
// incarnation: an answer to an earlier start of this VM must not count as an
// answer to a later request of this one, which would prolong the promise.
func NewHolder(self topology.VM, opts Options) *Holder {
	return &Holder{
		self:     self,
		opts:     opts,
		groups:   map[topology.GroupID]*held{},
		sent:     map[topology.VMID]*sentTimes{},
		released: map[topology.GroupID]release{},
		sequence: uint64(self.Incarnation) << 32,
	}
}

// Serve makes this VM a pooler of the group's target. It may acknowledge while
// the target is the primary of the row and the promises stand.
func (h *Holder) Serve(group topology.GroupID, target topology.TargetID) {
	if g, ok := h.groups[group]; ok && g.target == target {
		return
	}
	h.groups[group] = &held{
		target:     target,
		promises:   map[promiseKey]mono.Time{},
		granted:    map[topology.VMID]mono.Time{},
		shunned:    map[topology.VMID]mono.Time{},
		replicas:   map[topology.TargetID]replicaView{},
		settlement: newSettlement(),
	}
}

// Drop ends this VM's part as a pooler of the group.
func (h *Holder) Drop(group topology.GroupID) { delete(h.groups, group) }

// Row returns the newest row of the group that the table knows, or nil.
func (h *Holder) Row(group topology.GroupID) *topology.Group {
	g, ok := h.groups[group]
	if !ok {
		return nil
	}
	return g.now.row
}

// ObserveRow takes a row read from the platform or heard from a peer.
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
	if !g.now.known || g.now.asOf.Before(read.Began) {
		g.now.asOf = read.Began
		g.now.known = true
	}
}

// adopt replaces the row by a newer one. The row before stays usable within its
// term: its promises still stand, so the right need not end while those under
// the new version are asked for.
func (h *Holder) adopt(g *held, row *topology.Group, now mono.Time) {
	if g.now.row != nil && row.Version <= g.now.row.Version {
		return
	}
	h.opts.checkSuccessor(g.now.row, row)
	g.older = h.stillRelied(g, row, now)
	if g.now.row == nil || g.now.row.Term != row.Term {
		g.drain = nil
		g.settlement = newSettlement()
		g.replicas = map[topology.TargetID]replicaView{}
		g.primary = nil
	}
	g.now = relied{row: row.Clone()}
	g.learned = now
	if own := g.proposal; own != nil && own.row.ChangeID == row.ChangeID {
		// The answer to this VM's own commit was lost, and a peer brought the row:
		// it was the current one after the first try, with no platform to ask.
		g.now.asOf = own.first
		g.now.known = true
	}
	g.settlement.note(row, now)
	g.granted = map[topology.VMID]mono.Time{}
	for _, p := range row.Promoters {
		g.granted[p.VM] = now
	}
	for k := range g.promises {
		if !g.reliesOn(k.version) {
			delete(g.promises, k)
		}
	}
	if g.proposal != nil && g.proposal.settledBy(row) {
		g.proposal = nil
	}
	g.urgent = true
}

// until returns when the right under one version ends, and whether it stands.
func (h *Holder) until(g *held, r relied, now mono.Time) (mono.Time, bool) {
	if r.row == nil || !r.known || r.row.Primary != g.target || r.row.Version <= h.released[r.row.ID].version {
		return 0, false
	}
	// MaxOutage: those who wait for the end of a list that nobody can speak for
	// count on this.
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
// for its own version only: whoever promised a newer one may have let the older
// one lapse, and said so.
func (h *Holder) promiseOf(g *held, p topology.Promoter, version uint64) (mono.Time, bool) {
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

// Right tells whether a write of the term may go to the primary now. Errors:
// WrongPooler (another VM pools the target), TermRefused (another term), NoRight
// (promises missing), Leaving (a switchover is under way); each means that nothing
// was sent.
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
	for _, r := range g.relied() {
		if end, ok := h.until(g, r, now); ok {
			return Right{Group: group, Term: term, Version: r.row.Version, WaitFor: Synced(r.row.Promoters), Until: end}, nil
		}
	}
	return Right{}, result.New(result.NoRight, "group %s: promises are missing", group).After(h.opts.Heartbeat)
}

// Confirm tells whether a write that ran under the right may be acknowledged at
// now; waited says that it waited for right.WaitFor. Errors: OutcomeUnknown (the
// right ended), NotReplicated (it did not wait for a replica that counts by now).
//
// Failure: the holder was paused between the check and the completion, and a
// promotion went by. Its own clock has run on, so the promises have lapsed here.
func (h *Holder) Confirm(right Right, waited bool, now mono.Time) *result.Error {
	if h.opts.faults.noRecheck {
		return nil
	}
	g, ok := h.groups[right.Group]
	if !ok || g.now.row == nil || g.now.row.Term != right.Term {
		return result.New(result.OutcomeUnknown, "group %s left term %d", right.Group, right.Term)
	}
	code := result.OutcomeUnknown
	for _, r := range g.relied() {
		if _, ok := h.until(g, r, now); !ok {
			continue
		}
		if !waited || h.opts.faults.confirmWithoutWaits || subset(Synced(r.row.Promoters), right.WaitFor) {
			return nil
		}
		code = result.NotReplicated
	}
	return result.New(code, "group %s: the right of version %d has ended", right.Group, right.Version)
}

// ObserveHeartbeat takes the answer of a VM. It counts from the instant at which
// its request was sent. Failure: the request or the answer lay in a buffer while
// the promoter's own count ran out; counted from receipt, the right would outlast
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

func (h *Holder) observePromise(g *held, from topology.VMID, inc topology.Incarnation, p Promise, sent, now mono.Time) {
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
	if current && p.Version == g.now.row.Version && g.granted[from].Before(sent) {
		g.granted[from] = sent
	}
}

// registered is the planted mistake that takes any start of a VM for the one in
// the list.
func registered(row *topology.Group, vm topology.VMID, inc topology.Incarnation) topology.Incarnation {
	for _, p := range row.Promoters {
		if p.VM == vm {
			return p.Incarnation
		}
	}
	return inc
}
