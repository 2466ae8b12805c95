package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// handleNotice adopts the rows and confirms them at once, as the coordinator waits for it.
func (l *Lead) handleNotice(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMessage[m.From] = l.Clock.Now()
	if m.Leaving {
		l.leavingVMs[m.From] = m.Incarnation
	}
	for _, p := range m.Groups {
		if p.Row == nil {
			continue
		}
		l.adopt(p.Row, string(m.From))
		if x := l.renewals[p.Row.Coordinator]; x != nil {
			x.sent = 0
		}
	}
	l.renew(l.Clock.Now())
}

// successorHeadStart is how much earlier the next coordinator receives a row than the other VMs. It
// reads the row from the store before it promises anything, and a VM that sends it a renewal before
// then waits for its right until its next renewal.
const successorHeadStart = 50 * time.Millisecond

// notify sends rows of one coordinator to all VMs.
func (l *Lead) notify(rows ...*lease.Row) {
	if len(rows) == 0 {
		return
	}
	for batch := range slices.Chunk(rows, rowsPerMessage) {
		l.sendNotice(batch)
	}
}

func (l *Lead) sendNotice(rows []*lease.Row) {
	m := l.newNotice(rows)
	if rows[0].Coordinator == l.self.ID {
		l.sendToMany(l.followersOf(rows), m)
		return
	}
	l.sendTo(rows[0].Coordinator, m)
	time.AfterFunc(successorHeadStart, func() { l.sendToMany(l.followersOf(rows), m) })
}

// followersOf returns the VMs that follow any of the rows: all VMs if there are few groups, and otherwise
// those that have subscribed to one, and its witnesses. Everyone follows the first group.
func (l *Lead) followersOf(rows []*lease.Row) []topology.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.followsAll() || slices.ContainsFunc(rows, func(row *lease.Row) bool { return row.Group == l.groups()[0] }) {
		return l.vmIDs()
	}
	followers := map[topology.VMID]bool{}
	for _, row := range rows {
		addWitnesses(followers, row)
	}
	for vm, groups := range l.subscribed {
		subscribes := func(row *lease.Row) bool {
			_, ok := slices.BinarySearch(groups, row.Group)
			return ok
		}
		if slices.ContainsFunc(rows, subscribes) {
			followers[vm] = true
		}
	}
	return slices.Sorted(maps.Keys(followers))
}

// addWitnesses adds the VMs whose messages a row's coordinator may wait for.
func addWitnesses(vms map[topology.VMID]bool, row *lease.Row) {
	for _, vm := range row.Witnesses {
		vms[vm] = true
	}
	for _, f := range row.Formers {
		vms[f.VM] = true
		for _, vm := range f.Witnesses {
			vms[vm] = true
		}
	}
}

func (l *Lead) newNotice(rows []*lease.Row) *message {
	m := &message{Kind: notice, From: l.self.ID, Incarnation: l.self.Incarnation, Leaving: l.isLeaving()}
	for _, row := range rows {
		m.Groups = append(m.Groups, groupEntry{Group: row.Group, Version: row.Version, Row: row})
	}
	return m
}

func (l *Lead) vmIDs() []topology.VMID {
	vms := l.Directory.VMs()
	ids := make([]topology.VMID, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}
