package routing

import (
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Holds reports whether a target at p is known to hold all of the group's log up
// to want. Poolers use it to check a floor instead of comparing positions: a former
// primary that wrote past the end of its term has the greater position, but its
// data contains writes that are lost.
//
//   - Same term: the index decides.
//   - The target is in a later term: it holds want if want survived into that
//     term. If the term is later than the one in the group's row, this is unknown,
//     so Holds returns false.
//   - The target is in an earlier term: it holds want only if it did not write past
//     the end of its own term (writes after the end are lost, so its data belongs
//     to a diverged history) and its index, which is dense across terms, reaches
//     want's.
func Holds(g *topology.Group, p, want position.Position) bool {
	t := terms{current: g.Term, history: g.History}
	return t.holds(p, want)
}

// terms holds the terms recorded in a group's row: the current one and the ends of
// earlier ones.
type terms struct {
	current uint64
	history []topology.TermEnd
}

// survives reports whether p is known to be part of the group's log: it lies in
// the current term, or within the recorded end of an earlier one.
func (t *terms) survives(p position.Position) bool {
	if p.Term >= t.current {
		return true
	}
	for _, h := range t.history {
		if h.Term == p.Term {
			return !h.End.Less(p)
		}
	}
	return p.IsZero()
}

func (t *terms) holds(p, want position.Position) bool {
	if !t.survives(p) || !t.survives(want) {
		return false
	}
	switch {
	case want.IsZero():
		return true
	case p.Term == want.Term:
		return p.Index >= want.Index
	case p.Term > want.Term:
		return p.Term <= t.current
	}
	return p.Term < t.current && p.Index >= want.Index
}
