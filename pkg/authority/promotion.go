package authority

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// stage is the stage of a promotion attempt.
type stage int

const (
	// exchanging reads the row and requests the positions of the other candidates.
	exchanging stage = iota
	// waiting waits for this candidate's turn.
	waiting
	// withdrawn gives no more promises, and waits until those given have lapsed or
	// the holders have released their rights.
	withdrawn
	// proving, which starts once no right is left, reads the positions of the
	// replicas that hold the writes that waited.
	proving
	// fencing stops the replication of the replica, which is complete.
	fencing
	// committing commits the row of the next term.
	committing
)

// attempt is one attempt to promote this VM's replica.
type attempt struct {
	stage    stage
	planned  bool
	began    mono.Time
	rowFresh bool
	// superseded is set when a newer row is known.
	superseded bool
	asked      mono.Time
	turnAt     mono.Time
	// previousWithdrawn is the value of promoterGroup.withdrawn before the attempt,
	// which is restored if the attempt is given up.
	previousWithdrawn uint64
	releaseAsked      bool
	fenceAsked        bool
	endPosition       position.Position
	answered          map[topology.VMID]bool
	proof             proof
	proposal          *proposal
}

// Suspect sets whether the group's primary is suspected to be dead and so to be
// replaced. AssessPrimary calls it with its decision.
func (p *Promoter) Suspect(group topology.GroupID, dead bool, now mono.Time) {
	s := p.promoterGroup(group)
	if dead && !s.suspected {
		s.suspectedSince = now
		p.delayJoin(s, now)
	}
	s.suspected = dead
}

// Switchover starts a planned promotion: the holder has reported that its primary
// admits no more writes and that this VM's replica holds all of them.
func (p *Promoter) Switchover(group topology.GroupID, now mono.Time) {
	s := p.promoterGroup(group)
	if s.attempt != nil || s.row == nil || !p.eligible(s) {
		return
	}
	s.attempt = p.newAttempt(s, now)
	s.attempt.planned = true
}

func (p *Promoter) newAttempt(s *promoterGroup, now mono.Time) *attempt {
	a := &attempt{began: now, answered: map[topology.VMID]bool{}}
	a.proof.read = map[topology.TargetID]position.Position{}
	a.previousWithdrawn = s.withdrawn
	return a
}

func (p *Promoter) eligible(s *promoterGroup) bool {
	e, ok := p.ownEntry(s.row.Promoters)
	return ok && e.Replica == s.replica && p.mayPromote(s.row, e.Replica)
}

// Tick advances all groups to now and returns the actions to carry out.
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

func (p *Promoter) step(s *promoterGroup, now mono.Time) []Action {
	if s.attempt == nil && (s.joining != nil || p.mayJoin(s, now)) {
		return p.join(s, now)
	}
	if s.attempt == nil {
		if !s.suspected || !p.eligible(s) || now.Before(s.notBefore) || now.Before(p.nextPromotionAt(s, now)) {
			return nil
		}
		s.attempt = p.newAttempt(s, now)
	}
	a := s.attempt
	if a.superseded || p.shouldGiveUp(s, now) {
		return p.giveUp(s, now)
	}
	switch a.stage {
	case exchanging:
		return p.exchange(s, now)
	case waiting:
		if now.Before(a.turnAt) {
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

// nextPromotionAt returns the earliest time of the group's next promotion, or zero if
// it need not wait. Failure: over a flapping link both sides promote in turn, and
// each promotion interrupts the callers. After a single promotion within the window
// there is no wait; from the second on the wait doubles each time.
func (p *Promoter) nextPromotionAt(s *promoterGroup, now mono.Time) mono.Time {
	n := 0
	var last mono.Time
	for _, at := range s.promotions {
		if now.Sub(at) <= p.opts.FlapWindow {
			n++
			last = at
		}
	}
	s.promotions = s.promotions[len(s.promotions)-n:]
	if n < 2 {
		return 0
	}
	wait := p.opts.FlapMax
	if shift := n - 2; shift < 8 {
		wait = min(wait, p.opts.FlapBase<<shift)
	}
	return last.Add(wait)
}

// shouldGiveUp reports whether the attempt should end without a promotion. It must
// not while a commit may still take effect: a promise given after that would let the
// old primary acknowledge writes next to the new one.
func (p *Promoter) shouldGiveUp(s *promoterGroup, now mono.Time) bool {
	a := s.attempt
	if a.proposal != nil && a.proposal.pending > 0 {
		return false
	}
	if a.stage == exchanging && !a.rowFresh && now.Sub(a.began) > p.opts.GiveUpRead {
		return true
	}
	if a.planned {
		return now.Sub(a.began) > drainTimeout
	}
	return !s.suspected
}

// giveUp ends the attempt. A withdrawal that was not sent to any other VM is undone,
// so that a suspicion during an outage of the platform costs no writes. After a
// request to release the right the version stays withdrawn, since the holder may
// have given it up.
func (p *Promoter) giveUp(s *promoterGroup, now mono.Time) []Action {
	a := s.attempt
	s.attempt = nil
	s.notBefore = now.Add(p.opts.RetryEvery + p.jitter(p.opts.RetryEvery))
	if !a.superseded && !a.releaseAsked {
		s.withdrawn = a.previousWithdrawn
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

// ObserveRelease records a holder's answer to a SendRelease. It counts only while the
// version is withdrawn; otherwise the holder could get a new promise.
func (p *Promoter) ObserveRelease(from topology.VMID, r ReleaseRightResponse) {
	s := p.promoterGroup(r.Group)
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

// withdraw waits until no right is left under the current list and under every
// unsettled one. It requests releases and confirmations meanwhile.
func (p *Promoter) withdraw(s *promoterGroup, now mono.Time) []Action {
	a := s.attempt
	current := !p.lapseTime(s, s.row.Version).After(now)
	if current && p.unsettledLapsed(s, now) {
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

// proveOrFence enters the next stage once no right is left.
func (p *Promoter) proveOrFence(s *promoterGroup, now mono.Time) []Action {
	s.attempt.asked = 0
	if !p.complete(s.row, s.replica) {
		s.attempt.stage = proving
		return p.prove(s, now)
	}
	s.attempt.stage = fencing
	return p.fence(s, now)
}

func (p *Promoter) askUnsettled(s *promoterGroup, now mono.Time) []Action {
	if len(s.row.Unsettled) == 0 {
		return nil
	}
	return s.settlement.ask(&p.opts, s.row, now)
}

// unsettledLapsed reports whether no right is left under the unsettled lists. For
// lists that contain this VM its own withdrawal suffices; each of the others needs
// the confirmation of one of its members.
func (p *Promoter) unsettledLapsed(s *promoterGroup, now mono.Time) bool {
	if p.opts.faults.ignoreUnsettled {
		return true
	}
	for _, l := range s.row.Unsettled {
		if _, own := p.ownEntry(l.Promoters); own {
			continue
		}
		if _, ok := s.settlement.provenAt(&p.opts, l.Version, now); !ok {
			return false
		}
	}
	return true
}

// fence stops the replica's replication. Failure: the replica receives more writes
// from the old primary after its position was recorded in the history, so writes that
// are reported as lost exist.
func (p *Promoter) fence(s *promoterGroup, now mono.Time) []Action {
	a := s.attempt
	if a.asked != 0 && now.Sub(a.asked) < p.opts.RetryEvery {
		return nil
	}
	a.asked = now
	a.fenceAsked = true
	return []Action{FenceReplica{Group: s.row.ID, Target: s.replica, Term: s.row.Term + 1, Began: now}}
}

// ObserveFenced records the position of the replica after a FenceReplica. Answers to
// an earlier attempt are ignored, since the replica may have resumed replication in
// between.
func (p *Promoter) ObserveFenced(f FenceReplica, at position.Position, now mono.Time) {
	s := p.promoterGroup(f.Group)
	a := s.attempt
	if a == nil || a.superseded || a.stage != fencing || f.Term != s.row.Term+1 || f.Began.Before(a.began) {
		return
	}
	a.endPosition = at
	a.stage = committing
	next := Promote(s.row, s.replica, at, p.nextList(s), p.changeID())
	p.opts.invariant(!p.lapseTime(s, s.row.Version).After(now), "group %s: promotion before the promises lapsed", f.Group)
	complete := p.complete(s.row, s.replica) || a.proof.proves(s.row, s.replica, at)
	p.opts.invariant(complete, "group %s: %s is promoted at %v and not complete", f.Group, s.replica, at)
	a.proposal = &proposal{row: next, retrySoon: true}
}

// nextList returns the entries whose VMs answered in this attempt. If there are none,
// it contains only this VM, so that the list is not empty.
func (p *Promoter) nextList(s *promoterGroup) []topology.Promoter {
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

func (p *Promoter) commit(s *promoterGroup, now mono.Time) []Action {
	if !s.attempt.proposal.due(&p.opts, now) {
		return nil
	}
	return []Action{CommitRow{Row: s.attempt.proposal.row.Clone()}}
}

// ObserveCommit records the result of a CommitRow of this table; see
// Holder.ObserveCommit.
func (p *Promoter) ObserveCommit(r CommitResult, now mono.Time) {
	s := p.promoterGroup(r.Group)
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
