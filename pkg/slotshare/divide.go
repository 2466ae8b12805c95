package slotshare

import (
	"cmp"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// divide divides a number of statements among holders: one each, then by priority, within a priority in proportion to
// what waits. What is left goes to those that use what they have, and then to all in turn.
func divide(total int, demands map[topology.VMID]Demand) map[topology.VMID]int {
	d := division{left: total - len(demands), parts: map[topology.VMID]int{}}
	for vm := range demands {
		d.vms = append(d.vms, vm)
		d.parts[vm] = 1
	}
	slices.Sort(d.vms)
	// The one that each holder has serves its most urgent request.
	served := map[topology.VMID]bool{}
	for _, priority := range prioritiesOf(demands) {
		needs := map[topology.VMID]int{}
		for vm, demand := range demands {
			need := countOf(demand, priority)
			if need > 0 && !served[vm] {
				served[vm] = true
				need--
			}
			needs[vm] = need
		}
		d.proportionally(needs)
	}
	inFlight := map[topology.VMID]int{}
	for vm, demand := range demands {
		inFlight[vm] = max(0, demand.InFlight-d.parts[vm])
	}
	d.proportionally(inFlight)
	for i := 0; d.left > 0 && len(d.vms) > 0; i++ {
		d.parts[d.vms[i%len(d.vms)]]++
		d.left--
	}
	return d.parts
}

// division is the state of divide.
type division struct {
	left  int
	vms   []topology.VMID
	parts map[topology.VMID]int
}

// proportionally gives each holder what it needs, or its proportion of what is left, by largest remainder.
func (d *division) proportionally(needs map[topology.VMID]int) {
	sum := 0
	for _, n := range needs {
		sum += n
	}
	if sum == 0 || d.left <= 0 {
		return
	}
	available := min(d.left, sum)
	order := slices.Clone(d.vms)
	remainder := func(vm topology.VMID) int { return needs[vm] * available % sum }
	slices.SortStableFunc(order, func(a, b topology.VMID) int { return cmp.Compare(remainder(b), remainder(a)) })
	rest := available
	for _, vm := range order {
		whole := needs[vm] * available / sum
		d.parts[vm] += whole
		rest -= whole
	}
	for _, vm := range order[:rest] {
		d.parts[vm]++
	}
	d.left -= available
}

func prioritiesOf(demands map[topology.VMID]Demand) []int {
	var all []int
	for _, demand := range demands {
		for _, w := range demand.Waiting {
			all = append(all, w.Priority)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func countOf(demand Demand, priority int) int {
	for _, w := range demand.Waiting {
		if w.Priority == priority {
			return w.Count
		}
	}
	return 0
}
