package target

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/retention"
)

// Share is a VM's share of a target's connections.
type Share struct {
	// Connections is the usual limit of the VM's open connections.
	Connections int
	// Indirect is set if the connections go through another VM. Such connections do not count
	// towards the target's limit and may be idle for longer.
	Indirect bool
	// Places is the greatest number of open connections, and IdlePlaces that of idle ones, if connections are retained by
	// demand. Otherwise both are 0.
	Places, IdlePlaces int
}

// retain sets the places for connections that are retained by demand, given the VM's index in the list of holders.
func (s *Share) retain(index, holders, connections int) {
	s.Places = placement.Places(holders, connections)
	s.IdlePlaces = placement.IdlePlaces(index, holders, s.Places)
}

// SetShare changes this VM's share of the target's connections.
func (p *Pool) SetShare(s Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.indirect, p.idleFor = s.Connections, s.Indirect, surplusIdle
	if s.Indirect {
		p.idleFor = indirectIdle
	}
	p.setRetention(s)
}

// Starved reports whether the target recently had no connection left while this VM held fewer than its share.
func (p *Pool) Starved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.starvedUntil)
}

// LimitToShare limits this VM to its share for shareLimitTime, and closes idle connections beyond it.
func (p *Pool) LimitToShare() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shareLimitUntil = p.clock.Now().Add(shareLimitTime)
	p.closeBeyondShare()
}

// closeBeyondShare closes idle connections beyond the share.
func (p *Pool) closeBeyondShare() {
	for len(p.links) > p.share && p.dropLeastValuable(retention.Starved) {
	}
}

func (p *Pool) closeSurplus(now mono.Time) {
	if p.retention != nil {
		p.closeUnretained(now)
		return
	}
	for len(p.links) > 1 && len(p.idle) > 0 && now.Sub(p.idle[0].releasedAt) > p.idleFor {
		p.dropIdle(p.idle[0], retention.Idle)
	}
}
