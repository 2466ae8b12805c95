// Package placement decides which VMs hold connections to a target where the target
// takes too few for all of them.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// Reserve is how many connections of a target are left for commands to it and for
	// VMs that start.
	Reserve = 2
	// perHolder is how many connections a holder has where not all VMs can hold one:
	// a transaction keeps one through its pauses, so a single one would starve the
	// statements beside it; more would leave fewer holders to lose.
	perHolder = 4
)

// Holders returns the VMs that connect to the target themselves, given how many
// connections it takes in all: every VM while each can have one, otherwise a few, those
// of the target's own data centre first. All VMs find the same ones from the same list,
// without asking each other.
func Holders(t topology.Target, vms []topology.VM, connections int) []topology.VMID {
	places := connections - Reserve
	ids := make([]topology.VMID, 0, len(vms))
	for _, vm := range ordered(t, vms) {
		ids = append(ids, vm.ID)
	}
	if places >= len(vms) {
		return ids
	}
	return ids[:min(len(ids), max(1, places/perHolder))]
}

// Share is how many connections each of the holders may have as a rule.
func Share(holders, connections int) int {
	return max(1, (connections-Reserve)/max(1, holders))
}

// ordered puts the VMs of the target's data centre first, and those by a hash that
// spreads the targets over them.
func ordered(t topology.Target, vms []topology.VM) []topology.VM {
	type weighted struct {
		vm     topology.VM
		away   int // 0: in the target's data centre
		weight uint64
	}
	all := make([]weighted, 0, len(vms))
	for _, vm := range vms {
		all = append(all, weighted{vm: vm, away: away(t, vm), weight: xxhash.Sum64String(string(t.ID) + "\x00" + string(vm.ID))})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.away, b.away), cmp.Compare(a.weight, b.weight))
	})
	sorted := make([]topology.VM, 0, len(all))
	for _, w := range all {
		sorted = append(sorted, w.vm)
	}
	return sorted
}

func away(t topology.Target, vm topology.VM) int {
	if vm.DataCentre == t.DataCentre {
		return 0
	}
	return 1
}
