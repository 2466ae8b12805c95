package session

import (
	"sort"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Floors holds, per group, the position of a session's last acknowledged
// write. The zero value is ready. Not safe for concurrent use.
//
// The last position of an earlier term is kept until a group row has told
// whether it survived. Without it a loss would go unseen when the session wrote
// in term 1, the write was lost, and its next write in term 2 raised the floor.
type Floors struct {
	// groups maps to ascending positions, one a term; the last is the floor.
	groups map[topology.GroupID][]position.Position
}

// Floor returns the position that a read of the group must see.
func (f *Floors) Floor(group topology.GroupID) position.Position {
	marks := f.groups[group]
	if len(marks) == 0 {
		return position.Position{}
	}
	return marks[len(marks)-1]
}

// Len returns the number of positions held.
func (f *Floors) Len() int {
	n := 0
	for _, marks := range f.groups {
		n += len(marks)
	}
	return n
}

// Raise notes a write acknowledged at p. Completions may arrive in any order.
func (f *Floors) Raise(group topology.GroupID, p position.Position) {
	if p.IsZero() {
		return
	}
	if f.groups == nil {
		f.groups = make(map[topology.GroupID][]position.Position)
	}
	before := f.Floor(group)
	f.groups[group] = insertMark(f.groups[group], p)
	invariant.Check(!f.Floor(group).Less(before), "floor of %s fell from %v", group, before)
}

// insertMark keeps the highest position of each term, terms ascending.
func insertMark(marks []position.Position, p position.Position) []position.Position {
	i := sort.Search(len(marks), func(i int) bool { return marks[i].Term >= p.Term })
	if i < len(marks) && marks[i].Term == p.Term {
		marks[i] = position.Max(marks[i], p)
		return marks
	}
	marks = append(marks, position.Position{})
	copy(marks[i+1:], marks[i:])
	marks[i] = p
	return marks
}

// Settle compares the group's floor with the history of its row, to be done
// before each use of the floor. A write after the end of its term is lost: it is
// reported once as WriteLost and the floor falls to the end of that term.
func (f *Floors) Settle(g *topology.Group) error {
	marks := f.groups[g.ID]
	if len(marks) == 0 {
		return nil
	}
	floor := marks[len(marks)-1]
	kept := make([]position.Position, 0, len(marks))
	var lost []position.Position
	for _, p := range marks {
		switch {
		case g.Lost(p):
			lost = append(lost, p)
			kept = insertMark(kept, termEnd(g, p.Term))
		case p.Term < g.Term && p != floor:
			// It survived and a later position covers it.
		default:
			kept = append(kept, p)
		}
	}
	f.groups[g.ID] = kept
	if len(lost) == 0 {
		return nil
	}
	return result.New(result.WriteLost, "group %s term %d lost the write at %v", g.ID, g.Term, lost[0])
}

// termEnd returns the last surviving position of a term listed in the history.
func termEnd(g *topology.Group, term uint64) position.Position {
	for _, h := range g.History {
		if h.Term == term {
			return h.End
		}
	}
	return position.Position{}
}

// Prune drops the floors that every target of their group holds, as lowest
// tells: no target can be behind such a floor and no promotion can lose it. It
// reports false when the lowest position of a group is not known.
func (f *Floors) Prune(lowest func(topology.GroupID) (position.Position, bool)) {
	for group := range f.groups {
		low, ok := lowest(group)
		if !ok || len(f.groups[group]) != 1 {
			continue
		}
		floor := f.Floor(group)
		if floor.Term == low.Term && !low.Less(floor) {
			delete(f.groups, group)
		}
	}
}

// merge raises the floors to those of other.
func (f *Floors) merge(other *Floors) {
	for group, marks := range other.groups {
		for _, p := range marks {
			f.Raise(group, p)
		}
	}
}

// sortedGroups returns the groups that have a floor, in order.
func (f *Floors) sortedGroups() []topology.GroupID {
	groups := make([]topology.GroupID, 0, len(f.groups))
	for g, marks := range f.groups {
		if len(marks) > 0 {
			groups = append(groups, g)
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i] < groups[j] })
	return groups
}
