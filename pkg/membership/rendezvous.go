package membership

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Rendezvous hashing (highest random weight): when a VM goes only its own keys
// move, and each to its next in rank. The library go-rendezvous, which picks
// groups, gives the first only; poolers and relays need the ranks too.

// weight mixes a node's hash with a key's. The finalizer is MurmurHash3's: both
// hashes are good, but a plain xor of them would order nodes alike for keys
// that differ in low bits only.
func weight(node, key uint64) uint64 {
	x := node ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// first returns the node of the greatest weight, the first of equal ones; nodes
// is not empty and sorted by id.
func first(nodes []node, key uint64) node {
	best, bestWeight := 0, weight(nodes[0].hash, key)
	for i := 1; i < len(nodes); i++ {
		if w := weight(nodes[i].hash, key); w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return nodes[best]
}

// ranked is a node's id with its weight for one key.
type ranked struct {
	id     topology.VMID
	weight uint64
}

// ranks returns up to n nodes, the greatest weight first and the first of equal
// ones before the others; n is small.
func ranks(nodes []node, key uint64, n int) []topology.VMID {
	top := make([]ranked, 0, n+1)
	for _, x := range nodes {
		top = insert(top, ranked{id: x.id, weight: weight(x.hash, key)}, n)
	}
	out := make([]topology.VMID, 0, len(top))
	for _, r := range top {
		out = append(out, r.id)
	}
	return out
}

// insert puts r in its place among the n best.
func insert(top []ranked, r ranked, n int) []ranked {
	at := len(top)
	for at > 0 && top[at-1].weight < r.weight {
		at--
	}
	if at >= n {
		return top
	}
	top = slices.Insert(top, at, r)
	return top[:min(n, len(top))]
}
