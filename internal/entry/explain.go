package entry

import (
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Explain reports which target would be chosen at present for a request of the
// class that arrives at this entry, and why. floor is the lowest position that the
// target of a read must have applied. A real read of a class without staleness
// fetches the newest position first; Explain does not, so that with an empty floor
// every replica qualifies.
func (s *Server) Explain(group topology.GroupID, class config.Class, floor position.Position) (*routing.Explanation, *result.Error) {
	row := s.o.View.Group(group)
	if row == nil {
		return nil, result.New(result.NoPrimary, "%s", group)
	}
	requirements := routing.Request{Write: class.Kind == config.Write, Floor: floor, Staleness: class.Staleness.Std()}
	if requirements.Staleness == 0 {
		requirements.Staleness = routing.AnyAge
	}
	return s.router.explain(row, requirements)
}

// explain rates the group's targets and chooses one. The explanation is valid also
// when a failure is returned.
func (r *router) explain(row *topology.Group, req routing.Request) (*routing.Explanation, *result.Error) {
	targets := r.configured(row.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	g := r.group(row)
	candidates := make([]routing.Candidate, 0, len(targets))
	for _, t := range targets {
		candidates = append(candidates, r.candidate(g, row, t, now))
	}
	why, err := routing.Choose(now, req, g.freshness, candidates, r.random)
	if err != nil {
		return why, result.From(err)
	}
	return why, nil
}
