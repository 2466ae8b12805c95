package placement_test

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a change that every VM reads from the store, or that one VM has to send to many others.
func TestFewVMsReadChangeFromStore(t *testing.T) {
	all := vms(81)
	for version := range uint64(20) {
		fetches := map[topology.VMID]int{}
		readers := map[topology.VMID]bool{}
		for _, vm := range all {
			source, ok := placement.ChangeSource(vm, all, version)
			if !ok {
				readers[vm.ID] = true
				continue
			}
			if source.DataCentre != vm.DataCentre {
				t.Fatalf("%s fetches changes from %s", vm.ID, source.DataCentre)
			}
			fetches[source.ID]++
		}
		if len(readers) > 15 {
			t.Errorf("version %d: %d VMs read it from the store", version, len(readers))
		}
		for id, n := range fetches {
			if !readers[id] || n > 7 {
				t.Errorf("version %d: %s sends it to %d VMs; reads it from the store itself: %v", version, id, n, readers[id])
			}
		}
	}
}

func TestOnlyVMOfDataCentreReadsFromStore(t *testing.T) {
	all := vms(3) // Each in a data centre of its own.
	for _, vm := range all {
		if source, ok := placement.ChangeSource(vm, all, 7); ok {
			t.Errorf("%s fetches changes from %s", vm.ID, source.ID)
		}
	}
	if _, ok := placement.ChangeSource(topology.VM{ID: "unknown", DataCentre: "dc-0"}, all, 7); ok {
		t.Error("a VM that is not registered fetches changes from another VM")
	}
}

// Guards against reads of the store that grow with the VMs: each change is read a few times in each data centre.
func TestReadersOfChangeDoNotGrowWithVMs(t *testing.T) {
	for _, n := range []int{30, 100, 300, 1000} {
		all, readers := vms(n), 0
		for _, vm := range all {
			if _, ok := placement.ChangeSource(vm, all, 7); !ok {
				readers++
			}
		}
		if readers > 12 {
			t.Errorf("%d VMs in three data centres: %d read it from the store", n, readers)
		}
	}
}
