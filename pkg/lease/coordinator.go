package lease

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Coordinator is what this VM does for the groups that it coordinates.
type Coordinator struct {
	vm          topology.VMID
	incarnation topology.Incarnation
	groups      map[topology.GroupID]*coordinated
}

// coordinated is one group's part.
type coordinated struct {
	row *Row
	// confirmed is when the newest reading began that showed the row as ours.
	confirmed mono.Time
	// withdrawn: no promise is given, since a change that closes the row is or
	// may be under way.
	withdrawn bool
	// closed is when the change that closed the row was answered.
	closed mono.Time
	// inherited is until when promises of an earlier coordinator may stand.
	inherited mono.Time
	// takenAt is when this VM took the group over, and formers the earlier
	// coordinators, each with until when its promises may stand.
	takenAt mono.Time
	formers []former
	// contacts are when each witness was heard.
	contacts map[topology.VMID]mono.Time
	adopted  map[topology.VMID]adoption
	// promised is until when the promise to each VM stands.
	promised map[topology.VMID]mono.Time
}

// former is an earlier coordinator as this one sees it.
type former struct {
	Former
	// until is when its promises have lapsed; stopped: it is known to have stopped.
	until   mono.Time
	stopped bool
}

// adoption is the newest version that a VM says to have adopted.
type adoption struct {
	incarnation topology.Incarnation
	version     uint64
}

// NewCoordinator coordinates nothing yet.
func NewCoordinator(vm topology.VMID, incarnation topology.Incarnation) *Coordinator {
	return &Coordinator{vm: vm, incarnation: incarnation, groups: map[topology.GroupID]*coordinated{}}
}

// Observe takes over a row that a reading, sent at began, or a change of this VM,
// sent at began and answered at now, showed.
func (c *Coordinator) Observe(row *Row, began, now mono.Time) {
	g := c.groups[row.Group]
	if row.Coordinator != c.vm || row.Incarnation != c.incarnation {
		if g != nil && row.Version > g.row.Version {
			delete(c.groups, row.Group) // Another VM has taken over.
		}
		return
	}
	if g == nil {
		g = &coordinated{row: row, adopted: map[topology.VMID]adoption{}, promised: map[topology.VMID]mono.Time{}, contacts: map[topology.VMID]mono.Time{}}
		g.inherit(row, now)
		c.groups[row.Group] = g
	}
	if row.Version < g.row.Version {
		return
	}
	if row.Version > g.row.Version || row.Version == g.row.Version && g.confirmed == 0 {
		g.take(row, now)
	}
	g.confirmed = max(g.confirmed, began)
}

// inherit notes until when promises of the coordinators before may stand: each goes on
// promising until it learns of the change or reaches its limit.
func (g *coordinated) inherit(row *Row, now mono.Time) {
	if row.Fence <= 1 {
		return
	}
	g.takenAt = now
	g.inherited = now.Add(Duration + margin) // What one that ended promised last.
	for _, f := range row.Formers {
		g.formers = append(g.formers, former{Former: f, until: now.Add(CoordinatorLimit + Duration + margin)})
	}
	g.inheritLatest()
}

func (g *coordinated) inheritLatest() {
	latest := g.takenAt.Add(Duration + margin)
	for _, f := range g.formers {
		latest = max(latest, f.until)
	}
	g.inherited = latest
}

// shorten ends the wait for earlier coordinators that are known to have stopped: one that,
// or a later start of which, has adopted the change; or one most of whose witnesses have,
// so that it has lost their contact, and its last reading has run out.
func (g *coordinated) shorten(now mono.Time) {
	for i := range g.formers {
		f := &g.formers[i]
		if f.stopped {
			continue
		}
		stops, known := g.stops(f, now)
		if known {
			f.stopped = true
			f.until = min(f.until, stops.Add(Duration+margin))
		}
	}
	if g.takenAt != 0 {
		g.inheritLatest()
	}
}

// stops returns by when an earlier coordinator gives its last promise, if that is known.
func (g *coordinated) stops(f *former, now mono.Time) (mono.Time, bool) {
	if g.adopted[f.VM].version >= f.Version {
		return now, true
	}
	following := 0
	for _, vm := range f.Witnesses {
		if g.adopted[vm].version >= f.Version {
			following++
		}
	}
	if 2*following <= len(f.Witnesses) {
		return 0, false
	}
	return max(g.takenAt.Add(storeGrace), now.Add(contactGrace)), true
}

// mayPromise reports whether the coordinator can still be the only one: it has read
// the row lately, or it hears most of the witnesses and is within its limit.
func (g *coordinated) mayPromise(now mono.Time) bool {
	if now.Before(g.confirmed.Add(storeGrace)) {
		return true
	}
	heard := 0
	for _, vm := range g.row.Witnesses {
		if at := g.contacts[vm]; at != 0 && now.Sub(at) < contactGrace {
			heard++
		}
	}
	return 2*heard > len(g.row.Witnesses) && now.Before(g.confirmed.Add(CoordinatorLimit))
}

func (g *coordinated) take(row *Row, now mono.Time) {
	g.row = row
	g.withdrawn = !row.Open()
	if !row.Open() && g.closed == 0 {
		g.closed = now
	}
	if row.Open() {
		g.closed = 0
	}
}

// Row returns the row if this VM coordinates the group, or nil.
func (c *Coordinator) Row(group topology.GroupID) *Row {
	if g := c.groups[group]; g != nil {
		return g.row
	}
	return nil
}

// Groups lists the groups that this VM coordinates.
func (c *Coordinator) Groups() []topology.GroupID {
	ids := make([]topology.GroupID, 0, len(c.groups))
	for id := range c.groups {
		ids = append(ids, id)
	}
	return ids
}

// Confirmed returns when the newest reading began that showed the row as ours.
func (c *Coordinator) Confirmed(group topology.GroupID) mono.Time {
	if g := c.groups[group]; g != nil {
		return g.confirmed
	}
	return 0
}

// Withdraw ends promises: a change that closes the row is about to be sent, and
// its answer may be lost.
func (c *Coordinator) Withdraw(group topology.GroupID) {
	if g := c.groups[group]; g != nil {
		g.withdrawn = true
	}
}

// Withdrawn reports whether the row is open although promises have stopped: a change
// that was to close it has an unknown outcome.
func (c *Coordinator) Withdrawn(group topology.GroupID) bool {
	g := c.groups[group]
	return g != nil && g.withdrawn && g.row.Open()
}

// Restore allows promises again: the row was read, and the change did not and
// can't take effect.
func (c *Coordinator) Restore(group topology.GroupID) {
	if g := c.groups[group]; g != nil && g.row.Open() {
		g.withdrawn = false
	}
}

// Promise answers a VM that has adopted a version, and reports whether it may hold
// the right under it.
func (c *Coordinator) Promise(group topology.GroupID, vm topology.VMID, inc topology.Incarnation, version uint64, now mono.Time) bool {
	g := c.groups[group]
	if g == nil {
		return false
	}
	if a := g.adopted[vm]; inc > a.incarnation || inc == a.incarnation && version > a.version {
		g.adopted[vm] = adoption{incarnation: inc, version: version}
		g.shorten(now)
	}
	if version <= g.row.Version {
		g.contacts[vm] = now
	}
	if g.withdrawn || !g.row.Open() || version != g.row.Version || !g.mayPromise(now) {
		return false
	}
	g.promised[vm] = now.Add(Duration + margin)
	return true
}

// Settled reports whether no promise of an earlier coordinator can stand any more, so
// that a change which is not urgent can be made without a long wait.
func (c *Coordinator) Settled(group topology.GroupID, now mono.Time) bool {
	g := c.groups[group]
	return g != nil && !now.Before(g.inherited)
}

// RightsEnded reports whether no VM can have a right any more. registered are the
// VMs that the store listed after the row was closed: one that registers later
// reads the closed row.
//
// A VM that has adopted the closed row holds nothing. Of one that has not, what it
// read or was promised lapses by itself; after a change of the coordinator this
// includes promises that the earlier one gave while it could not know of it.
func (c *Coordinator) RightsEnded(group topology.GroupID, registered []topology.VM, now mono.Time) bool {
	g := c.groups[group]
	if g == nil || g.row.Open() || g.closed == 0 {
		return false
	}
	lapsed := !now.Before(g.closed.Add(Duration+margin)) && !now.Before(g.inherited)
	if lapsed {
		return true
	}
	for _, vm := range registered {
		if !g.holdsNothing(vm.ID, vm.Incarnation) {
			return false
		}
	}
	// A VM whose registration was removed may still hold a promise.
	for vm, until := range g.promised {
		if now.Before(until) && !g.holdsNothing(vm, 0) {
			return false
		}
	}
	return true
}

// Unconfirmed lists the VMs among the registered ones that may still have a right, since they
// have not confirmed the closed row.
func (c *Coordinator) Unconfirmed(group topology.GroupID, registered []topology.VM) []topology.VMID {
	g := c.groups[group]
	if g == nil || g.row.Open() {
		return nil
	}
	var ids []topology.VMID
	for _, vm := range registered {
		if !g.holdsNothing(vm.ID, vm.Incarnation) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func (g *coordinated) holdsNothing(vm topology.VMID, incarnation topology.Incarnation) bool {
	a := g.adopted[vm]
	return a.incarnation >= incarnation && a.version >= g.row.Handover.ClosedAt
}
