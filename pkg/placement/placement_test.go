package placement_test

import (
	"fmt"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func vms(n int) []topology.VM {
	var all []topology.VM
	for i := range n {
		all = append(all, topology.VM{ID: topology.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: topology.DataCentre(fmt.Sprintf("dc-%d", i%3))})
	}
	return all
}

func TestEveryVMHoldsWhereEachCan(t *testing.T) {
	if got := placement.Holders(topology.Target{ID: "t"}, vms(7), 16); len(got) != 7 {
		t.Fatalf("%v", got)
	}
	if got := placement.Share(7, 16); got != 2 {
		t.Fatalf("share %d", got)
	}
}

// 89 VMs before a target of 27 connections: with one each, most would be refused for as
// long as the others live.
func TestAFewHoldWhereNotAllCan(t *testing.T) {
	target := topology.Target{ID: "t", DataCentre: "dc-1"}
	holders := placement.Holders(target, vms(89), 27)
	if len(holders) != 6 || placement.Share(len(holders), 27)*len(holders) > 27-placement.Reserve {
		t.Fatalf("%v", holders)
	}
	for _, id := range holders {
		var n int
		if _, err := fmt.Sscanf(string(id), "vm-%d", &n); err != nil || n%3 != 1 {
			t.Fatalf("%s is in another data centre", id)
		}
	}
	// One VM fewer moves only what it held.
	fewer := placement.Holders(target, vms(88), 27)
	same := 0
	for _, a := range holders {
		for _, b := range fewer {
			if a == b {
				same++
			}
		}
	}
	if same < len(holders)-1 {
		t.Fatalf("%v became %v", holders, fewer)
	}
}
