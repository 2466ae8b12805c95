package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// perTeller is how many VMs get a change of the store from one other: as many as its link bears at once.
const perTeller = 6

// Teller returns the VM of the same data centre from which a VM gets a change of the store, and false if the VM
// reads it from the store itself. Few do, so that a change costs each data centre few calls and few
// transfers. They are those with the most processor time, and others with each version.
func Teller(self topology.VM, vms []topology.VM, version uint64) (topology.VM, bool) {
	near := slices.DeleteFunc(slices.Clone(vms), func(vm topology.VM) bool { return vm.DataCentre != self.DataCentre })
	var of [8]byte
	binary.LittleEndian.PutUint64(of[:], version)
	seed := xxhash.Sum64(of[:])
	rank := func(vm topology.VM) uint64 { return mix(seed ^ xxhash.Sum64String(string(vm.ID))) }
	slices.SortFunc(near, func(a, b topology.VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rank(a), rank(b)))
	})
	tellers := (len(near) + perTeller) / (perTeller + 1)
	at := slices.IndexFunc(near, func(vm topology.VM) bool { return vm.ID == self.ID })
	if at < tellers {
		return topology.VM{}, false // Also if the VM is not registered yet.
	}
	return near[at%tellers], true
}
