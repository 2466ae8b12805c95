package lease

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Coordinator holds the state of the groups that this VM coordinates. It decides
// which VMs get a promise, and when all rights under a closed row have ended.
type Coordinator struct {
	vm          topology.VMID
	incarnation topology.Incarnation
	groups      map[topology.GroupID]*coordinatedGroup
	// newest is the newest version known of each group's row, whoever coordinates the group.
	newest map[topology.GroupID]uint64
}

// coordinatedGroup is the state of one group.
type coordinatedGroup struct {
	row *Row
	// confirmed is the start of the newest read that showed this VM as the coordinator.
	confirmed mono.Time
	// withdrawn is set while no promise is given: the row is closed, or a change that
	// closes it may be in progress.
	withdrawn bool
	// closedSince is when this VM learned that the row is closed, or 0 if it is open.
	closedSince mono.Time
	// inheritedUntil is until when promises of earlier coordinators may be valid.
	inheritedUntil mono.Time
	// takenOverAt is when this VM took the group over, and formers are the earlier
	// coordinators, each with the time until which its promises may be valid.
	takenOverAt mono.Time
	formers     []former
	// ordersEnd is the moment from which no order of an earlier coordinator is in flight any more; 0 if there was none.
	ordersEnd mono.Time
	// lastContact is when each VM last asked for a promise without naming a version
	// newer than the row.
	lastContact map[topology.VMID]mono.Time
	adopted     map[topology.VMID]adoption
	// promisedUntil is until when the promise to each VM is valid.
	promisedUntil map[topology.VMID]mono.Time
}

// former is an earlier coordinator and what is known of its promises.
type former struct {
	Former
	// until is when all of its promises have lapsed. stopped is set once it is known
	// to give no more promises.
	until   mono.Time
	stopped bool
}

// adoption is the newest version that a VM has reported as adopted.
type adoption struct {
	incarnation topology.Incarnation
	version     uint64
}

// NewCoordinator returns a coordinator without groups.
func NewCoordinator(vm topology.VMID, incarnation topology.Incarnation) *Coordinator {
	return &Coordinator{
		vm: vm, incarnation: incarnation, groups: map[topology.GroupID]*coordinatedGroup{}, newest: map[topology.GroupID]uint64{},
	}
}

// Supersede applies a row that is no evidence that its coordinator still is the only one: it ends
// this VM's coordination if the row is newer and names another VM.
func (c *Coordinator) Supersede(row *Row) {
	c.newest[row.Group] = max(c.newest[row.Group], row.Version)
	ours := row.Coordinator == c.vm && row.Incarnation == c.incarnation
	if g := c.groups[row.Group]; g != nil && !ours && row.Version > g.row.Version {
		delete(c.groups, row.Group)
	}
}

// Observe applies a row that was read from the store or written by this VM. began is
// when the read or write was sent, now when its answer arrived.
//
// An answer may be applied after one with a newer row, for example if this VM was paused before it
// applied either. The older row would make this VM the coordinator again, beside its successor.
func (c *Coordinator) Observe(row *Row, began, now mono.Time) {
	c.Supersede(row)
	if row.Coordinator != c.vm || row.Incarnation != c.incarnation || row.Version < c.newest[row.Group] {
		return
	}
	g := c.groups[row.Group]
	if g == nil {
		g = &coordinatedGroup{row: row, adopted: map[topology.VMID]adoption{}, promisedUntil: map[topology.VMID]mono.Time{}, lastContact: map[topology.VMID]mono.Time{}}
		if row.Fence > 1 {
			g.takenOverAt = now
			g.ordersEnd = ordersEnd(row, now)
		}
		c.groups[row.Group] = g
	} else if row.Fence > g.row.Fence {
		g.ordersEnd = ordersEnd(row, now) // Another VM has coordinated the group meanwhile.
	}
	if row.Version > g.row.Version || row.Version == g.row.Version && g.confirmed == 0 {
		g.setRow(row, now)
	}
	g.confirmed = max(g.confirmed, began)
}

// ordersEnd returns the moment from which no order of earlier coordinators is in flight any more, for a row that was taken over.
// A coordinator sends orders to targets only while the row is closed.
func ordersEnd(row *Row, now mono.Time) mono.Time {
	if row.Open() || row.Quiet {
		return 0
	}
	return now.Add(OrderLife)
}

// inherit notes the earlier coordinators that a row names: each goes on giving promises until it
// learns of the takeover or reaches its limit.
func (g *coordinatedGroup) inherit(row *Row, now mono.Time) {
	for _, f := range row.Formers {
		known := slices.ContainsFunc(g.formers, func(k former) bool { return k.VM == f.VM && k.Version == f.Version })
		if known {
			continue
		}
		g.takenOverAt = now
		g.formers = append(g.formers, former{Former: f, until: now.Add(CoordinatorLimit + Duration + margin)})
	}
	if g.takenOverAt != 0 {
		g.updateInherited()
	}
}

func (g *coordinatedGroup) updateInherited() {
	latest := g.takenOverAt.Add(Duration + margin) // The last promise of a coordinator that has stopped.
	for _, f := range g.formers {
		latest = max(latest, f.until)
	}
	g.inheritedUntil = latest
}

// shortenWaits ends the wait for earlier coordinators that are known to have stopped. Such
// a coordinator has adopted the takeover, in the same or a later incarnation; or most of its
// witnesses have, so that it has lost contact with them, and its last read of the row has
// become too old.
func (g *coordinatedGroup) shortenWaits(now mono.Time) {
	for i := range g.formers {
		f := &g.formers[i]
		if f.stopped {
			continue
		}
		lastPromise, known := g.lastPromise(f, now)
		if known {
			f.stopped = true
			f.until = min(f.until, lastPromise.Add(Duration+margin))
		}
	}
	if g.takenOverAt != 0 {
		g.updateInherited()
	}
}

// lastPromise returns by when an earlier coordinator gives its last promise, if that is known.
func (g *coordinatedGroup) lastPromise(f *former, now mono.Time) (mono.Time, bool) {
	if g.adopted[f.VM].version >= f.Version {
		return now, true
	}
	adopters := 0
	for _, vm := range f.Witnesses {
		if g.adopted[vm].version >= f.Version {
			adopters++
		}
	}
	if 2*adopters <= len(f.Witnesses) {
		return 0, false
	}
	return max(g.takenOverAt.Add(storeGrace), now.Add(contactGrace)), true
}

// mayPromise reports whether this VM is certainly still the only coordinator: it has read
// the row within storeGrace, or it has read it within CoordinatorLimit and is in contact
// with most of the witnesses.
func (g *coordinatedGroup) mayPromise(now mono.Time) bool {
	if now.Before(g.confirmed.Add(storeGrace)) {
		return true
	}
	return g.inContact(now) && now.Before(g.confirmed.Add(CoordinatorLimit))
}

// inContact reports whether this VM is in contact with most of the witnesses.
func (g *coordinatedGroup) inContact(now mono.Time) bool {
	inContact := 0
	for _, vm := range g.row.Witnesses {
		if at := g.lastContact[vm]; at != 0 && now.Sub(at) < contactGrace {
			inContact++
		}
	}
	return 2*inContact > len(g.row.Witnesses)
}

func (g *coordinatedGroup) setRow(row *Row, now mono.Time) {
	g.row = row
	g.inherit(row, now)
	g.withdrawn = !row.Open()
	if !row.Open() && g.closedSince == 0 {
		g.closedSince = now
	}
	if row.Open() {
		g.closedSince = 0
	}
}

// Row returns the group's row if this VM coordinates the group, or nil.
func (c *Coordinator) Row(group topology.GroupID) *Row {
	if g := c.groups[group]; g != nil {
		return g.row
	}
	return nil
}

// Coordinates reports whether this VM coordinates the row's group and knows no other version of the row.
func (c *Coordinator) Coordinates(row *Row) bool {
	known := c.Row(row.Group)
	return known != nil && known.Version == row.Version && c.newest[row.Group] == row.Version
}

// Groups lists the groups that this VM coordinates.
func (c *Coordinator) Groups() []topology.GroupID {
	ids := make([]topology.GroupID, 0, len(c.groups))
	for id := range c.groups {
		ids = append(ids, id)
	}
	return ids
}

// Confirmed returns the start of the newest read that showed this VM as the group's
// coordinator, or 0 if there was none.
func (c *Coordinator) Confirmed(group topology.GroupID) mono.Time {
	if g := c.groups[group]; g != nil {
		return g.confirmed
	}
	return 0
}

// OrdersEnd returns the moment from which no order of an earlier coordinator of the group is in flight any more, or 0 if
// none could when this VM took the group over.
func (c *Coordinator) OrdersEnd(group topology.GroupID) mono.Time {
	if g := c.groups[group]; g != nil {
		return g.ordersEnd
	}
	return 0
}

// Withdraw stops promises. It is called before a change that closes the row is sent,
// since the answer to that change may be lost.
func (c *Coordinator) Withdraw(group topology.GroupID) {
	if g := c.groups[group]; g != nil {
		g.withdrawn = true
	}
}

// Withdrawn reports whether promises are stopped although the row is open: the outcome
// of a change that closes it is unknown.
func (c *Coordinator) Withdrawn(group topology.GroupID) bool {
	g := c.groups[group]
	return g != nil && g.withdrawn && g.row.Open()
}

// Restore allows promises again. It is called when a read of the row has shown that the
// change did not take effect and no longer can.
func (c *Coordinator) Restore(group topology.GroupID) {
	if g := c.groups[group]; g != nil && g.row.Open() {
		g.withdrawn = false
	}
}

// Promise handles the request of a VM that has adopted a version, and reports whether
// the VM may hold the right under that version.
func (c *Coordinator) Promise(group topology.GroupID, vm topology.VMID, inc topology.Incarnation, version uint64, now mono.Time) bool {
	g := c.groups[group]
	if g == nil {
		return false
	}
	if a := g.adopted[vm]; inc > a.incarnation || inc == a.incarnation && version > a.version {
		g.adopted[vm] = adoption{incarnation: inc, version: version}
		g.shortenWaits(now)
	}
	if version <= g.row.Version {
		g.lastContact[vm] = now
	}
	if g.withdrawn || !g.row.Open() || version != g.row.Version || !g.mayPromise(now) {
		return false
	}
	g.promisedUntil[vm] = now.Add(Duration + margin)
	return true
}

// InContact reports whether this VM coordinates the group and is in contact with most of its
// witnesses, so that no other VM has taken the group over and changed its primary.
func (c *Coordinator) InContact(group topology.GroupID, now mono.Time) bool {
	g := c.groups[group]
	return g != nil && g.inContact(now)
}

// Settled reports whether all promises of earlier coordinators have lapsed, so that
// a change which is not urgent can be made without a long wait.
func (c *Coordinator) Settled(group topology.GroupID, now mono.Time) bool {
	g := c.groups[group]
	return g != nil && !now.Before(g.inheritedUntil)
}

// RightsEnded reports whether no VM can have a right any more. registered are the
// VMs that the store listed after the row was closed: a VM that registers later
// reads the closed row.
//
// A VM that has adopted the closed row has no right. The rights of any other VM, from
// its own reads or from promises, lapse with time. After a change of the coordinator
// these include promises that the earlier coordinator gave before it learned of the change.
func (c *Coordinator) RightsEnded(group topology.GroupID, registered []topology.VM, now mono.Time) bool {
	g := c.groups[group]
	if g == nil || g.row.Open() || g.closedSince == 0 {
		return false
	}
	lapsed := !now.Before(g.closedSince.Add(Duration+margin)) && !now.Before(g.inheritedUntil)
	if lapsed {
		return true
	}
	if g.mayLackRegistrations(now) {
		return false
	}
	for _, vm := range registered {
		if !g.hasConfirmed(vm.ID, vm.Incarnation) {
			return false
		}
	}
	// A VM whose registration was removed may still hold a promise.
	for vm, until := range g.promisedUntil {
		if now.Before(until) && !g.hasConfirmed(vm, 0) {
			return false
		}
	}
	return true
}

// mayLackRegistrations reports whether a VM may have a right although it is not registered: the store
// was restored so recently that the rights of a VM whose registration it has lost may be valid.
func (g *coordinatedGroup) mayLackRegistrations(now mono.Time) bool {
	lost := slices.ContainsFunc(g.row.Formers, func(f Former) bool { return f.VM == "" })
	return lost && now.Before(g.takenOverAt.Add(Duration+margin))
}

// Unconfirmed returns the registered VMs that may still have a right because they have
// not confirmed the closed row.
func (c *Coordinator) Unconfirmed(group topology.GroupID, registered []topology.VM) []topology.VMID {
	g := c.groups[group]
	if g == nil || g.row.Open() {
		return nil
	}
	var ids []topology.VMID
	for _, vm := range registered {
		if !g.hasConfirmed(vm.ID, vm.Incarnation) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// hasConfirmed reports whether a VM, in this incarnation or a later one, has adopted the
// closed row and so has no right.
func (g *coordinatedGroup) hasConfirmed(vm topology.VMID, incarnation topology.Incarnation) bool {
	a := g.adopted[vm]
	return a.incarnation >= incarnation && a.version >= g.row.Handover.ClosedAt
}
