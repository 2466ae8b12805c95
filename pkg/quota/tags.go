package quota

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Tags are the tags of a configuration's customers, no two of which are the same.
type Tags map[topology.CustomerID]Tag

// TagsOf returns the customers' tags. A customer's tag is its hash; of customers with the same hash, all but the first
// in the order of IDs get the next tag that is no other customer's. All VMs with the same configuration compute the same
// tags, and a customer's tag changes only if one with the same hash comes or goes.
func TagsOf(ids []topology.CustomerID) Tags {
	tags := make(Tags, len(ids))
	taken := make(map[Tag]bool, len(ids))
	var displaced []topology.CustomerID
	for _, id := range slices.Sorted(slices.Values(ids)) {
		tag := TagOf(id)
		if taken[tag] {
			displaced = append(displaced, id)
			continue
		}
		tags[id], taken[tag] = tag, true
	}
	for _, id := range displaced {
		tag := TagOf(id)
		for taken[tag] {
			tag++
		}
		tags[id], taken[tag] = tag, true
	}
	return tags
}
