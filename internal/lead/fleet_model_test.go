package lead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fleetModel counts what the VMs of a deployment send each other at rest: as many groups as VMs, three
// targets each, six holders a target, twelve sessions a VM, and requests that open a session of their own.
type fleetModel struct {
	vms     []topology.VM
	targets [][]topology.Target // by group
	holders map[topology.TargetID][]topology.VMID
	// used are the groups that the callers of each VM use within followTTL.
	used map[topology.VMID]map[int]bool
}

const (
	modelDataCentres     = 5
	modelSessions        = 12
	modelRequestsPerVM   = 2.4 // a second
	modelTargetLinks     = 185
	renewalsPerSecond    = 4
	modelMessageOverhead = 120 // bytes of a renewal and its answer without entries
	modelEntryBytes      = 10  // of a group in both: a position and bits
	modelSampleBytes     = 150 // of a sample of a primary, asked and answered
)

func newFleetModel(n int) *fleetModel {
	m := &fleetModel{holders: map[topology.TargetID][]topology.VMID{}, used: map[topology.VMID]map[int]bool{}}
	for i := range n {
		cores := 0.192
		if i%20 == 0 {
			cores = 1.6
		}
		m.vms = append(m.vms, topology.VM{ID: topology.VMID(fmt.Sprint("vm-", i)), DataCentre: topology.DataCentre(fmt.Sprint("dc-", i%modelDataCentres)), Cores: cores})
	}
	placed := placement.NewVMs(m.vms)
	for g := range n {
		var group []topology.Target
		for k := range 3 {
			t := topology.Target{ID: topology.TargetID(fmt.Sprintf("t-%d-%d", g, k)), DataCentre: topology.DataCentre(fmt.Sprint("dc-", k))}
			m.holders[t.ID] = placed.Holders(t, modelTargetLinks)
			group = append(group, t)
		}
		m.targets = append(m.targets, group)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, vm := range m.vms {
		m.used[vm.ID] = map[int]bool{}
		for range modelSessions + int(modelRequestsPerVM*followTTL.Seconds()) {
			m.used[vm.ID][random.IntN(n)] = true
		}
	}
	return m
}

// load is what one VM sends and receives in a second.
type load struct{ messages, bytes float64 }

type loads map[topology.VMID]*load

func (l loads) add(vm topology.VMID, messages, bytes float64) {
	if l[vm] == nil {
		l[vm] = &load{}
	}
	l[vm].messages += messages
	l[vm].bytes += bytes
}

// renew adds the renewals of a VM with a coordinator about a number of groups.
func (l loads) renew(vm, coordinator topology.VMID, groups int) {
	bytes := renewalsPerSecond * (modelMessageOverhead + float64(groups*modelEntryBytes))
	l.add(vm, 2*renewalsPerSecond, bytes)
	l.add(coordinator, 2*renewalsPerSecond, bytes)
}

func (l loads) sample(vm topology.VMID, rate float64) { l.add(vm, 2*rate, rate*modelSampleBytes) }

// design is a way to place coordinators and to decide which VM renews rights for which groups.
type design struct {
	name  string
	count func(m *fleetModel) loads
}

func (m *fleetModel) held() map[topology.VMID]map[int]bool {
	held := map[topology.VMID]map[int]bool{}
	for g, group := range m.targets {
		for _, t := range group {
			for _, vm := range m.holders[t.ID] {
				if held[vm] == nil {
					held[vm] = map[int]bool{}
				}
				held[vm][g] = true
			}
		}
	}
	return held
}

func (m *fleetModel) coordinatorOf(g int) topology.VMID {
	i := slices.IndexFunc(m.vms, func(vm topology.VM) bool { return vm.Cores > 1 })
	large := (len(m.vms) - i + 19) / 20
	return m.vms[20*int(xxhash.Sum64String(fmt.Sprint(g))%uint64(large))].ID //nolint:gosec // Below the number of VMs.
}

// unionOf returns the groups that a VM uses or holds a target of.
func unionOf(a, b map[int]bool) map[int]bool {
	all := map[int]bool{}
	for g := range a {
		all[g] = true
	}
	for g := range b {
		all[g] = true
	}
	return all
}

var designs = []design{
	{"every VM renews all groups with one coordinator", func(m *fleetModel) loads {
		l := loads{}
		for _, vm := range m.vms {
			l.renew(vm.ID, "vm-0", len(m.targets))
		}
		l.sample("vm-0", 5*float64(len(m.targets)))
		return l
	}},
	{"every VM renews the groups that it serves with one coordinator", func(m *fleetModel) loads {
		l, held := loads{}, m.held()
		for _, vm := range m.vms {
			l.renew(vm.ID, "vm-0", len(unionOf(m.used[vm.ID], held[vm.ID])))
			l.add(vm.ID, 2*modelRequestsPerVM, modelRequestsPerVM*modelMessageOverhead)
			l.add("vm-0", 2*modelRequestsPerVM, modelRequestsPerVM*modelMessageOverhead)
		}
		l.sample("vm-0", min(5*float64(len(m.targets)), maxSampleRate))
		return l
	}},
	{"a coordinator for each group, among the large VMs, messages packed", func(m *fleetModel) loads {
		l, held := loads{}, m.held()
		for _, vm := range m.vms {
			perCoordinator := map[topology.VMID]int{}
			for g := range unionOf(m.used[vm.ID], held[vm.ID]) {
				perCoordinator[m.coordinatorOf(g)]++
			}
			for coordinator, groups := range perCoordinator {
				l.renew(vm.ID, coordinator, groups)
			}
		}
		for g := range m.targets {
			l.sample(m.coordinatorOf(g), 5)
		}
		return l
	}},
	{"cells: only holders renew, twenty groups a coordinator", func(m *fleetModel) loads {
		l := loads{}
		const perCell = 20
		cells := map[topology.VMID]map[int]int{}
		for g, group := range m.targets {
			for vm := range m.holdersOf(group) {
				if cells[vm] == nil {
					cells[vm] = map[int]int{}
				}
				cells[vm][g/perCell]++
			}
			l.sample(m.cellCoordinator(g/perCell), 5)
		}
		for vm, groups := range cells {
			for cell, n := range groups {
				l.renew(vm, m.cellCoordinator(cell), n)
			}
		}
		return l
	}},
}

func (m *fleetModel) holdersOf(group []topology.Target) map[topology.VMID]bool {
	holders := map[topology.VMID]bool{}
	for _, t := range group {
		for _, vm := range m.holders[t.ID] {
			holders[vm] = true
		}
	}
	return holders
}

func (m *fleetModel) cellCoordinator(cell int) topology.VMID { return m.coordinatorOf(20 * cell) }

// middleAndBusiest returns the loads of the VM in the middle and of the busiest one.
func (l loads) middleAndBusiest(vms int) (middle, busiest load) {
	var all []load
	for _, x := range l {
		all = append(all, *x)
	}
	for len(all) < vms {
		all = append(all, load{})
	}
	slices.SortFunc(all, func(a, b load) int { return int(a.bytes - b.bytes) })
	return all[len(all)/2], all[len(all)-1]
}

// Guards against a design in which the messages of the VM in the middle grow with the deployment: the one in
// use must not, from 300 VMs on. It logs the counts of the designs that were weighed.
func TestLoadOfTheVMInTheMiddleDoesNotGrow(t *testing.T) {
	var at300 load
	for _, n := range []int{30, 100, 300, 1000, 3940} {
		m := newFleetModel(n)
		for i, d := range designs {
			middle, busiest := d.count(m).middleAndBusiest(n)
			t.Logf("%4d VMs, %s: middle %.0f messages, %.1f KB a second; busiest %.0f, %.0f KB", n, d.name, middle.messages, middle.bytes/1000, busiest.messages, busiest.bytes/1000)
			if i != 1 {
				continue
			}
			if n == 300 {
				at300 = middle
			}
			if n > 300 && middle.bytes > 1.2*at300.bytes {
				t.Errorf("%d VMs: %.0f bytes a second, %.0f at 300", n, middle.bytes, at300.bytes)
			}
		}
	}
}
