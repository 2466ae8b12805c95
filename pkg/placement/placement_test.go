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

func holdersOf(t topology.Target, vms []topology.VM, connections int) []topology.VMID {
	return placement.NewVMs(vms).Holders(t, connections)
}

func TestAllVMsHoldIfEachCanConnect(t *testing.T) {
	if got := holdersOf(topology.Target{ID: "t"}, vms(7), 16); len(got) != 7 {
		t.Fatalf("%v", got)
	}
	if got := placement.Share(7, 7, 16); got != 2 {
		t.Fatalf("share %d", got)
	}
}

// Guards against VMs that the target refuses for as long as others keep their connections: 89 VMs
// use a target that accepts 27 connections, too few for one each.
func TestFewVMsHoldIfNotAllCanConnect(t *testing.T) {
	target := topology.Target{ID: "t", DataCentre: "dc-1"}
	holders := holdersOf(target, vms(89), 27)
	if len(holders) != 6 || placement.Share(len(holders), 89, 27)*len(holders) > 27-placement.Reserve {
		t.Fatalf("%v", holders)
	}
	for _, id := range holders {
		var n int
		if _, err := fmt.Sscanf(string(id), "vm-%d", &n); err != nil || n%3 != 1 {
			t.Fatalf("%s is in another data centre", id)
		}
	}
	// Removing one VM must move only what it held.
	fewer := holdersOf(target, vms(88), 27)
	same := 0
	for _, a := range holders {
		for _, b := range fewer {
			if a == b {
				same++
			}
		}
	}
	if same < len(holders)-1 {
		t.Fatalf("holders changed from %v to %v", holders, fewer)
	}
}

// Guards against a number of holders that grows with the connections that a target accepts, if there
// are many more VMs than connections.
func TestHoldersAreBoundedForManyConnections(t *testing.T) {
	holders := holdersOf(topology.Target{ID: "t", DataCentre: "dc-1"}, vms(295), 88)
	if len(holders) != 6 {
		t.Fatalf("%v", holders)
	}
	if got := placement.Share(len(holders), 295, 88); got != 6 {
		t.Fatalf("share %d", got)
	}
}

// A VM with four times the processor time of the others must hold about four times as many targets.
func TestHoldersAreWeightedByProcessorTime(t *testing.T) {
	all := vms(60)
	for i := range all {
		all[i].DataCentre, all[i].Cores = "dc", 0.2
	}
	all[7].Cores = 0.8
	held := map[topology.VMID]int{}
	const targets = 600
	for i := range targets {
		for _, id := range holdersOf(topology.Target{ID: topology.TargetID(fmt.Sprintf("t-%d", i)), DataCentre: "dc"}, all, 16) {
			held[id]++
		}
	}
	others := 0
	for id, n := range held {
		if id != "vm-7" {
			others += n
		}
	}
	mean := float64(others) / float64(len(all)-1)
	if ratio := float64(held["vm-7"]) / mean; ratio < 3 || ratio > 5 {
		t.Fatalf("vm-7 holds %d targets, the others %.1f each", held["vm-7"], mean)
	}
}

// Guards against a choice of holders that takes much processor time while hundreds of VMs start: with each
// new VM the holders of all targets are chosen again.
func BenchmarkHoldersOfAllTargets(b *testing.B) {
	all := placement.NewVMs(vms(300))
	for b.Loop() {
		for i := range 600 {
			all.Holders(topology.Target{ID: topology.TargetID(fmt.Sprintf("t-%d", i)), DataCentre: "dc-1"}, 62)
		}
	}
}

// The requests of one customer go to one holder, and the customers must spread evenly over the holders.
func TestCustomersSpreadOverHolders(t *testing.T) {
	holders := holdersOf(topology.Target{ID: "t", DataCentre: "dc-1"}, vms(81), 62)
	first := map[topology.VMID]int{}
	for i := range 600 {
		first[placement.ForCustomer("t", topology.CustomerID(fmt.Sprint(i)), holders)[0]]++
	}
	for _, id := range holders {
		if first[id] < 60 || first[id] > 140 {
			t.Errorf("%s is first for %d of 600 customers", id, first[id])
		}
	}
}

// Guards against idle connections that leave the successors of holders that lost power less than half of the target's
// connections.
func TestIdleConnectionsTakeHalfOfThePlaces(t *testing.T) {
	for _, holders := range []int{1, 5, 6} {
		for _, connections := range []int{8, 27, 46, 56, 88} {
			places, idle := placement.Places(holders, connections), 0
			for i := range holders {
				idle += placement.IdlePlaces(i, holders, places)
			}
			if places*holders > max(holders, connections-placement.Reserve) || idle != holders*places/2 {
				t.Errorf("%d holders of %d connections: %d places each, %d idle in all", holders, connections, places, idle)
			}
		}
	}
}
