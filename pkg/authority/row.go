package authority

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// sameDaemon reports whether two entries name the same incarnation of the same VM.
func sameDaemon(a, b topology.Promoter) bool {
	return a.VM == b.VM && a.Incarnation == b.Incarnation
}

// entryOf returns the entry of one incarnation of a VM.
func entryOf(list []topology.Promoter, vm topology.VMID, inc topology.Incarnation) (topology.Promoter, bool) {
	for _, p := range list {
		if p.VM == vm && p.Incarnation == inc {
			return p, true
		}
	}
	return topology.Promoter{}, false
}

// Synced returns the replicas that writes of classes that wait must wait for.
func Synced(list []topology.Promoter) []topology.TargetID {
	var out []topology.TargetID
	for _, p := range list {
		if p.Synced && !slices.Contains(out, p.Replica) {
			out = append(out, p.Replica)
		}
	}
	return out
}

// listOf returns the current or unsettled list of a version, or nil if the row does
// not contain it.
func listOf(row *topology.Group, version uint64) []topology.Promoter {
	if row.Version == version {
		return row.Promoters
	}
	for _, l := range row.Unsettled {
		if l.Version == version {
			return l.Promoters
		}
	}
	return nil
}

// Complete reports whether the replica holds every write whose acknowledgement
// waited for a replica: it is synced in each list that has any synced entry, and
// there is such a list. Under a list without one, classes that wait are refused,
// so the replicas synced before stay complete.
//
// The unsettled lists count too. Failure: a second pooler still has a right under an
// older version, in whose list this replica is not synced, and acknowledges a write
// that the replica lacks. Unsettled lists are kept until no right under them is left
// and the replica has caught up with the writes before that.
func Complete(row *topology.Group, replica topology.TargetID) bool {
	if replica == row.Primary {
		return false
	}
	found := false
	for _, list := range lists(row) {
		synced := Synced(list)
		if len(synced) == 0 {
			continue
		}
		if !slices.Contains(synced, replica) {
			return false
		}
		found = true
	}
	return found
}

// lists returns the current list and the unsettled ones.
func lists(row *topology.Group) [][]topology.Promoter {
	out := [][]topology.Promoter{row.Promoters}
	for _, l := range row.Unsettled {
		out = append(out, l.Promoters)
	}
	return out
}

// covered reports whether list makes it unnecessary to keep old as an unsettled list:
// each member of list was in old, so its confirmation covers old too; no replica is
// synced in list that was not in old; and list has a synced entry if old had one.
func covered(list, old []topology.Promoter) bool {
	for _, p := range list {
		if !slices.ContainsFunc(old, func(q topology.Promoter) bool { return sameDaemon(p, q) }) {
			return false
		}
	}
	now, before := Synced(list), Synced(old)
	return subset(now, before) && (len(now) > 0 || len(before) == 0)
}

// subset reports whether b holds every element of a.
func subset(a, b []topology.TargetID) bool {
	for _, t := range a {
		if !slices.Contains(b, t) {
			return false
		}
	}
	return true
}

// firstVersion is the version of a group's first row.
const firstVersion = 1

// FirstRow returns the row for a group that has none yet. No entry is synced, so no
// replica is promoted until the holder has found one that has caught up. The caller
// commits the row on the condition that none exists.
func FirstRow(group topology.GroupID, term uint64, primary topology.TargetID, list []topology.Promoter, changeID string) *topology.Group {
	list = slices.Clone(list)
	for i := range list {
		list[i].Synced = false
	}
	return &topology.Group{ID: group, Version: firstVersion, Term: term, Primary: primary, Promoters: list, ChangeID: changeID}
}

// ChangeList returns the row with another list, or nil if the list is empty or too
// many lists are unsettled. The old list becomes unsettled unless the new one covers
// it: a member's confirmation also applies to earlier versions, so members that were
// in the old list can confirm for it.
func ChangeList(row *topology.Group, list []topology.Promoter, changeID string) *topology.Group {
	if len(list) == 0 {
		return nil
	}
	next := row.Clone()
	if !covered(list, row.Promoters) {
		if len(next.Unsettled) >= maxUnsettled {
			return nil
		}
		old := topology.PromoterList{Version: row.Version, Promoters: row.Clone().Promoters}
		next.Unsettled = append(next.Unsettled, old)
	}
	next.Version++
	next.Promoters = slices.Clone(list)
	next.ChangeID = changeID
	return next
}

// Settle returns the row without the unsettled lists of the given versions.
func Settle(row *topology.Group, versions []uint64, changeID string) *topology.Group {
	next := row.Clone()
	next.Unsettled = slices.DeleteFunc(next.Unsettled, func(l topology.PromoterList) bool {
		return slices.Contains(versions, l.Version)
	})
	next.Version++
	next.ChangeID = changeID
	return next
}

// Promote returns the row of the next term. It records end, the position of the
// promoted replica, as the end of the current term.
func Promote(row *topology.Group, to topology.TargetID, end position.Position, list []topology.Promoter, changeID string) *topology.Group {
	next := row.Clone()
	next.Version++
	next.Term++
	next.Primary = to
	next.Promoters = slices.Clone(list)
	next.Unsettled = nil
	next.History = append(next.History, topology.TermEnd{Term: row.Term, End: end})
	next.ChangeID = changeID
	return next
}

// Surplus is the range of positions that a target holds but the group's history does
// not contain.
type Surplus struct {
	// From is the last position that is in both the target and the history.
	From position.Position
	// To is the target's newest position.
	To position.Position
}

// SurplusOf returns which positions of a returning target are lost writes: those after
// the end of the term in which it stopped. It returns false if there are none.
func SurplusOf(row *topology.Group, target position.Position) (Surplus, bool) {
	for _, h := range row.History {
		if h.Term != target.Term {
			continue
		}
		return Surplus{From: h.End, To: target}, h.End.Less(target)
	}
	return Surplus{}, false
}
