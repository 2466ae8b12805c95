package membership

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// MergeList merges the platform's list of VMs, read at now, into the table. It
// reports whether any VM's state changed.
func (t *Table) MergeList(vms []topology.VM, now mono.Time) bool {
	for _, e := range t.entries {
		e.listed = false
	}
	changed := false
	for _, vm := range vms {
		changed = t.mergeListed(vm, now) || changed
	}
	for id, e := range t.entries {
		if e.listed || id == t.self {
			continue
		}
		if e.expired(now) {
			delete(t.entries, id)
			changed = true
			continue
		}
		changed = e.observeUnlisted(now) || changed
	}
	return changed
}

// mergeListed merges one VM of the list. The list may be older than the table,
// so it overrides neither evidence nor a leaving mark nor a higher incarnation.
func (t *Table) mergeListed(vm topology.VM, now mono.Time) bool {
	e, known := t.entries[vm.ID]
	if !known {
		t.add(vm, now).listed = true
		return true
	}
	e.listed = true
	if vm.Incarnation < e.VM.Incarnation {
		return false
	}
	if vm.ID == t.self && vm.Incarnation > e.VM.Incarnation {
		return false // A different process that uses this VM's ID.
	}
	restarted := e.restart(vm)
	e.VM.Leaving = e.VM.Leaving || vm.Leaving
	return e.updateState(now) || restarted
}

// observeUnlisted updates the state of a VM that is missing from the list. A VM
// known only from an earlier list is dead. One with a fresh sign of life is newer
// than the list and keeps its state. A live one whose last sign of life is older
// becomes suspect, so that it is probed.
func (e *entry) observeUnlisted(now mono.Time) bool {
	switch {
	case !e.seenAlive:
		return e.setState(Dead, now)
	case now.Sub(e.lastAlive) < EvidenceFresh:
		return false
	case e.State == Live:
		return e.setState(Suspect, now)
	}
	return false
}

func (e *entry) expired(now mono.Time) bool {
	return e.State == Dead && now.Sub(e.Since) >= ForgetAfter
}
