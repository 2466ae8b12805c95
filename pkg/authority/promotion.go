package authority

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// stage is how far an attempt to promote has come.
type stage int

const (
	// exchanging: the row is read and the candidates' positions are asked.
	exchanging stage = iota
	// waiting for this candidate's turn.
	waiting
	// withdrawn: no promise is given; those given lapse or are released.
	withdrawn
	// proving: no right is left; positions are read of the replicas that hold
	// what waited.
	proving
	// fencing: the replica is complete; it stops following.
	fencing
	// committing the row of the next term.
	committing
)

// attempt is one promotion on its way.
type attempt struct {
	stage    stage
	planned  bool
	began    mono.Time
	rowFresh bool
	// over: a newer row is in place.
	over  bool
	asked mono.Time
	turn  mono.Time
	// before is what withdrawn was, for an attempt that is given up.
	before       uint64
	releaseAsked bool
	fenceAsked   bool
	end          position.Position
	answered     map[topology.VMID]bool
	proof        proof
	proposal     *proposal
}

// Suspect tells whether the group's primary is to be replaced, as Judge decides.
func (p *Promoter) Suspect(group topology.GroupID, dead bool, now mono.Time) {
	s := p.standing(group)
	if dead && !s.suspected {
		s.since = now
		p.delayJoin(s, now)
	}
	s.suspected = dead
}

// Switchover starts a planned promotion: the holder said that its primary admits
// no write and that this VM's replica holds all of them.
func (p *Promoter) Switchover(group topology.GroupID, now mono.Time) {
	s := p.standing(group)
	if s.attempt != nil || s.row == nil || !p.eligible(s) {
		return
	}
	s.attempt = p.newAttempt(s, now)
	s.attempt.planned = true
}

func (p *Promoter) newAttempt(s *standing, now mono.Time) *attempt {
	a := &attempt{began: now, answered: map[topology.VMID]bool{}}
	a.proof.read = map[topology.TargetID]position.Position{}
	a.before = s.withdrawn
	return a
}

func (p *Promoter) eligible(s *standing) bool {
	e, ok := p.member(s.row.Promoters)
	return ok && e.Replica == s.replica && p.mayPromote(s.row, e.Replica)
}

// Tick runs the systems and returns what is to be carried out.
func (p *Promoter) Tick(now mono.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(p.groups) {
		s := p.groups[id]
		if s.row != nil {
			out = append(out, p.step(s, now)...)
		}
	}
	return out
}

func (p *Promoter) step(s *standing, now mono.Time) []Action {
	if s.attempt == nil && (s.joining != nil || p.mayJoin(s, now)) {
		return p.join(s, now)
	}
	if s.attempt == nil {
		if !s.suspected || !p.eligible(s) || now.Before(s.notBefore) || now.Before(p.calmAt(s, now)) {
			return nil
		}
		s.attempt = p.newAttempt(s, now)
	}
	a := s.attempt
	if a.over || p.givenUp(s, now) {
		return p.drop(s, now)
	}
	switch a.stage {
	case exchanging:
		return p.exchange(s, now)
	case waiting:
		if now.Before(a.turn) {
			return nil
		}
		s.withdrawn = max(s.withdrawn, s.row.Version)
		a.asked = 0
		a.stage = withdrawn
		return p.withdraw(s, now)
	case withdrawn:
		return p.withdraw(s, now)
	case proving:
		return p.prove(s, now)
	case fencing:
		return p.fence(s, now)
	case committing:
		return p.commit(s, now)
	}
	return nil
}

// calmAt spaces the promotions of one group. Failure: a link that flaps makes
// one side after the other promote, and each costs the callers a gap. The first
// is free; from the second within the window on the distance doubles.
func (p *Promoter) calmAt(s *standing, now mono.Time) mono.Time {
	n := 0
	var last mono.Time
	for _, at := range s.promoted {
		if now.Sub(at) <= p.opts.FlapWindow {
			n++
			last = at
		}
	}
	s.promoted = s.promoted[len(s.promoted)-n:]
	if n < 2 {
		return 0
	}
	wait := p.opts.FlapMax
	if shift := n - 2; shift < 8 {
		wait = min(wait, p.opts.FlapBase<<shift)
	}
	return last.Add(wait)
}

// givenUp reports whether the attempt should end without a promotion. Not while
// a commit may yet take effect: a promise given now would let the old primary
// acknowledge beside the new one.
func (p *Promoter) givenUp(s *standing, now mono.Time) bool {
	a := s.attempt
	if a.proposal != nil && a.proposal.open > 0 {
		return false
	}
	if a.stage == exchanging && !a.rowFresh && now.Sub(a.began) > p.opts.GiveUpRead {
		return true
	}
	if a.planned {
		return now.Sub(a.began) > drainLimit
	}
	return !s.suspected
}

// drop ends the attempt. A withdrawal that nobody was told of is taken back, so
// that a suspicion during an outage of the platform costs no writes. After a
// request to release, the version stays withdrawn: the holder has given it up.
func (p *Promoter) drop(s *standing, now mono.Time) []Action {
	a := s.attempt
	s.attempt = nil
	s.notBefore = now.Add(p.opts.RetryEvery + p.jitter(p.opts.RetryEvery))
	if !a.over && !a.releaseAsked {
		s.withdrawn = a.before
	}
	if !a.fenceAsked || s.row.Primary == s.replica {
		return nil
	}
	return []Action{FollowPrimary{Group: s.row.ID, Target: s.replica}}
}

func (p *Promoter) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(p.rand.Int64N(int64(d)))
}

// ObserveRelease takes a holder's answer to a SendRelease. It counts only while
// the version is withdrawn: before that, the holder could get a new promise.
func (p *Promoter) ObserveRelease(from topology.VMID, r ReleaseRightResponse) {
	s := p.standing(r.Group)
	if !r.Released || s.withdrawn < r.Version {
		return
	}
	kept := s.grants[:0]
	for _, g := range s.grants {
		if g.holder != from || g.version > r.Version {
			kept = append(kept, g)
		}
	}
	s.grants = kept
}

// withdraw waits until no right is left under the current list and under each
// unsettled one.
func (p *Promoter) withdraw(s *standing, now mono.Time) []Action {
	a := s.attempt
	current := !p.lapse(s, s.row.Version).After(now)
	if current && p.unsettledDone(s, now) {
		return p.proveOrFence(s, now)
	}
	out := p.askUnsettled(s, now)
	if current || (a.asked != 0 && now.Sub(a.asked) < p.opts.RetryEvery) {
		return out
	}
	a.asked = now
	a.releaseAsked = true
	for _, g := range s.grants {
		req := ReleaseRightRequest{Group: s.row.ID, Version: s.row.Version}
		out = append(out, SendRelease{To: g.holder, Request: req})
	}
	return out
}

// proveOrFence goes on once no right is left.
func (p *Promoter) proveOrFence(s *standing, now mono.Time) []Action {
	s.attempt.asked = 0
	if !p.complete(s.row, s.replica) {
		s.attempt.stage = proving
		return p.prove(s, now)
	}
	s.attempt.stage = fencing
	return p.fence(s, now)
}

func (p *Promoter) askUnsettled(s *standing, now mono.Time) []Action {
	if len(s.row.Unsettled) == 0 {
		return nil
	}
	return s.settlement.ask(&p.opts, s.row, now)
}

// unsettledDone: this VM speaks for the lists that it was in, another member for
// each of the others.
func (p *Promoter) unsettledDone(s *standing, now mono.Time) bool {
	if p.opts.faults.ignoreUnsettled {
		return true
	}
	for _, l := range s.row.Unsettled {
		if _, own := p.member(l.Promoters); own {
			continue
		}
		if _, ok := s.settlement.provenAt(&p.opts, l.Version, now); !ok {
			return false
		}
	}
	return true
}

// fence stops the replica's replication. Failure: it goes on receiving from the
// old primary after its position went into the history, and writes counted as
// lost are there.
func (p *Promoter) fence(s *standing, now mono.Time) []Action {
	a := s.attempt
	if a.asked != 0 && now.Sub(a.asked) < p.opts.RetryEvery {
		return nil
	}
	a.asked = now
	a.fenceAsked = true
	return []Action{FenceReplica{Group: s.row.ID, Target: s.replica, Term: s.row.Term + 1, Began: now}}
}

// ObserveFenced takes the position of the replica after the fence asked for.
// Answers to an earlier attempt are dropped: the replica went on since.
func (p *Promoter) ObserveFenced(f FenceReplica, at position.Position, now mono.Time) {
	s := p.standing(f.Group)
	a := s.attempt
	if a == nil || a.over || a.stage != fencing || f.Term != s.row.Term+1 || f.Began.Before(a.began) {
		return
	}
	a.end = at
	a.stage = committing
	next := Promote(s.row, s.replica, at, p.nextList(s), p.changeID())
	p.opts.invariant(!p.lapse(s, s.row.Version).After(now), "group %s: promotion before the promises lapsed", f.Group)
	complete := p.complete(s.row, s.replica) || a.proof.proves(s.row, s.replica, at)
	p.opts.invariant(complete, "group %s: %s is promoted at %v and not complete", f.Group, s.replica, at)
	a.proposal = &proposal{row: next, again: true}
}

// nextList are the entries that answered this attempt; without any, this VM
// itself keeps the list non-empty.
func (p *Promoter) nextList(s *standing) []topology.Promoter {
	var list []topology.Promoter
	for _, e := range p.others(s) {
		if s.attempt.answered[e.VM] && e.Replica != s.replica {
			e.Synced = false
			list = append(list, e)
		}
	}
	if len(list) > 0 {
		return list
	}
	return []topology.Promoter{{VM: p.self.ID, Incarnation: p.self.Incarnation, Replica: s.replica}}
}

func (p *Promoter) commit(s *standing, now mono.Time) []Action {
	if !s.attempt.proposal.due(&p.opts, now) {
		return nil
	}
	return []Action{CommitRow{Row: s.attempt.proposal.row.Clone()}}
}

// ObserveCommit takes the result of a CommitRow of this table; see
// Holder.ObserveCommit.
func (p *Promoter) ObserveCommit(r CommitResult, now mono.Time) {
	s := p.standing(r.Group)
	if s.attempt != nil && s.attempt.proposal != nil && s.attempt.proposal.observe(r) && r.Status == Committed {
		p.adopt(s, s.attempt.proposal.row, now)
	}
	if s.joining != nil && s.joining.observe(r) {
		s.joining = nil
	}
	if r.Row != nil {
		p.adopt(s, r.Row, now)
	}
}
