package gateway

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// longOutage is how long something that a group's requests need may be unavailable before they are
// refused at once. A change of primary completes while a caller waits. An outage that lasts longer, such
// as a primary in a data centre that is cut off while the store is down, has no foreseeable end.
const longOutage = 3 * time.Second

// outage records since when something that a group's requests need has been unavailable; 0 if it is
// available.
type outage struct{ since mono.Time }

// missing records that a request did not find it, and reports whether it has been unavailable for longer
// than longOutage.
func (o *outage) missing(now mono.Time) bool {
	if o.since == 0 {
		o.since = now
	}
	return now.Sub(o.since) > longOutage
}

func (o *outage) found() { o.since = 0 }

// need is something that requests of a group need.
type need int

const (
	needRight   need = iota // the right to acknowledge for the primary
	needAge                 // a recent position of the primary, which shows the age of reads
	needPrimary             // a primary that accepts new work
	needTarget              // a target that may run a read
	needCount
)

// recordMissing records that a request of the group did not find what it needs, and reports whether that has
// been so for longer than longOutage, so that the request is better refused now.
func (r *router) recordMissing(group topology.GroupID, n need) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view(group).outages[n].missing(r.clock.Now())
}

// recordFound records that a request of the group found what it needs.
func (r *router) recordFound(group topology.GroupID, n need) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(group).outages[n].found()
}

// allLeaving reports whether a group has targets and all of them are leaving.
func allLeaving(targets []directory.Target) bool {
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t directory.Target) bool { return !t.Leaving })
}

// noTargetSoon reports whether a request failed because no target accepts it, and is better refused now than
// retried: all targets of its group are leaving, or what it needs has been unavailable for longer than longOutage.
func (r *router) noTargetSoon(c *directory.Class, failure *result.Error, n need) bool {
	switch failure.Code {
	case result.TargetLeaving:
		return allLeaving(r.directory.TargetsOf(c.Group)) || r.recordMissing(c.Group, n)
	case result.NoPrimary:
		return r.recordMissing(c.Group, n)
	}
	return false
}
