package session

import (
	"sort"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Floors holds, per group, the position of a session's last acknowledged
// write. The zero value is ready to use. Floors is not safe for concurrent use.
//
// The last position of an earlier term is kept until a group row shows whether
// it survived. Otherwise a loss would go undetected when a session's write in
// term 1 is lost and its next write, in term 2, raises the floor.
type Floors struct {
	// groups maps each group to its positions in ascending order, one per term. The
	// last one is the floor.
	groups map[topology.GroupID][]position.Position
}

// Floor returns the position that a read of the group must see.
func (f *Floors) Floor(group topology.GroupID) position.Position {
	positions := f.groups[group]
	if len(positions) == 0 {
		return position.Position{}
	}
	return positions[len(positions)-1]
}

// Len returns the number of positions held.
func (f *Floors) Len() int {
	n := 0
	for _, positions := range f.groups {
		n += len(positions)
	}
	return n
}

// Raise records a write that was acknowledged at p. Acknowledgements may be
// recorded in any order.
func (f *Floors) Raise(group topology.GroupID, p position.Position) {
	if p.IsZero() {
		return
	}
	if f.groups == nil {
		f.groups = make(map[topology.GroupID][]position.Position)
	}
	before := f.Floor(group)
	f.groups[group] = insertPosition(f.groups[group], p)
	invariant.Check(!f.Floor(group).Less(before), "floor of %s fell from %v", group, before)
}

// insertPosition inserts p into positions, in ascending order, keeping only the highest
// position of each term.
func insertPosition(positions []position.Position, p position.Position) []position.Position {
	i := sort.Search(len(positions), func(i int) bool { return positions[i].Term >= p.Term })
	if i < len(positions) && positions[i].Term == p.Term {
		positions[i] = position.Max(positions[i], p)
		return positions
	}
	positions = append(positions, position.Position{})
	copy(positions[i+1:], positions[i:])
	positions[i] = p
	return positions
}

// Reconcile compares the group's positions with the history in its row. It must
// be called before each use of the floor. A write after the end of its term is
// lost: it is reported once as WriteLost and its position is lowered to the end of
// that term.
func (f *Floors) Reconcile(g *topology.Group) error {
	positions := f.groups[g.ID]
	if len(positions) == 0 {
		return nil
	}
	floor := positions[len(positions)-1]
	kept := make([]position.Position, 0, len(positions))
	var lost []position.Position
	for _, p := range positions {
		switch {
		case g.Lost(p):
			lost = append(lost, p)
			kept = insertPosition(kept, termEnd(g, p.Term))
		case p.Term < g.Term && p != floor:
			// p survived, and the floor covers it.
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

// termEnd returns the last surviving position of a term in the history.
func termEnd(g *topology.Group, term uint64) position.Position {
	for _, h := range g.History {
		if h.Term == term {
			return h.End
		}
	}
	return position.Position{}
}

// Prune drops the floors that every target of their group has reached: no target
// can be behind such a floor, and no promotion can lose it. lowest returns the
// lowest position of a group's targets, or false if it is not known.
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

// merge adds the positions of other.
func (f *Floors) merge(other *Floors) {
	for group, positions := range other.groups {
		for _, p := range positions {
			f.Raise(group, p)
		}
	}
}

// sortedGroups returns the groups that have a floor, in ascending order.
func (f *Floors) sortedGroups() []topology.GroupID {
	groups := make([]topology.GroupID, 0, len(f.groups))
	for g, positions := range f.groups {
		if len(positions) > 0 {
			groups = append(groups, g)
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i] < groups[j] })
	return groups
}
