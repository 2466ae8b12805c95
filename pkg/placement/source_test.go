package placement_test

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a change that each VM reads from the store, or that one VM has to tell many others.
func TestFewReadAChangeAndTellTheOthers(t *testing.T) {
	all := vms(81)
	for version := range uint64(20) {
		told := map[topology.VMID]int{}
		readers := map[topology.VMID]bool{}
		for _, vm := range all {
			teller, ok := placement.Teller(vm, all, version)
			if !ok {
				readers[vm.ID] = true
				continue
			}
			if teller.DataCentre != vm.DataCentre {
				t.Fatalf("%s is told from %s", vm.ID, teller.DataCentre)
			}
			told[teller.ID]++
		}
		if len(readers) > 15 {
			t.Errorf("version %d: %d VMs read it", version, len(readers))
		}
		for id, n := range told {
			if !readers[id] || n > 7 {
				t.Errorf("version %d: %s tells %d VMs, and reads it itself: %v", version, id, n, readers[id])
			}
		}
	}
}

func TestAVMAloneReadsChangesItself(t *testing.T) {
	all := vms(3) // Each in a data centre of its own.
	for _, vm := range all {
		if teller, ok := placement.Teller(vm, all, 7); ok {
			t.Errorf("%s is told by %s", vm.ID, teller.ID)
		}
	}
	if _, ok := placement.Teller(topology.VM{ID: "unknown", DataCentre: "dc-0"}, all, 7); ok {
		t.Error("a VM that is not registered is told")
	}
}
