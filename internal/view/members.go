package view

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// SetList merges the platform's list of VMs, which is only a hint.
func (v *View) SetList(vms []topology.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peersListed = v.peersListed || slices.ContainsFunc(vms, func(vm topology.VM) bool { return vm.ID != v.self.ID })
	if v.members.MergeList(vms, v.clock.Now()) {
		v.refresh()
	}
}

// listGrace is how long a starting daemon waits for a list with another VM in it.
// After that it assigns targets among the VMs that it knows: it has to serve during a
// platform outage, or when it is the only VM.
const listGrace = 5 * time.Second

// canAssign reports whether poolers can be chosen yet. Failure: a starting daemon
// knows only itself, so every configured target is assigned to it, and it opens
// thousands of connections that the actual poolers have open already. The rows of the
// other VMs arrive within milliseconds; the caller holds the lock.
func (v *View) canAssign() bool {
	return v.peersListed || v.clock.Now().Sub(v.started) >= listGrace
}

// Observe takes in evidence about another VM.
func (v *View) Observe(ev membership.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.members.Observe(ev) {
		v.refresh()
	}
}

// Leave marks this VM as leaving: it gets no new roles.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Leaving = true
	v.members.Leave(v.clock.Now())
	v.refresh()
}

// LivePeers returns the other live VMs, which may be given work.
func (v *View) LivePeers() []topology.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.liveVMs()
}

// PromoterGroupCount counts the groups whose row lists this incarnation of this VM
// as a promoter.
func (v *View) PromoterGroupCount() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	n := 0
	for _, row := range v.groups {
		if slices.ContainsFunc(row.Promoters, v.isSelf) {
			n++
		}
	}
	return n
}

func (v *View) isSelf(p topology.Promoter) bool {
	return p.VM == v.self.ID && p.Incarnation == v.self.Incarnation
}

// HeardWithin reports whether a VM gave a sign of life in the last d.
func (v *View) HeardWithin(id topology.VMID, d time.Duration) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	at, ok := v.members.LastSeen(id)
	return ok && v.clock.Now().Sub(at) <= d
}

// Statuses returns what is known of all VMs.
func (v *View) Statuses() []membership.Status {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.members.Statuses()
}

// VM finds a VM by its id.
func (v *View) VM(id topology.VMID) (topology.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	vm, ok := v.vms[id]
	return vm, ok
}

// PoolerOf returns the VM that pools the target's connections.
func (v *View) PoolerOf(id topology.TargetID) (topology.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.poolerOf(id)
}

func (v *View) poolerOf(id topology.TargetID) (topology.VM, bool) {
	if v.conf == nil {
		return topology.VM{}, false
	}
	t, ok := v.conf.Target(id)
	if !ok {
		return topology.VM{}, false
	}
	vm, ok := v.live.PoolerOf(id, t.DataCentre)
	if !ok {
		return topology.VM{}, false
	}
	return v.vms[vm], true
}

// Assignments implements failover.Directory: it returns the groups in which this VM
// pools a target. They are computed once after each change of the VMs or the
// configuration, since that visits every group.
func (v *View) Assignments() []failover.Assignment {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.canAssign() {
		return nil
	}
	if !v.assignmentsValid {
		v.assignments = v.computeAssignments()
		v.assignmentsValid = true
	}
	return v.assignments
}

func (v *View) computeAssignments() []failover.Assignment {
	if v.conf == nil {
		return nil
	}
	var assignments []failover.Assignment
	for _, id := range v.conf.AllGroups() {
		g, _ := v.conf.Group(id)
		assignment := failover.Assignment{Group: id}
		for _, t := range g.Targets {
			vm, ok := v.poolerOf(t.ID)
			if !ok {
				continue
			}
			if vm.ID == v.self.ID {
				assignment.Targets = append(assignment.Targets, t.ID)
			}
			if t.Leaving {
				continue // A leaving target must not become the primary.
			}
			assignment.Candidates = append(assignment.Candidates, topology.Promoter{VM: vm.ID, Incarnation: vm.Incarnation, Replica: t.ID})
		}
		if len(assignment.Targets) > 0 {
			assignments = append(assignments, assignment)
		}
	}
	return assignments
}

// Witness implements failover.Directory: it returns a live VM in a data centre that is
// neither this VM's nor the target's, or else one outside this VM's data centre.
func (v *View) Witness(id topology.TargetID) (topology.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.conf == nil {
		return topology.VM{}, false
	}
	t, _ := v.conf.Target(id)
	var fallback topology.VM
	for _, vm := range v.liveVMs() {
		if vm.DataCentre == v.self.DataCentre {
			continue
		}
		if vm.DataCentre != t.DataCentre {
			return vm, true
		}
		fallback = vm
	}
	return fallback, fallback.ID != ""
}

// liveVMs returns the other live VMs, sorted by id; the caller holds the lock.
func (v *View) liveVMs() []topology.VM {
	var vms []topology.VM
	for _, s := range v.members.Statuses() {
		if s.State == membership.Live && s.VM.ID != v.self.ID {
			vms = append(vms, s.VM)
		}
	}
	return vms
}

// IsRelay implements relay.Directory.
func (v *View) IsRelay() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Contains(v.live.Relays(v.self.DataCentre), v.self.ID)
}

// FirstRelay reports whether this VM is the first relay of its data centre.
func (v *View) FirstRelay() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	relays := v.live.Relays(v.self.DataCentre)
	return len(relays) > 0 && relays[0] == v.self.ID
}

// Relays implements relay.Directory: it returns the relays of this data centre first.
func (v *View) Relays() []topology.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	vms := v.rotate(v.relaysIn(v.self.DataCentre))
	if v.conf == nil {
		return vms
	}
	for _, dc := range v.conf.DataCentres() {
		if dc.Name != v.self.DataCentre {
			vms = append(vms, v.relaysIn(dc.Name)...)
		}
	}
	return vms
}

// rotate starts the list at an offset that depends on this VM's id: otherwise all VMs
// would watch the first relay.
func (v *View) rotate(vms []topology.VM) []topology.VM {
	if len(vms) == 0 {
		return vms
	}
	at := int(xxhash.Sum64String(string(v.self.ID)) % uint64(len(vms)))
	return slices.Concat(vms[at:], vms[:at])
}

func (v *View) relaysIn(dc topology.DataCentre) []topology.VM {
	var vms []topology.VM
	for _, id := range v.live.Relays(dc) {
		if id != v.self.ID {
			vms = append(vms, v.vms[id])
		}
	}
	return vms
}
