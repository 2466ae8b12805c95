package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// proofTimeout is how long an attempt waits for the positions of replicas that
	// can't be reached. The next attempt reads the row and asks the other candidates
	// again.
	proofTimeout = 2 * time.Second
	// disprovedPause is how long a candidate whose replica is not complete waits
	// before its next attempt.
	disprovedPause = time.Second
)

// ReadReplica reads the position of a database of the group over a new connection,
// never from a cached status; the position goes to Promoter.ObservePosition.
type ReadReplica struct {
	Group  topology.GroupID
	Target topology.TargetID
	// Began is when the action was returned. It is passed back with the answer.
	Began mono.Time
}

// PromotionBlocked reports that an attempt was given up because it needs the position
// of at least one replica in Missing, and none of them could be read. The promotion is
// retried.
type PromotionBlocked struct {
	Group   topology.GroupID
	Missing []topology.TargetID
}

func (ReadReplica) action()      {}
func (PromotionBlocked) action() {}

// proof collects the positions that show that a candidate is complete. A replica's
// log is a prefix of its primary's, so a candidate whose position is not below that
// of another replica holds everything that the other replica holds.
type proof struct {
	// ended is a time at which no right was left under any list of the term. It is
	// valid if began is set.
	ended mono.Time
	began bool
	asked mono.Time
	// read holds the position of each replica at some time after ended.
	read map[topology.TargetID]position.Position
}

// provable reports whether positions can show that a replica is complete.
//
// If a list has a synced entry, every write that waited under it is held by all of
// its synced replicas. If no list of this term has one, classes that wait were
// refused, and a replica that holds an entry of the term holds everything of the
// earlier terms. In a group's first term it is not known what the primary held
// before.
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

// requiredLists returns the synced replicas of each list in which the replica is not
// synced. For each of these lists, the position of one of them must be at or below
// the replica's own.
func requiredLists(row *topology.Group, replica topology.TargetID) [][]topology.TargetID {
	return slices.DeleteFunc(syncedLists(row), func(synced []topology.TargetID) bool {
		return slices.Contains(synced, replica)
	})
}

// proves reports whether the positions read show that a replica at position own is
// complete. All positions must be in the row's term. Failure: a replica that did not
// follow this term, or has yet to rewind, holds entries that its primary does not, so
// its position can't be compared. An entry of the term shows that a replica followed
// it: only the term's primary writes such entries, after everything that it holds.
func (f *proof) proves(row *topology.Group, replica topology.TargetID, own position.Position) bool {
	if own.Term != row.Term {
		return false
	}
	for _, synced := range requiredLists(row, replica) {
		if !slices.ContainsFunc(synced, func(t topology.TargetID) bool { return f.readAtOrBelow(t, row.Term, own) }) {
			return false
		}
	}
	return true
}

// readAtOrBelow reports whether the position read of the replica is in the term and
// at or below own.
func (f *proof) readAtOrBelow(t topology.TargetID, term uint64, own position.Position) bool {
	at, ok := f.read[t]
	return ok && at.Term == term && !own.Less(at)
}

// disproved reports whether the positions read show that the replica is not complete:
// it has no entry of the row's term, or all synced replicas of some required list
// were read and none is at or below it.
func (f *proof) disproved(row *topology.Group, replica topology.TargetID) bool {
	own, ok := f.read[replica]
	if !ok {
		return false
	}
	if own.Term != row.Term {
		return true
	}
	return slices.ContainsFunc(requiredLists(row, replica), func(synced []topology.TargetID) bool {
		return !slices.ContainsFunc(synced, func(t topology.TargetID) bool {
			_, read := f.read[t]
			return !read || f.readAtOrBelow(t, row.Term, own)
		})
	})
}

// missing returns the replicas whose position is required and has not been read.
func (f *proof) missing(row *topology.Group, replica topology.TargetID) []topology.TargetID {
	var out []topology.TargetID
	for _, t := range proofTargets(row, replica) {
		if _, ok := f.read[t]; !ok {
			out = append(out, t)
		}
	}
	return out
}

// proofTargets returns the replica itself and the replicas of its required lists.
func proofTargets(row *topology.Group, replica topology.TargetID) []topology.TargetID {
	out := []topology.TargetID{replica}
	for _, synced := range requiredLists(row, replica) {
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

// mayPromote reports whether the replica is complete or may be proved to be.
func (p *Promoter) mayPromote(row *topology.Group, replica topology.TargetID) bool {
	return replica != row.Primary && (p.complete(row, replica) || provable(row))
}

// prove reads the positions before the replica is fenced, so that a candidate that is
// not complete does not stop its own replication in vain.
func (p *Promoter) prove(s *promoterGroup, now mono.Time) []Action {
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
	if a.proof.disproved(s.row, s.replica) {
		out := p.giveUp(s, now)
		s.notBefore = now.Add(disprovedPause + p.jitter(disprovedPause))
		return out
	}
	if now.Sub(a.proof.ended) > proofTimeout {
		blocked := PromotionBlocked{Group: s.row.ID, Missing: a.proof.missing(s.row, s.replica)}
		return append(p.giveUp(s, now), blocked)
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

// ObservePosition records the position that a ReadReplica returned.
//
// Only reads that began after the rights ended count. Failure: a position is read
// while some right is still valid; the primary then acknowledges one more write that
// waited for this replica, and a candidate without that write would pass as complete.
func (p *Promoter) ObservePosition(r ReadReplica, at position.Position) {
	s := p.promoterGroup(r.Group)
	a := s.attempt
	if a == nil || a.superseded || !a.proof.began || r.Began.Before(a.proof.ended) {
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

// noteStalePosition implements the planted mistake stalePosition: it uses a position
// that was exchanged before the withdrawal as a proof.
func (p *Promoter) noteStalePosition(s *promoterGroup, from topology.VMID, at position.Position) {
	for _, e := range s.row.Promoters {
		if e.VM == from {
			s.attempt.proof.note(e.Replica, at, false)
		}
	}
}
