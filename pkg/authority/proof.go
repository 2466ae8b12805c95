package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// proofLimit ends an attempt whose proof waits for a replica out of reach, so
	// that the row and the other candidates are looked at again.
	proofLimit = 2 * time.Second
	// hopelessPause is how long a candidate that holds too little stays away.
	hopelessPause = time.Second
)

// ReadReplica reads the position of a database of the group by a connection
// opened for it, never from a cached status; it goes to Promoter.ObservePosition.
type ReadReplica struct {
	Group  topology.GroupID
	Target topology.TargetID
	// Began goes back with the answer.
	Began mono.Time
}

// PromotionBlocked tells that an attempt was given up because it needs the
// position of one of Missing, and none could be read. It is tried again.
type PromotionBlocked struct {
	Group   topology.GroupID
	Missing []topology.TargetID
}

func (ReadReplica) action()      {}
func (PromotionBlocked) action() {}

// proof gathers the positions that show a candidate to be complete. A replica's
// log is a prefix of its primary's, so a candidate that holds as much as a
// replica holds everything which that replica holds.
type proof struct {
	// ended is when no right was left under any list of the term.
	ended mono.Time
	began bool
	asked mono.Time
	// read holds what each replica held at some instant after ended.
	read map[topology.TargetID]position.Position
}

// provable reports whether positions may show that a replica is complete.
//
// A list with a synced entry: each write that waited under it is held by all its
// synced replicas. No such list in this term: classes that wait were refused, and
// whoever holds an entry of the term holds all of the terms before. In a group's
// first term nobody knows what the primary held before.
func provable(row *topology.Group) bool {
	return len(syncedLists(row)) > 0 || len(row.History) > 0
}

// syncedLists returns the synced replicas of each list that has any.
func syncedLists(row *topology.Group) [][]topology.TargetID {
	var out [][]topology.TargetID
	for _, list := range lists(row) {
		if synced := Synced(list); len(synced) > 0 {
			out = append(out, synced)
		}
	}
	return out
}

// needed returns the synced replicas of each list that the replica is not synced
// in: a position of one of each must be at or below its own.
func needed(row *topology.Group, replica topology.TargetID) [][]topology.TargetID {
	return slices.DeleteFunc(syncedLists(row), func(synced []topology.TargetID) bool {
		return slices.Contains(synced, replica)
	})
}

// proves reports whether a replica that holds own is complete by the positions
// read. Both must be positions of the row's term. Failure: a replica that did not
// follow this term, or has still to rewind, holds entries that its primary does
// not, and its position says nothing. An entry of the term tells: only the term's
// primary wrote one, after all that it holds.
func (f *proof) proves(row *topology.Group, replica topology.TargetID, own position.Position) bool {
	if own.Term != row.Term {
		return false
	}
	for _, synced := range needed(row, replica) {
		if !slices.ContainsFunc(synced, func(t topology.TargetID) bool { return f.below(t, row.Term, own) }) {
			return false
		}
	}
	return true
}

// below reports whether the replica was read in the term at or below own.
func (f *proof) below(t topology.TargetID, term uint64, own position.Position) bool {
	at, ok := f.read[t]
	return ok && at.Term == term && !own.Less(at)
}

// hopeless reports whether some list can't be proved though each of its synced
// replicas was read: another candidate holds more.
func (f *proof) hopeless(row *topology.Group, replica topology.TargetID) bool {
	own, ok := f.read[replica]
	if !ok {
		return false
	}
	if own.Term != row.Term {
		return true
	}
	return slices.ContainsFunc(needed(row, replica), func(synced []topology.TargetID) bool {
		return !slices.ContainsFunc(synced, func(t topology.TargetID) bool {
			_, read := f.read[t]
			return !read || f.below(t, row.Term, own)
		})
	})
}

// missing returns the replicas whose position is needed and was not read.
func (f *proof) missing(row *topology.Group, replica topology.TargetID) []topology.TargetID {
	var out []topology.TargetID
	for _, t := range proofTargets(row, replica) {
		if _, ok := f.read[t]; !ok {
			out = append(out, t)
		}
	}
	return out
}

// proofTargets are the replica itself and those whose positions count.
func proofTargets(row *topology.Group, replica topology.TargetID) []topology.TargetID {
	out := []topology.TargetID{replica}
	for _, synced := range needed(row, replica) {
		for _, t := range synced {
			if !slices.Contains(out, t) {
				out = append(out, t)
			}
		}
	}
	return out
}

// complete reports whether the replica needs no proof by positions.
func (p *Promoter) complete(row *topology.Group, replica topology.TargetID) bool {
	return p.opts.faults.promoteUnsynced || Complete(row, replica)
}

// mayPromote reports whether the replica is complete or may turn out to be.
func (p *Promoter) mayPromote(row *topology.Group, replica topology.TargetID) bool {
	return replica != row.Primary && (p.complete(row, replica) || provable(row))
}

// prove reads the positions before anything is fenced: a candidate that holds too
// little must not stop its own replication for nothing.
func (p *Promoter) prove(s *standing, now mono.Time) []Action {
	a := s.attempt
	if !a.proof.began {
		a.proof.began = true
		a.proof.ended = now
	}
	own, read := a.proof.read[s.replica]
	if read && a.proof.proves(s.row, s.replica, own) {
		a.stage = fencing
		a.asked = 0
		return p.fence(s, now)
	}
	if a.proof.hopeless(s.row, s.replica) {
		out := p.drop(s, now)
		s.notBefore = now.Add(hopelessPause + p.jitter(hopelessPause))
		return out
	}
	if now.Sub(a.proof.ended) > proofLimit {
		blocked := PromotionBlocked{Group: s.row.ID, Missing: a.proof.missing(s.row, s.replica)}
		return append(p.drop(s, now), blocked)
	}
	if a.proof.asked != 0 && now.Sub(a.proof.asked) < p.opts.RetryEvery {
		return nil
	}
	a.proof.asked = now
	var out []Action
	for _, t := range proofTargets(s.row, s.replica) {
		out = append(out, ReadReplica{Group: s.row.ID, Target: t, Began: now})
	}
	return out
}

// ObservePosition takes what a ReadReplica brought.
//
// Failure: a position read while some right still stood; the primary then
// acknowledged one more write that waited for this replica, and the candidate
// below it would pass. So only reads begun after the end of the rights count.
func (p *Promoter) ObservePosition(r ReadReplica, at position.Position) {
	s := p.standing(r.Group)
	a := s.attempt
	if a == nil || a.over || !a.proof.began || r.Began.Before(a.proof.ended) {
		return
	}
	a.proof.note(r.Target, at, p.opts.faults.stalePosition)
}

func (f *proof) note(t topology.TargetID, at position.Position, keep bool) {
	if _, ok := f.read[t]; ok && keep {
		return
	}
	f.read[t] = at
}

// noteStale is the planted mistake that takes positions exchanged before the
// withdrawal for a proof.
func (p *Promoter) noteStale(s *standing, from topology.VMID, at position.Position) {
	for _, e := range s.row.Promoters {
		if e.VM == from {
			s.attempt.proof.note(e.Replica, at, false)
		}
	}
}
