package routing

import (
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Holds reports whether a target at p is known to hold all of the group's log up
// to want. A pooler checks a floor by it and not by comparing positions: a former
// primary that ran past the end of its term has the greater position, but its
// data holds writes that are lost.
//
//   - Same term: the index decides.
//   - The target is in a later term: it holds want if want survived into it. A
//     term later than the group's row leaves that unknown, so it shows nothing.
//   - The target is in an earlier term: it shows something of the later term
//     only if it did not run past its own term's end (what lies there is lost, so
//     its data is of another history) and its index, dense across terms, reaches
//     want's.
func Holds(g *topology.Group, p, want position.Position) bool {
	t := terms{present: g.Term, history: g.History}
	return t.holds(p, want)
}

// terms is what a group's row tells of its terms.
type terms struct {
	present uint64
	history []topology.TermEnd
}

// survives reports whether p is known to be part of the group's log: it lies in
// the present term, or within the recorded end of an earlier one.
func (t *terms) survives(p position.Position) bool {
	if p.Term >= t.present {
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
		return p.Term <= t.present
	}
	return p.Term < t.present && p.Index >= want.Index
}
