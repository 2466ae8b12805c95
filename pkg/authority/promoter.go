package authority

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Promoter is the table of groups in which this VM gives promises and may promote its
// replica. It is not safe for concurrent use.
type Promoter struct {
	self    topology.VM
	opts    Options
	rand    *rand.Rand
	started mono.Time
	groups  map[topology.GroupID]*promoterGroup
	changes uint64
}

// grant is a promise that this VM gave at the time at and that may not have lapsed
// yet.
type grant struct {
	holder  topology.VMID
	version uint64
	at      mono.Time
}

// promoterGroup is the state of one group of the Promoter.
type promoterGroup struct {
	row     *topology.Group
	replica topology.TargetID
	grants  []grant
	// withdrawn is the newest version under which, as under earlier ones, this VM
	// gives no more promises.
	withdrawn uint64
	attempt   *attempt
	// settlement is kept across attempts, since its confirmations stay true.
	settlement     settlement
	suspected      bool
	suspectedSince mono.Time
	health         Health
	heartbeatAt    mono.Time
	promotions     []mono.Time
	status         ReplicaStatus
	joining        *proposal
	// removals counts how often this VM was removed from the list in this term.
	removals int
	// joinAt is the earliest time at which this VM may list itself.
	joinAt    mono.Time
	notBefore mono.Time
	positions map[topology.VMID]position.Position
}

// NewPromoter returns an empty table for a VM that started at started.
func NewPromoter(self topology.VM, opts Options, rng *rand.Rand, started mono.Time) *Promoter {
	return &Promoter{self: self, opts: opts, rand: rng, started: started, groups: map[topology.GroupID]*promoterGroup{}}
}

// SetReplica sets the replica of the group for which this VM answers and which it may
// promote. The VM takes part once the group's list contains its current incarnation.
func (p *Promoter) SetReplica(group topology.GroupID, replica topology.TargetID) {
	s := p.promoterGroup(group)
	if s.replica != replica {
		s.status = ReplicaStatus{} // The known status is that of the previous replica.
	}
	s.replica = replica
}

func (p *Promoter) promoterGroup(group topology.GroupID) *promoterGroup {
	s, ok := p.groups[group]
	if !ok {
		s = &promoterGroup{settlement: newSettlement(), positions: map[topology.VMID]position.Position{}}
		p.groups[group] = s
	}
	return s
}

// Row returns the newest row of the group that the table knows, or nil.
func (p *Promoter) Row(group topology.GroupID) *topology.Group {
	if s, ok := p.groups[group]; ok {
		return s.row
	}
	return nil
}

// ObserveRow records a row that was read from the platform or received from a peer.
func (p *Promoter) ObserveRow(read RowRead, now mono.Time) {
	if read.Row == nil {
		return
	}
	s := p.promoterGroup(read.Row.ID)
	p.adopt(s, read.Row, now)
	if s.attempt != nil && read.Began != 0 && !read.Began.Before(s.attempt.began) && s.row.Version == read.Row.Version {
		s.attempt.rowFresh = true
	}
}

// adopt replaces the row by a newer one. After this, no promise under an older
// version is given.
func (p *Promoter) adopt(s *promoterGroup, row *topology.Group, now mono.Time) {
	if s.row != nil && row.Version <= s.row.Version {
		return
	}
	p.countRemovals(s, row)
	p.opts.checkSuccessor(s.row, row)
	if s.row != nil && row.Term > s.row.Term {
		s.promotions = append(s.promotions, now)
		s.suspected = false
		s.settlement = newSettlement()
	}
	s.row = row.Clone()
	s.settlement.note(row, now)
	p.delayJoin(s, now)
	if s.attempt != nil {
		s.attempt.superseded = true
	}
	if s.joining != nil && s.joining.supersededBy(row) {
		s.joining = nil
	}
}

// ReplicaStatus is the status that a replica reports.
type ReplicaStatus struct {
	Reachable bool
	// Term and Primary are what the replica follows.
	Term     uint64
	Primary  topology.TargetID
	Position position.Position
}

// ObserveReplica records the status of the replica that this VM answers for. The status
// of any other replica is ignored. Failure: a data centre is lost, and a VM elsewhere
// answers for the replica there while it also pools the group's other replica. The status
// of the live replica was taken for that of the lost one, which therefore stayed synced,
// and each write waited four seconds for it.
func (p *Promoter) ObserveReplica(group topology.GroupID, replica topology.TargetID, st ReplicaStatus) {
	if s := p.promoterGroup(group); s.replica == replica {
		s.status = st
	}
}

// follows reports whether the replica follows the row's primary. Failure: a former
// primary that came back has a position of its own that is greater than the new
// primary's, and would count as caught up.
func (s *promoterGroup) follows() bool {
	return s.status.Reachable && s.row != nil && s.status.Term == s.row.Term && s.status.Primary == s.row.Primary
}

// Promoting reports whether this VM is promoting its replica. If it is not, a
// replica that is still fenced must follow the row's primary again.
func (p *Promoter) Promoting(group topology.GroupID) bool {
	s, ok := p.groups[group]
	return ok && s.attempt != nil
}

// ownEntry returns the entry of this incarnation of the VM.
func (p *Promoter) ownEntry(list []topology.Promoter) (topology.Promoter, bool) {
	if p.opts.faults.keepOldIncarnation {
		for _, e := range list {
			if e.VM == p.self.ID {
				return e, true
			}
		}
	}
	return entryOf(list, p.self.ID, p.self.Incarnation)
}

// HandleHeartbeat answers a heartbeat and grants the promises that may be given.
func (p *Promoter) HandleHeartbeat(req HeartbeatRequest, now mono.Time) HeartbeatResponse {
	resp := HeartbeatResponse{Sequence: req.Sequence, Incarnation: p.self.Incarnation}
	for _, r := range req.Promises {
		resp.Promises = append(resp.Promises, p.promise(req.VM, r, now))
	}
	return resp
}

func (p *Promoter) promise(holder topology.VMID, r PromiseRequest, now mono.Time) Promise {
	s := p.promoterGroup(r.Group)
	if r.Row != nil {
		p.adopt(s, r.Row, now)
	}
	out := Promise{Group: r.Group, Version: r.Version, Position: s.status.Position, ReplicaReachable: s.follows()}
	if s.row == nil {
		return out
	}
	if s.row.Version > r.Version {
		out.Row = s.row.Clone()
		return out
	}
	_, registered := p.ownEntry(s.row.Promoters)
	if s.row.Version != r.Version || !registered {
		return out
	}
	s.health = r.Health
	s.heartbeatAt = now
	if s.withdrawn >= r.Version {
		return out
	}
	out.Granted = true
	s.addGrant(grant{holder: holder, version: r.Version, at: now}, p.opts.stretched(p.opts.Lease))
	return out
}

// addGrant records the latest grant for its holder and version, and removes lapsed
// grants.
func (s *promoterGroup) addGrant(g grant, lasts time.Duration) {
	s.grants = slices.DeleteFunc(s.grants, func(o grant) bool {
		same := o.holder == g.holder && o.version == g.version
		return same || g.at.Sub(o.at) > lasts
	})
	s.grants = append(s.grants, g)
}

// lapseTime returns when the last promise under the version or an earlier one
// lapses, or zero if none was recorded.
func (p *Promoter) lapseTime(s *promoterGroup, version uint64) mono.Time {
	var end mono.Time
	if p.opts.faults.skipLapse {
		return end
	}
	for _, g := range s.grants {
		if g.version <= version {
			end = max(end, g.at.Add(p.opts.stretched(p.opts.Lease)))
		}
	}
	return end
}

// HandleWithdraw answers whether this VM gives no more promises under the version,
// and when those that it gave will have lapsed.
func (p *Promoter) HandleWithdraw(req WithdrawRequest, now mono.Time) WithdrawResponse {
	s := p.promoterGroup(req.Group)
	if req.Row != nil {
		p.adopt(s, req.Row, now)
	}
	out := WithdrawResponse{Group: req.Group, Version: req.Version, Position: s.status.Position, ReplicaReachable: s.follows()}
	if s.row == nil || req.Row == nil || req.Version == 0 {
		return out
	}
	list := listOf(req.Row, req.Version)
	end := p.lapseTime(s, req.Version)
	_, own := p.ownEntry(list)
	if !own {
		// If the list names an earlier incarnation of this VM, that one has ended, and
		// all of its promises were given before this one started.
		if !p.isSuccessor(list) {
			return out
		}
		end = max(end, p.started.Add(p.opts.stretched(p.opts.Lease)))
	}
	// A withdrawal for an attempt of this VM may be undone, so only a newer row counts.
	out.Withdrawn = s.row.Version > req.Version
	out.LapsesIn = max(0, end.Sub(now))
	return out
}

// isSuccessor reports whether an earlier incarnation of this VM is in the list. A VM
// runs only one daemon at a time, since a second one could not bind its address.
func (p *Promoter) isSuccessor(list []topology.Promoter) bool {
	return slices.ContainsFunc(list, func(e topology.Promoter) bool {
		return e.VM == p.self.ID && e.Incarnation < p.self.Incarnation
	})
}

func (p *Promoter) changeID() string {
	p.changes++
	return fmt.Sprintf("promoter/%s/%d/%d", p.self.ID, p.self.Incarnation, p.changes)
}

// sortedKeys returns the keys in a fixed order, so that runs are reproducible.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
