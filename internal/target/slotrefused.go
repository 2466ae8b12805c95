package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// refusedStatement is a statement that waits to be sent again over its link; turn receives when it may be sent.
type refusedStatement struct {
	link *Link
	turn chan struct{}
}

// awaitTurn waits until a refused statement of an open transaction may be sent again. limited is false if statements
// in flight aren't limited here, and inTurn is false if the turn didn't come before the deadline.
func (p *Pool) awaitTurn(l *Link, deadline time.Time) (inTurn, limited bool) {
	p.mu.Lock()
	if p.slots == nil || p.closed || l.indirect {
		p.mu.Unlock()
		return false, false
	}
	now := p.clock.Now()
	l.freeSlot(now)
	refused := &p.slots.refused
	w := refused.Add(l.request, refusedStatement{link: l, turn: make(chan struct{}, 1)}, now, p.health.latency)
	p.grantInTurn()
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.Value.turn:
		return true, true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !refused.Remove(w), true
}

// resumeFirst has the first refused statement sent again if there is a free slot, and reports whether it did. Refused
// statements go before waiting requests of the same priority, since their transactions hold connections and locks.
func (p *Pool) resumeFirst() bool {
	if p.slots == nil || p.slots.refused.Len() == 0 || !p.slotFree() {
		return false
	}
	now := p.clock.Now()
	first, other := p.slots.refused.Peek(now, p.health.latency), p.waiting.Peek(now, p.health.latency)
	if other != nil && other.Priority < first.Priority && p.idleLinkFor(&other.Request) >= 0 {
		return false
	}
	p.resume(first, now)
	return true
}

// resumeAll has all refused statements sent again at once.
func (p *Pool) resumeAll() {
	if p.slots == nil {
		return
	}
	now := p.clock.Now()
	for w := p.slots.refused.Peek(now, 0); w != nil; w = p.slots.refused.Peek(now, 0) {
		p.resume(w, now)
	}
}

func (p *Pool) resume(w *waitlist.Waiter[refusedStatement], now mono.Time) {
	p.slots.refused.Remove(w)
	w.Value.link.useSlot(now)
	w.Value.turn <- struct{}{}
}
