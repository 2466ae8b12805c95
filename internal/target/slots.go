package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// SlotShare describes the slots that this VM shares with the other holders of a target. The zero value means that
// the statements in flight aren't limited.
type SlotShare struct {
	// Slots is how many statements the target runs at once, and Holders the number of its holders.
	Slots, Holders int
}

// slots limits a pool's statements in flight. A statement is in flight from when its request gets a connection
// until it releases it, except while the connection is idle in an open transaction. The opening of a connection
// occupies a slot as well and counts.
type slots struct {
	share SlotShare
	// useTime is the moving average of how long a request's statements are in flight.
	useTime time.Duration
}

// slotShareOf returns the share of a target's slots, or the zero value if this VM isn't limited there.
func (p *Pools) slotShareOf(t directory.Target, s Share) SlotShare {
	if !p.Options.SharedSlots || s.Indirect || t.Slots <= 0 {
		return SlotShare{}
	}
	return SlotShare{Slots: t.Slots, Holders: len(p.directory.Holders(t.Target))}
}

// SetSlotShare changes this VM's share of the target's slots.
func (p *Pool) SetSlotShare(s SlotShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == SlotShare{}:
		p.slots = nil
	case p.slots == nil:
		p.slots = &slots{share: s}
	default:
		p.slots.share = s
	}
	if p.waiting.Len() > 0 {
		p.grow()
	}
}

// allowance returns how many statements may be in flight.
func (s *slots) allowance() int { return slotshare.SafePart(s.share.Slots, s.share.Holders) }

// useSlot counts a link's statement as in flight. Requests that any customer's connection can serve are commands of
// the proxy, which take no slot.
func (l *Link) useSlot(now mono.Time) {
	if l.usesSlot || l.indirect || l.request.Anyone {
		return
	}
	l.usesSlot, l.slotUsedSince = true, now
}

// freeSlot ends the use that useSlot counted.
func (l *Link) freeSlot(now mono.Time) {
	if !l.usesSlot {
		return
	}
	l.usesSlot = false
	l.slotTime += now.Sub(l.slotUsedSince)
}

// inFlight returns the number of statements in flight, including the opening of connections.
func (p *Pool) inFlight() int {
	n := p.dialCount()
	for l := range p.links {
		if l.usesSlot {
			n++
		}
	}
	return n
}

// slotFree reports whether another statement may be sent.
func (p *Pool) slotFree() bool { return p.slots == nil || p.inFlight() < p.slots.allowance() }

// mayStart reports whether a request may be sent now if there is a connection for it.
func (p *Pool) mayStart(r *waitlist.Request) bool { return r.Anyone || p.slotFree() }

// mayDialFor reports whether a connection may be opened for a waiting request. A request for which there is an idle
// connection waits for its turn only.
func (p *Pool) mayDialFor(r *waitlist.Request) bool {
	return p.slots == nil || p.slotFree() && p.idleLinkFor(r) < 0
}

// idleLinkFor returns the index of the most recently used idle link that serves the request, or -1.
func (p *Pool) idleLinkFor(r *waitlist.Request) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.serves(p.idle[i], r) {
			return i
		}
	}
	return -1
}

// grantInTurn gives idle links to waiting requests, in their order, while statements may be sent. Without a limit
// no request waits while a link that serves it is idle.
func (p *Pool) grantInTurn() {
	if p.slots == nil || p.closed {
		return
	}
	for p.waiting.Len() > 0 && len(p.idle) > 0 {
		now := p.clock.Now()
		p.dialForFirst(now)
		free := p.slotFree()
		mayStart := func(r *waitlist.Request) bool { return (free || r.Anyone) && p.idleLinkFor(r) >= 0 }
		w := p.waiting.NextOf(mayStart, now, p.health.latency)
		if w == nil {
			return
		}
		l := p.removeIdle(p.idleLinkFor(&w.Request))
		l.assignTo(w.Request, now, now.Sub(w.Since))
		w.Value <- grant{link: l}
	}
}

// dialForFirst opens a connection for the first request in turn if none serves it and it has waited for switchAfter:
// requests that have a connection would otherwise take every free slot before it.
func (p *Pool) dialForFirst(now mono.Time) {
	w := p.waiting.Peek(now, p.health.latency)
	if w == nil || now.Before(p.noDialUntil) || now.Sub(w.Since) < switchAfter || p.dialing[p.subpoolOf(w.Customer)] > 0 {
		return
	}
	if p.mayDialFor(&w.Request) && p.makeRoom() {
		p.startDial(w.Customer)
	}
}

func (p *Pool) removeIdle(i int) *Link {
	l := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return l
}

// statementEnded ends the use of a slot by a link whose transaction stays open. Outside a transaction, the release
// of the link ends it.
func (p *Pool) statementEnded(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.freeSlot(p.clock.Now())
	if p.slots != nil {
		p.grow()
	}
}

// releaseSlot ends the use of a slot by a link that is being released.
func (p *Pool) releaseSlot(l *Link) {
	l.freeSlot(p.clock.Now())
	if p.slots != nil {
		p.slots.useTime += time.Duration(holdTimeWeight * float64(l.slotTime-p.slots.useTime))
	}
	l.slotTime = 0
}

// estimateWait returns how long a new request would wait for a connection and, if statements in flight are limited,
// for its turn.
func (p *Pool) estimateWait(r waitlist.Request, now mono.Time) time.Duration {
	wait := p.waiting.EstimateWait(r, now, p.health.latency, p.holdTime, len(p.links))
	if p.slots == nil || len(p.links) == 0 || r.Anyone {
		return wait
	}
	return max(wait, p.waiting.EstimateWait(r, now, p.health.latency, p.slots.useTime, p.slots.allowance()))
}

// slotQueueTime returns how long a request behind all others would wait for its turn.
func (p *Pool) slotQueueTime() time.Duration {
	if p.slotFree() {
		return 0
	}
	return time.Duration(p.waiting.Len()+1) * p.slots.useTime / time.Duration(p.slots.allowance())
}
