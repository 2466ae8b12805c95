package lease

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// UnsettledLife is for how long after a coordinator has learned of it an order counts as one that may still take effect, if
// it was not answered.
const UnsettledLife = time.Minute

// WithUnsettled returns the row with further targets that an order may still promote.
func (r *Row) WithUnsettled(ids ...topology.TargetID) *Row {
	n := *r
	n.Unsettled = slices.Clone(r.Unsettled)
	for _, id := range ids {
		if !slices.Contains(n.Unsettled, id) {
			n.Unsettled = append(n.Unsettled, id)
		}
	}
	return &n
}

// WithoutUnsettled returns the row's next version, without targets that no order can promote any more.
func (r *Row) WithoutUnsettled(ids ...topology.TargetID) *Row {
	n := r.next()
	n.Unsettled = slices.DeleteFunc(slices.Clone(r.Unsettled), func(id topology.TargetID) bool { return slices.Contains(ids, id) })
	return n
}

// Keepers returns the targets that must hold a commit before it is acknowledged under the row: an order that arrives late
// may promote one of them and roll back what it lacks. An order for the primary changes nothing.
func (r *Row) Keepers() []topology.TargetID {
	var ids []topology.TargetID
	for _, id := range r.Unsettled {
		if id != r.Primary {
			ids = append(ids, id)
		}
	}
	return ids
}

// LogState is what a target has answered about its log.
type LogState struct {
	// Term is the newest term that the target has followed or led.
	Term uint64
	// Received is up to where it holds the log.
	Received position.Position
}

// Custody tells whether a target holds a commit, so that the commit survives the target's promotion.
type Custody int

const (
	// NotHeld means that the target may still receive the commit.
	NotHeld Custody = iota
	// Held means that the commit survives.
	Held
	// Replaced means that another primary than that of the right leads by now, so that the commit may be rolled back.
	Replaced
)

// CustodyOf returns whether a target that has answered s holds what the right's primary has committed up to a position.
func (r Right) CustodyOf(commit position.Position, s LogState) Custody {
	switch {
	case s.Term > r.Term || s.Received.Term > commit.Term:
		return Replaced
	case s.Received.Term == commit.Term && !s.Received.Less(commit):
		return Held
	}
	return NotHeld
}
