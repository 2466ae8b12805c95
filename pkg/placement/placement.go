// Package placement decides which VMs hold connections to a target if the target
// accepts too few connections for all of them.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// Reserve is how many connections of a target are left free for commands to it and
	// for VMs that start.
	Reserve = 2
	// minPerHolder is the least number of connections of a holder if not all VMs can hold one.
	// A transaction keeps its connection while it is idle, so with a single connection the
	// holder's other statements would starve.
	minPerHolder = 4
	// maxPerHolder is the greatest number of connections of a holder in that case: more
	// concurrent statements would only wait at the target, in no defined order.
	maxPerHolder = 6
	// maxHolders bounds the holders of a target. Each of many VMs sends a target few statements.
	// With few holders, both the connections to the holders and those of the holders to the
	// target are well used. Several holders may be lost at once.
	maxHolders = 6
)

// VMs is the set of VMs among which holders are chosen. It is built once for each list of VMs and immutable.
type VMs struct {
	all []topology.VM
	// byDataCentre are the candidates of each data centre, and candidates those of all.
	byDataCentre map[topology.DataCentre][]candidate
	candidates   []candidate
}

// candidate is a VM with the properties that the choice of holders uses.
type candidate struct {
	vm         topology.VMID
	dataCentre topology.DataCentre
	hash       uint64
	cores      float64
}

// NewVMs prepares a list of VMs for the choice of holders.
func NewVMs(vms []topology.VM) *VMs {
	v := &VMs{all: vms, byDataCentre: map[topology.DataCentre][]candidate{}}
	for _, vm := range vms {
		c := candidate{vm: vm.ID, dataCentre: vm.DataCentre, hash: xxhash.Sum64String(string(vm.ID)), cores: vm.Cores}
		if c.cores <= 0 {
			c.cores = 1
		}
		v.byDataCentre[vm.DataCentre] = append(v.byDataCentre[vm.DataCentre], c)
		v.candidates = append(v.candidates, c)
	}
	return v
}

// Holders returns the VMs that connect to a target themselves, given how many connections
// the target accepts in total. These are all VMs if each can have a connection, and otherwise
// a few: those of the target's own data centre first, each with a probability that grows with
// its processor time. All VMs compute the same holders from the same list, without
// communication.
func (v *VMs) Holders(t topology.Target, connections int) []topology.VMID {
	available := connections - Reserve
	if available >= len(v.all) {
		return idsOf(v.all)
	}
	n := min(len(v.all), maxHolders, max(1, available/minPerHolder))
	holders := draw(t, v.byDataCentre[t.DataCentre], n, "")
	if len(holders) < n {
		holders = append(holders, draw(t, v.candidates, n-len(holders), t.DataCentre)...)
	}
	return holders
}

// Share returns how many connections each holder may normally have, given the numbers of holders,
// of VMs and of connections that the target accepts.
func Share(holders, vms, connections int) int {
	share := Places(holders, connections)
	if holders < vms {
		return min(share, maxPerHolder)
	}
	return share
}

// Places returns how many connections each holder may have if idle ones are kept for later requests, given the numbers of
// holders and of connections that the target accepts. Unlike Share, it doesn't bound the concurrent statements.
func Places(holders, connections int) int {
	return max(1, (connections-Reserve)/max(1, holders))
}

// IdlePlaces returns how many of its places a holder may use for idle connections, given its index in the list of the
// holders. All holders together may use at most half of their places: the connections of holders that lose power count
// at the target for some time, in which their successors need the other half.
func IdlePlaces(index, holders, places int) int {
	return (holders*places/2 + index) / max(1, holders)
}

func idsOf(vms []topology.VM) []topology.VMID {
	ids := make([]topology.VMID, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

// draw chooses n of the candidates by weighted rendezvous hashing, leaving out those of one data
// centre. If a VM is added or removed, only the targets that it holds move.
func draw(t topology.Target, candidates []candidate, n int, except topology.DataCentre) []topology.VMID {
	targetHash := xxhash.Sum64String(string(t.ID))
	best := make([]topology.VMID, 0, n+1)
	costs := make([]float64, 0, n+1)
	for i := range candidates {
		if except != "" && candidates[i].dataCentre == except {
			continue
		}
		cost := candidates[i].cost(targetHash)
		if len(best) == n && cost >= costs[n-1] {
			continue
		}
		pos, _ := slices.BinarySearch(costs, cost)
		best, costs = slices.Insert(best, pos, candidates[i].vm), slices.Insert(costs, pos, cost)
		if len(best) > n {
			best, costs = best[:n], costs[:n]
		}
	}
	return best
}

// cost draws a number from the exponential distribution whose rate is the VM's processor time. Among
// several VMs, the probability of having the lowest cost is proportional to the rate.
func (c *candidate) cost(targetHash uint64) float64 {
	const mantissa = 53 // bits of a float64
	h := mix(targetHash ^ c.hash)
	uniform := (float64(h>>(64-mantissa)) + 1) / (1 << mantissa)
	return -math.Log(uniform) / c.cores
}

// ForCustomer orders a target's holders by preference for one customer. The first holder that can be
// reached keeps the customer's connections, so that its requests from all VMs find them there. If the
// requests were spread over the holders, most of them would have to open a connection.
func ForCustomer(t topology.TargetID, customer topology.CustomerID, holders []topology.VMID) []topology.VMID {
	seed := xxhash.Sum64String(string(t)) ^ mix(xxhash.Sum64String(string(customer)))
	rank := func(id topology.VMID) uint64 { return mix(seed ^ xxhash.Sum64String(string(id))) }
	ordered := slices.Clone(holders)
	slices.SortFunc(ordered, func(a, b topology.VMID) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// mix spreads the bits of a number, as the finaliser of MurmurHash3 does.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
