package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// vmsPerSource is how many VMs fetch a change of the store from the same VM: as many as its network link can
// serve at once.
const vmsPerSource = 6

// maxSources bounds the VMs of a data centre that read a change from the store. Those that are asked by more VMs
// than they can serve at once refer them to others that have the change already.
const maxSources = 4

// ChangeSource returns the VM of the same data centre from which self fetches a change of the store, and false if
// self reads it from the store. Only a few VMs of a data centre do, so that a change costs the data centre
// few calls and few transfers. They are the VMs with the most processor time; among VMs with equal processor
// time the choice depends on the version.
func ChangeSource(self topology.VM, vms []topology.VM, version uint64) (topology.VM, bool) {
	candidates := slices.DeleteFunc(slices.Clone(vms), func(vm topology.VM) bool { return vm.DataCentre != self.DataCentre })
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], version)
	seed := xxhash.Sum64(key[:])
	rank := func(vm topology.VM) uint64 { return mix(seed ^ xxhash.Sum64String(string(vm.ID))) }
	slices.SortFunc(candidates, func(a, b topology.VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rank(a), rank(b)))
	})
	sources := min(maxSources, (len(candidates)+vmsPerSource)/(vmsPerSource+1))
	at := slices.IndexFunc(candidates, func(vm topology.VM) bool { return vm.ID == self.ID })
	if at < sources {
		return topology.VM{}, false // Also if self is not registered yet, so that at is -1.
	}
	return candidates[at%sources], true
}
