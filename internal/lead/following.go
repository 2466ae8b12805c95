package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// followAllGroups is the number of groups up to which every VM follows all of them.
	followAllGroups = 64
	// followTTL is how long a VM follows a group after a caller last needed a right for it.
	followTTL = 15 * time.Second
	// followPeriod is how often a VM drops the groups that it no longer needs and looks which targets it
	// holds connections to. Each change costs one renewal that lists all groups.
	followPeriod = 2 * time.Second
)

// following is the set of groups whose rights this VM keeps renewed and whose rows it keeps up to date:
// those that its callers use, those whose targets it holds connections to, and those of which it is the
// coordinator or a witness. So what a VM sends and receives follows what it serves, not the number of
// groups. Where there are few groups it follows all of them.
type following struct {
	// wanted is when a caller last needed a right, by group.
	wanted map[topology.GroupID]mono.Time
	// held are the groups of the targets that this VM holds connections to.
	held map[topology.GroupID]bool
	// checked is when held was last updated and wanted last pruned.
	checked mono.Time
	// groups are the groups followed, in order, and rows their rows by coordinator. They are valid unless
	// stale is set, for the directory as of changes and the rows as of adopted.
	groups           []topology.GroupID
	rows             map[topology.VMID][]*lease.Row
	stale            bool
	changes, adopted uint64
}

func newFollowing() following {
	return following{wanted: map[topology.GroupID]mono.Time{}, held: map[topology.GroupID]bool{}, stale: true}
}

// followed returns the groups that this VM follows, in order. The slice must not be changed.
func (l *Lead) followed() []topology.GroupID {
	l.updateFollowing()
	return l.following.groups
}

// rowsOf returns the known rows of a coordinator among the groups that this VM follows, in the order of
// their groups. The slice must not be changed.
func (l *Lead) rowsOf(coordinator topology.VMID) []*lease.Row {
	l.updateFollowing()
	return l.following.rows[coordinator]
}

func (l *Lead) updateFollowing() {
	f := &l.following
	changes, adopted := l.Directory.Changes(), l.holder.Adopted()
	if !f.stale && f.changes == changes && f.adopted == adopted {
		return
	}
	f.stale, f.changes, f.adopted = false, changes, adopted
	f.groups = l.groups()
	if len(f.groups) > followAllGroups {
		f.groups = slices.DeleteFunc(slices.Clone(f.groups), func(g topology.GroupID) bool { return !l.follows(g) })
	}
	f.rows = map[topology.VMID][]*lease.Row{}
	for _, group := range f.groups {
		if row := l.holder.Row(group); row != nil {
			f.rows[row.Coordinator] = append(f.rows[row.Coordinator], row)
		}
	}
}

// follows reports whether this VM needs a group. All VMs follow the first one, so that each knows the
// coordinator from which it gets rows that it lacks.
func (l *Lead) follows(group topology.GroupID) bool {
	if _, wanted := l.following.wanted[group]; wanted || l.following.held[group] || group == l.groups()[0] {
		return true
	}
	if l.coordinator.Row(group) != nil {
		return true
	}
	row := l.holder.Row(group)
	return row != nil && (row.Coordinator == l.self.ID || l.isWitness(row))
}

// isWitness reports whether this VM is a witness of a row, or of one of its former coordinators: both wait
// for its messages.
func (l *Lead) isWitness(row *lease.Row) bool {
	if slices.Contains(row.Witnesses, l.self.ID) {
		return true
	}
	return slices.ContainsFunc(row.Formers, func(f lease.Former) bool { return slices.Contains(f.Witnesses, l.self.ID) })
}

// followsAll reports whether every VM follows all groups.
func (l *Lead) followsAll() bool { return len(l.groups()) <= followAllGroups }

// want records that a caller needs a right for a group, and asks for its promise at once if this VM has
// not followed the group.
func (l *Lead) want(group topology.GroupID, now mono.Time) {
	if l.followsAll() {
		return
	}
	known := l.isFollowed(group)
	l.following.wanted[group] = now
	if known {
		return
	}
	l.following.stale = true
	l.askAbout([]topology.GroupID{group}, now)
}

func (l *Lead) isFollowed(group topology.GroupID) bool {
	_, ok := slices.BinarySearch(l.followed(), group)
	return ok
}

// pruneFollowing drops the groups that callers no longer need, and updates those whose targets this VM
// holds connections to.
func (l *Lead) pruneFollowing(now mono.Time) {
	f := &l.following
	if l.followsAll() || now.Sub(f.checked) < followPeriod {
		return
	}
	f.checked = now
	expired := func(_ topology.GroupID, at mono.Time) bool { return now.Sub(at) > followTTL }
	before := len(f.wanted)
	maps.DeleteFunc(f.wanted, expired)
	held := l.heldGroups()
	if before != len(f.wanted) || !maps.Equal(held, f.held) {
		f.held, f.stale = held, true
	}
	l.askAboutMissing(now)
}

// askAboutMissing asks for the rows of followed groups that this VM lacks: an answer may have been lost.
func (l *Lead) askAboutMissing(now mono.Time) {
	var missing []topology.GroupID
	for _, group := range l.followed() {
		if l.holder.Row(group) == nil {
			missing = append(missing, group)
		}
	}
	l.askInBatches(missing, now)
}

func (l *Lead) heldGroups() map[topology.GroupID]bool {
	held := map[topology.GroupID]bool{}
	for _, t := range l.Directory.Targets() {
		if slices.Contains(l.Directory.Holders(t.Target), l.self.ID) {
			held[t.Group] = true
		}
	}
	return held
}

// askAbout requests promises for groups beyond the usual renewals, and their rows if this VM's are
// outdated. The coordinator of the first group knows the rows of all others, except for a moment.
func (l *Lead) askAbout(groups []topology.GroupID, now mono.Time) {
	asked := map[topology.VMID]*message{}
	main := l.allocatorVM()
	for _, group := range groups {
		row, to := l.holder.Row(group), main
		p := groupEntry{Group: group}
		if row != nil {
			p = l.entryFor(group, row)
			if l.reachable(row.Coordinator) || main == "" {
				to = row.Coordinator
			}
		}
		if to == "" {
			continue
		}
		if asked[to] == nil {
			asked[to] = &message{}
		}
		asked[to].Groups = append(asked[to].Groups, p)
	}
	for to, m := range asked {
		l.sendBeyondRenewals(to, m, now)
	}
}

// sendBeyondRenewals sends a renewal of some groups and leaves the time of the next one as it is.
func (l *Lead) sendBeyondRenewals(to topology.VMID, m *message, now mono.Time) {
	x := l.renewalsTo(to)
	due := x.sent
	l.sendRenewal(to, m, now)
	x.sent = due
}

// noteCoordinatorChange asks the new coordinator of the first group about those followed rows that name
// another VM: it has taken over most of them as well.
func (l *Lead) noteCoordinatorChange(coordinator topology.VMID, now mono.Time) {
	var others []topology.GroupID
	for _, group := range l.followed() {
		if row := l.holder.Row(group); row == nil || row.Coordinator != coordinator {
			others = append(others, group)
		}
	}
	l.askInBatches(others, now)
}

func (l *Lead) askInBatches(groups []topology.GroupID, now mono.Time) {
	for batch := range slices.Chunk(groups, groupsPerQuestion) {
		l.askAbout(batch, now)
	}
}

// groupsPerQuestion is the number of groups in one request for rows: the answer has as many rows.
const groupsPerQuestion = rowsPerMessage
