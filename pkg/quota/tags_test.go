package quota_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// sameHash are customers whose hashes are the same tag.
var sameHash = [...]topology.CustomerID{"c28300", "c84736"}

// Guards against two customers that are counted as one because their hashes are the same.
func TestCustomersHaveTagsOfTheirOwn(t *testing.T) {
	if quota.TagOf(sameHash[0]) != quota.TagOf(sameHash[1]) {
		t.Fatal("the hashes of the test's customers differ")
	}
	ids := []topology.CustomerID{"b", sameHash[1], "a", sameHash[0]}
	tags := quota.TagsOf(ids)
	owners := map[quota.Tag]topology.CustomerID{}
	for _, id := range ids {
		tag := tags[id]
		if other, ok := owners[tag]; ok {
			t.Errorf("%s and %s have the tag %d", id, other, tag)
		}
		owners[tag] = id
	}
	slices.Reverse(ids)
	if again := quota.TagsOf(ids); !maps.Equal(again, tags) {
		t.Errorf("in another order: %v and %v", tags, again)
	}
}

// Guards against tags that a VM of the previous version, which uses the hash, takes for another customer's.
func TestATagIsItsCustomersHashUnlessAnotherHasTheSame(t *testing.T) {
	tags := quota.TagsOf([]topology.CustomerID{"a", "b", sameHash[0], sameHash[1]})
	for _, id := range []topology.CustomerID{"a", "b", sameHash[0]} {
		if tags[id] != quota.TagOf(id) {
			t.Errorf("%s: %d", id, tags[id])
		}
	}
}
