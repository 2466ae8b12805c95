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

// Promoter is the table of groups that this VM promises in and may promote in.
// Not safe for concurrent use.
type Promoter struct {
	self    topology.VM
	opts    Options
	rand    *rand.Rand
	started mono.Time
	groups  map[topology.GroupID]*standing
	changes uint64
}

// grant is a promise that may still stand.
type grant struct {
	holder  topology.VMID
	version uint64
	at      mono.Time
}

// standing is one group of the Promoter.
type standing struct {
	row     *topology.Group
	replica topology.TargetID
	grants  []grant
	// withdrawn: no promise is given under this version and earlier ones.
	withdrawn uint64
	attempt   *attempt
	// settlement outlives attempts: what it gathered stays true.
	settlement settlement
	suspected  bool
	since      mono.Time
	health     Health
	heard      mono.Time
	promoted   []mono.Time
	status     ReplicaStatus
	joining    *proposal
	// dropped counts how often this VM was taken off the list in this term.
	dropped int
	// joinAt is when this VM may list itself.
	joinAt    mono.Time
	notBefore mono.Time
	positions map[topology.VMID]position.Position
}

// NewPromoter returns an empty table of a VM that started at started.
func NewPromoter(self topology.VM, opts Options, rng *rand.Rand, started mono.Time) *Promoter {
	return &Promoter{self: self, opts: opts, rand: rng, started: started, groups: map[topology.GroupID]*standing{}}
}

// Stand makes this VM speak for a replica of the group. It takes part once the
// group's list holds its present incarnation.
func (p *Promoter) Stand(group topology.GroupID, replica topology.TargetID) {
	s := p.standing(group)
	if s.replica != replica {
		s.status = ReplicaStatus{} // It is another one's.
	}
	s.replica = replica
}

func (p *Promoter) standing(group topology.GroupID) *standing {
	s, ok := p.groups[group]
	if !ok {
		s = &standing{settlement: newSettlement(), positions: map[topology.VMID]position.Position{}}
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

// ObserveRow takes a row read from the platform or heard from a peer.
func (p *Promoter) ObserveRow(read RowRead, now mono.Time) {
	if read.Row == nil {
		return
	}
	s := p.standing(read.Row.ID)
	p.adopt(s, read.Row, now)
	if s.attempt != nil && read.Began != 0 && !read.Began.Before(s.attempt.began) && s.row.Version == read.Row.Version {
		s.attempt.rowFresh = true
	}
}

// adopt replaces the row by a newer one; from here on no promise under the old
// version is given.
func (p *Promoter) adopt(s *standing, row *topology.Group, now mono.Time) {
	if s.row != nil && row.Version <= s.row.Version {
		return
	}
	p.countDropped(s, row)
	p.opts.checkSuccessor(s.row, row)
	if s.row != nil && row.Term > s.row.Term {
		s.promoted = append(s.promoted, now)
		s.suspected = false
		s.settlement = newSettlement()
	}
	s.row = row.Clone()
	s.settlement.note(row, now)
	p.delayJoin(s, now)
	if s.attempt != nil {
		s.attempt.over = true
	}
	if s.joining != nil && s.joining.settledBy(row) {
		s.joining = nil
	}
}

// ReplicaStatus is what a database says of itself.
type ReplicaStatus struct {
	Reachable bool
	// Term and Primary that the replica follows.
	Term     uint64
	Primary  topology.TargetID
	Position position.Position
}

// ObserveReplica takes the status of the replica that this VM speaks for; that of another one
// is passed over. Failure: a data centre is lost, and a VM elsewhere speaks for the replica
// there while it pools the group's other one as well. Taken for the lost one's, the living
// one's status kept the lost one synced, and each write waited four seconds for it.
func (p *Promoter) ObserveReplica(group topology.GroupID, replica topology.TargetID, st ReplicaStatus) {
	if s := p.standing(group); s.replica == replica {
		s.status = st
	}
}

// follows reports whether the replica follows the row's primary. Failure: an old
// primary that came back holds positions of its own that are greater than the
// new primary's, and would count as caught up.
func (s *standing) follows() bool {
	return s.status.Reachable && s.row != nil && s.status.Term == s.row.Term && s.status.Primary == s.row.Primary
}

// Attempting reports whether this VM is promoting its replica. Without an attempt
// a replica that is still fenced is to follow the row's primary again.
func (p *Promoter) Attempting(group topology.GroupID) bool {
	s, ok := p.groups[group]
	return ok && s.attempt != nil
}

// member finds the entry of this start of the VM.
func (p *Promoter) member(list []topology.Promoter) (topology.Promoter, bool) {
	if p.opts.faults.keepOldIncarnation {
		for _, e := range list {
			if e.VM == p.self.ID {
				return e, true
			}
		}
	}
	return entryOf(list, p.self.ID, p.self.Incarnation)
}

// HandleHeartbeat promises what it may.
func (p *Promoter) HandleHeartbeat(req HeartbeatRequest, now mono.Time) HeartbeatResponse {
	resp := HeartbeatResponse{Sequence: req.Sequence, Incarnation: p.self.Incarnation}
	for _, r := range req.Promises {
		resp.Promises = append(resp.Promises, p.promise(req.VM, r, now))
	}
	return resp
}

func (p *Promoter) promise(holder topology.VMID, r PromiseRequest, now mono.Time) Promise {
	s := p.standing(r.Group)
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
	_, registered := p.member(s.row.Promoters)
	if s.row.Version != r.Version || !registered {
		return out
	}
	s.health = r.Health
	s.heard = now
	if s.withdrawn >= r.Version {
		return out
	}
	out.Granted = true
	s.remember(grant{holder: holder, version: r.Version, at: now}, p.opts.stretched(p.opts.Lease))
	return out
}

// remember keeps the latest grant by holder and version, and drops lapsed ones.
func (s *standing) remember(g grant, lasts time.Duration) {
	s.grants = slices.DeleteFunc(s.grants, func(o grant) bool {
		same := o.holder == g.holder && o.version == g.version
		return same || g.at.Sub(o.at) > lasts
	})
	s.grants = append(s.grants, g)
}

// lapse returns when the last promise up to the version lapses; zero if none
// stands.
func (p *Promoter) lapse(s *standing, version uint64) mono.Time {
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

// HandleWithdraw confirms that no promise stands, or until when one does.
func (p *Promoter) HandleWithdraw(req WithdrawRequest, now mono.Time) WithdrawResponse {
	s := p.standing(req.Group)
	if req.Row != nil {
		p.adopt(s, req.Row, now)
	}
	out := WithdrawResponse{Group: req.Group, Version: req.Version, Position: s.status.Position, ReplicaReachable: s.follows()}
	if s.row == nil || req.Row == nil || req.Version == 0 {
		return out
	}
	list := listOf(req.Row, req.Version)
	end := p.lapse(s, req.Version)
	_, own := p.member(list)
	if !own {
		// An earlier start of this VM was in the list. It is gone, and whatever
		// it promised was promised before this one started.
		if !p.succeeds(list) {
			return out
		}
		end = max(end, p.started.Add(p.opts.stretched(p.opts.Lease)))
	}
	// A withdrawal for an attempt of its own may be taken back; a newer row not.
	out.Withdrawn = s.row.Version > req.Version
	out.LapsesIn = max(0, end.Sub(now))
	return out
}

// succeeds reports whether an earlier start of this VM is in the list. A VM runs
// one daemon at a time: the address that it binds excludes a second one.
func (p *Promoter) succeeds(list []topology.Promoter) bool {
	return slices.ContainsFunc(list, func(e topology.Promoter) bool {
		return e.VM == p.self.ID && e.Incarnation < p.self.Incarnation
	})
}

func (p *Promoter) changeID() string {
	p.changes++
	return fmt.Sprintf("promoter/%s/%d/%d", p.self.ID, p.self.Incarnation, p.changes)
}

// sortedKeys gives tables a fixed order, so that runs can be repeated.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
