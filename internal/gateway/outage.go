package gateway

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// longOutage is how long a group may lack what its requests need before they are refused at once.
// A change of primary ends while a caller waits; what lasts for longer, as a primary in a data
// centre that is cut off while the store is out, has no end in sight.
const longOutage = 3 * time.Second

// outage is since when requests of a group lack something; 0: they don't.
type outage struct{ since mono.Time }

// lacking notes that a request lacks it, and reports whether that is so for long.
func (o *outage) lacking(now mono.Time) bool {
	if o.since == 0 {
		o.since = now
	}
	return now.Sub(o.since) > longOutage
}

func (o *outage) over() { o.since = 0 }

// need is something that requests of a group need.
type need int

const (
	needRight   need = iota // to acknowledge at the primary
	needAge                 // to be shown for reads
	needPrimary             // that takes new work
	needTarget              // that may run a read
	needs
)

// lacks notes that a request of the group lacks something, and reports whether that has been so
// for longer than usual, so that it is better refused now.
func (r *router) lacks(group topology.GroupID, n need) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view(group).outages[n].lacking(r.clock.Now())
}

// has notes that a request of the group found what it needs.
func (r *router) has(group topology.GroupID, n need) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(group).outages[n].over()
}

// allLeave reports whether a group has targets, and none that stays.
func allLeave(targets []directory.Target) bool {
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t directory.Target) bool { return !t.Leaving })
}

// lacksTarget reports whether a request failed since no target takes it, with no end in sight, so that it is better
// refused now: all targets of its group leave, or what it needs has been lacking for long.
func (r *router) lacksTarget(c *directory.Class, failure *result.Error, n need) bool {
	switch failure.Code {
	case result.TargetLeaving:
		return allLeave(r.directory.TargetsOf(c.Group)) || r.lacks(c.Group, n)
	case result.NoPrimary:
		return r.lacks(c.Group, n)
	}
	return false
}
