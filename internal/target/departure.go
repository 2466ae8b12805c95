package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// departureReport is how often the use of a target that leaves is logged.
const departureReport = time.Second

// departure is what a pool knows of its target's word that it leaves, and of its use since.
type departure struct {
	// known is when this VM learnt of it; 0: the target stays.
	known mono.Time
	// requests that were sent since the last report, and the longest time that one of them had
	// waited for its connection.
	requests int
	waited   time.Duration
	reported mono.Time
}

// SetLeaving takes over whether the target has said that it leaves.
func (p *Pool) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch now := p.clock.Now(); {
	case !leaving:
		p.departure = departure{}
	case p.departure.known == 0:
		p.departure = departure{known: now, reported: now}
	}
}

// opensWork reports whether a command is a single statement or begins a transaction, as against one
// within a transaction or of the connection itself.
func (l *Link) opensWork(k CommandKind) bool {
	if l.open {
		return false
	}
	return k == Caller || k == Execute || k == Begin || k == BeginReadOnly
}

// noteUse counts work that begins at a target that leaves.
func (p *Pool) noteUse(waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.departure.known == 0 {
		return
	}
	p.departure.requests++
	p.departure.waited = max(p.departure.waited, waited)
}

// reportUse logs the use of a target that leaves.
func (p *Pool) reportUse(now mono.Time) {
	d := &p.departure
	if d.requests == 0 || now.Sub(d.reported) < departureReport {
		return
	}
	p.log.Info("event=leaving_target_used", "target", p.target.ID, "known_for", now.Sub(d.known).Round(time.Millisecond),
		"requests", d.requests, "longest_wait", d.waited.Round(time.Millisecond))
	d.requests, d.waited, d.reported = 0, 0, now
}
