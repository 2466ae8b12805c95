package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// DefaultDrain is for how long a target that leaves is sent new work.
	DefaultDrain = 7 * time.Second
	// drainReserve is what is left of that time at least when work is sent: its way to the target, and
	// the first statement of a transaction, which follows its beginning.
	drainReserve = 500 * time.Millisecond
	// departureReport is how often the use of a target that leaves is logged.
	departureReport = time.Second
)

// departure is what a pool knows of its target's word that it leaves, and of its use since.
type departure struct {
	// known is when this VM learnt of it; 0: the target stays.
	known mono.Time
	// until is when the target is sent new work at the latest; 0: it is not known when it began to leave,
	// so it is sent none.
	until mono.Time
	// requests that were sent since the last report, and the longest time that one of them had
	// waited for its connection.
	requests int
	waited   time.Duration
	reported mono.Time
	// closed: those that waited as the time was over have been answered.
	closed bool
}

// Leave takes over that the target leaves, and until when it is sent new work; 0: it is sent none.
func (p *Pool) Leave(until mono.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.departure.known == 0 {
		now := p.clock.Now()
		p.departure = departure{known: now, reported: now}
	}
	p.departure.until = until
}

// Stay takes over that the target does not leave.
func (p *Pool) Stay() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.departure = departure{}
}

// follow takes over what a target says of its departure.
func (p *Pool) follow(t directory.Target, drain time.Duration) {
	switch {
	case !t.Leaving:
		p.Stay()
	case t.LeavingSince == 0:
		p.Leave(0)
	default:
		p.Leave(t.LeavingSince.Add(drain - drainReserve))
	}
}

// hasLeft reports whether the target is sent no new work any more. That does not depend on a successor: a
// group may have none.
func (p *Pool) hasLeft(now mono.Time) bool {
	return p.departure.known != 0 && !now.Before(p.departure.until)
}

func (p *Pool) left() *result.Error {
	return result.New(result.TargetLeaving, "%s leaves", p.target.ID)
}

// opensWork reports whether a command is a single statement or begins a transaction, as against one
// within a transaction or of the connection itself.
func (l *Link) opensWork(k CommandKind) bool {
	if l.open {
		return false
	}
	return k == Caller || k == Execute || k == Begin || k == BeginReadOnly
}

// admit counts work that begins at a target that leaves, and refuses it once the target's time is over.
func (p *Pool) admit(waited time.Duration) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.departure.known == 0 {
		return nil
	}
	if p.hasLeft(p.clock.Now()) {
		return p.left()
	}
	p.departure.requests++
	p.departure.waited = max(p.departure.waited, waited)
	return nil
}

// followDeparture logs the use of a target that leaves. Once its time is over it answers those that still wait.
func (p *Pool) followDeparture(now mono.Time) {
	d := &p.departure
	if d.requests > 0 && now.Sub(d.reported) >= departureReport {
		p.log.Info("event=leaving_target_used", "target", p.target.ID, "known_for", now.Sub(d.known).Round(time.Millisecond),
			"requests", d.requests, "longest_wait", d.waited.Round(time.Millisecond))
		d.requests, d.waited, d.reported = 0, 0, now
	}
	if d.closed || !p.hasLeft(now) {
		return
	}
	d.closed = true
	p.log.Info("event=leaving_target_closed", "target", p.target.ID, "known_for", now.Sub(d.known).Round(time.Millisecond),
		"since_known", d.until != 0, "waiting", p.waiting.Len())
	p.refuseAll(p.left())
}
