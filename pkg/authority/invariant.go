package authority

import (
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// invariant panics with a *result.Error of code InvariantBroken when ok is false
// and checks are on.
func (o *Options) invariant(ok bool, format string, args ...any) {
	if ok || !o.CheckInvariants {
		return
	}
	panic(result.New(result.InvariantBroken, format, args...))
}

// checkSuccessor checks the invariants between a row of a group and a newer one.
func (o *Options) checkSuccessor(old, row *topology.Group) {
	o.invariant(len(row.Promoters) > 0, "group %s version %d has no promoters", row.ID, row.Version)
	if old == nil {
		return
	}
	o.invariant(row.Version > old.Version, "group %s: version %d after %d", row.ID, row.Version, old.Version)
	o.invariant(row.Term >= old.Term, "group %s: term %d after %d", row.ID, row.Term, old.Term)
	samePrimary := row.Term != old.Term || row.Primary == old.Primary
	o.invariant(samePrimary, "group %s: two primaries in term %d", row.ID, row.Term)
}
