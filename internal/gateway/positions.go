package gateway

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Positions are the newest positions of the groups' primaries that this VM knows. VMs share them: if each
// VM asked a primary whenever the age of its reads requires it, there would be as many of these requests
// as requests of callers. Safe for concurrent use.
type Positions struct{ router *router }

// Positions returns the positions that the server knows.
func (s *Server) Positions() *Positions { return &Positions{router: s.router} }

// Newest returns the newest sample of a group's primary.
func (p *Positions) Newest(group topology.GroupID) (routing.Sample, bool) {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	return p.router.view(group).freshness.NewestSample()
}

// Add adds a sample that another VM took under a right for the group's primary.
func (p *Positions) Add(group topology.GroupID, s routing.Sample) {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	p.router.view(group).freshness.AddSample(s)
}

// Renew requests the position of a group's primary if the newest sample is older than age and no such
// request is pending. It does not wait for the answer.
func (p *Positions) Renew(group topology.GroupID, age time.Duration) {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	g := p.router.view(group)
	s, ok := g.freshness.NewestSample()
	if g.sampling != nil || ok && p.router.clock.Now().Sub(s.Begun) <= age {
		return
	}
	p.router.startSample(g, group)
}
