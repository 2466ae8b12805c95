package membership

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// MergeList takes in the platform's list, read at now. It reports whether any
// VM's state changed.
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
		if e.forgotten(now) {
			delete(t.entries, id)
			changed = true
			continue
		}
		changed = e.unlisted(now) || changed
	}
	return changed
}

// mergeListed takes in one VM of the list. The list may be older than what is
// known: it may not undo evidence, a leaving mark or an incarnation.
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
		return false // Another process under this VM's name; not this one.
	}
	restarted := e.restart(vm)
	e.VM.Leaving = e.VM.Leaving || vm.Leaving
	return e.settle(now) || restarted
}

// unlisted weighs that the list lacks the VM. Known from an earlier list alone,
// it is gone; seen alive just now, it is newer than the list; seen alive long
// ago, it has to be asked.
func (e *entry) unlisted(now mono.Time) bool {
	switch {
	case !e.seenLife:
		return e.become(Dead, now)
	case now.Sub(e.lastLife) < EvidenceFresh:
		return false
	case e.State == Live:
		return e.become(Suspect, now)
	}
	return false
}

func (e *entry) forgotten(now mono.Time) bool {
	return e.State == Dead && now.Sub(e.Since) >= ForgetAfter
}
