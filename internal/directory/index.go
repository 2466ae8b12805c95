package directory

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// targetIndex finds the targets that a registration may concern, without a look at all others.
type targetIndex struct {
	byRegistration map[string][]topology.TargetID
	byAddress      map[string][]topology.TargetID
}

func newTargetIndex() targetIndex {
	return targetIndex{byRegistration: map[string][]topology.TargetID{}, byAddress: map[string][]topology.TargetID{}}
}

func (x *targetIndex) add(t *Target) {
	x.byRegistration[t.Registration] = append(x.byRegistration[t.Registration], t.ID)
	x.byAddress[t.Address] = append(x.byAddress[t.Address], t.ID)
}

func (x *targetIndex) remove(t *Target) {
	removeID(x.byRegistration, t.Registration, t.ID)
	removeID(x.byAddress, t.Address, t.ID)
}

func removeID(ids map[string][]topology.TargetID, key string, id topology.TargetID) {
	left := slices.DeleteFunc(ids[key], func(o topology.TargetID) bool { return o == id })
	if len(left) == 0 {
		delete(ids, key)
		return
	}
	ids[key] = left
}

// related returns the targets that may be an earlier or a later start of t, and t itself if it is known.
func (x *targetIndex) related(t *Target) []topology.TargetID {
	var ids []topology.TargetID
	if t.Registration != "" {
		ids = append(ids, x.byRegistration[t.Registration]...)
	}
	if t.Address != "" {
		ids = append(ids, x.byAddress[t.Address]...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
