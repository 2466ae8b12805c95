package entry

import (
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Baseline is a simpler routing policy to compare measurements with. It gives
// weaker consistency guarantees and is not meant for production.
type Baseline string

// The baselines. The empty value selects the regular routing.
const (
	// PrimaryOnly sends everything to the primary.
	PrimaryOnly Baseline = "primary_only"
	// RandomReplica sends reads to any replica, regardless of the
	// session's floor and of the class's staleness bound.
	RandomReplica Baseline = "random_replica"
)

// chooseBaseline picks the target according to the baseline.
func (r *router) chooseBaseline(b Baseline, row *topology.Group, write bool) (destination, *result.Error) {
	d := destination{target: row.Primary, term: row.Term}
	if b == RandomReplica && !write {
		if replica, ok := r.anyReplica(row); ok {
			d = destination{target: replica}
		}
	}
	vm, ok := r.view.PoolerOf(d.target)
	if !ok {
		return d, result.New(result.PoolerUnreachable, "no VM for %s", d.target).After(defaultRetryAfter)
	}
	d.pooler = vm
	return d, nil
}

func (r *router) anyReplica(row *topology.Group) (topology.TargetID, bool) {
	var replicas []topology.TargetID
	for _, t := range r.configured(row.ID) {
		if t.ID != row.Primary {
			replicas = append(replicas, t.ID)
		}
	}
	if len(replicas) == 0 {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return replicas[r.random.IntN(len(replicas))], true
}
