package membership

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// This file implements rendezvous hashing (highest random weight): when a VM
// leaves, only its own keys move, each to the next VM in rank. The library
// go-rendezvous, which is used to choose groups, returns only the first node;
// poolers and relays need the lower ranks too.

// weight combines a node's hash with a key's and applies the finalizer of
// MurmurHash3. Both hashes are well distributed, but a plain xor of them would
// rank the nodes alike for keys that differ in the low bits only.
func weight(node, key uint64) uint64 {
	x := node ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// firstRanked returns the node with the greatest weight, or the first of several with
// equal weight. nodes must be sorted by id and not empty.
func firstRanked(nodes []node, key uint64) node {
	best, bestWeight := 0, weight(nodes[0].hash, key)
	for i := 1; i < len(nodes); i++ {
		if w := weight(nodes[i].hash, key); w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return nodes[best]
}

// ranked is a node's id and its weight for one key.
type ranked struct {
	id     topology.VMID
	weight uint64
}

// ranks returns the ids of up to n nodes by descending weight; nodes of equal
// weight stay in order. It suits a small n.
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

// insert inserts r into top, which is sorted by descending weight, and truncates
// the result to n elements.
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
