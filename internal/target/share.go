package target

import "github.com/buckthornshore/buckthornshore/pkg/mono"

// Share is a VM's share of a target's connections.
type Share struct {
	// Connections is the usual limit of the VM's open connections.
	Connections int
	// Indirect is set if the connections go through another VM. Such connections do not count
	// towards the target's limit and may be idle for longer.
	Indirect bool
}

// SetShare changes this VM's share of the target's connections.
func (p *Pool) SetShare(s Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.indirect, p.idleFor = s.Connections, s.Indirect, surplusIdle
	if s.Indirect {
		p.idleFor = indirectIdle
	}
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
	for len(p.links) > p.share && len(p.idle) > 0 {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
}

func (p *Pool) closeSurplus(now mono.Time) {
	for len(p.links) > 1 && len(p.idle) > 0 && now.Sub(p.idle[0].releasedAt) > p.idleFor {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
}
