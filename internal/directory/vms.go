package directory

import (
	"maps"

	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// SetVM stores a VM's registration unless it is of an earlier incarnation than the stored one.
func (d *Directory) SetVM(vm topology.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.vms[vm.ID]
	if known.Incarnation > vm.Incarnation || known == vm {
		return
	}
	d.vms[vm.ID] = vm
	d.stale = true
	known.Incarnation = vm.Incarnation
	if known == vm {
		return // A restart of the same VM changes nothing else.
	}
	d.resetHolders()
	d.notify()
}

// SetVMs replaces all registrations by those of one listing, and reports whether that changes any.
func (d *Directory) SetVMs(vms []topology.VM) bool {
	listed := make(map[topology.VMID]topology.VM, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, vm := range listed {
		vm.Incarnation = max(vm.Incarnation, d.vms[id].Incarnation)
		listed[id] = vm
	}
	if maps.Equal(d.vms, listed) {
		return false
	}
	d.vms = listed
	d.resetHolders()
	d.notify()
	return true
}

// NoteIncarnation records the incarnation as which a VM runs: its registration may be of an earlier one.
func (d *Directory) NoteIncarnation(id topology.VMID, incarnation topology.Incarnation) {
	d.mu.RLock()
	vm, ok := d.vms[id]
	d.mu.RUnlock()
	if !ok || vm.Incarnation >= incarnation {
		return // The usual case.
	}
	vm.Incarnation = incarnation
	d.SetVM(vm)
}

// RemoveVM removes a VM that is no longer registered.
func (d *Directory) RemoveVM(id topology.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.vms, id)
	d.resetHolders()
	d.notify()
}

// VM returns a registered VM.
func (d *Directory) VM(id topology.VMID) (topology.VM, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	vm, ok := d.vms[id]
	return vm, ok
}

// VMs returns the registered VMs ordered by ID. The slice must not be changed.
func (d *Directory) VMs() []topology.VM {
	d.rlockLists()
	defer d.mu.RUnlock()
	return d.vmList
}

func (d *Directory) chooseHolders(t topology.Target) []topology.VMID {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config == nil {
		return nil
	}
	if d.stale {
		d.rebuildLists()
	}
	if d.placement == nil {
		d.placement = placement.NewVMs(d.vmList)
	}
	holders := d.placement.Holders(t, d.config.Connections[t.Group])
	d.holders[t.ID] = holders
	return holders
}

// resetHolders discards the chosen holders; they are chosen again when they are next asked for.
func (d *Directory) resetHolders() {
	clear(d.holders)
	d.placement = nil
	d.relay.setInUse(len(d.vms) >= minRelayVMs)
}

// HolderFor returns the holder of a target to which a customer's requests go first, or "" if any
// holder will do.
func (d *Directory) HolderFor(t topology.Target, customer topology.CustomerID) topology.VMID {
	if customer == "" || d.Configuration().Customers.Len() == 0 {
		return ""
	}
	holders := d.Holders(t)
	if len(holders) == 0 {
		return ""
	}
	return placement.ForCustomer(t.ID, customer, holders)[0]
}

// Holders returns the VMs that connect to a target themselves; the other VMs reach it through them.
// There are none before the first configuration. The slice must not be changed.
func (d *Directory) Holders(t topology.Target) []topology.VMID {
	d.mu.RLock()
	holders, ok := d.holders[t.ID]
	d.mu.RUnlock()
	if ok {
		return holders
	}
	return d.chooseHolders(t)
}
