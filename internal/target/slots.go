package target

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
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
	limit slotshare.Limit
	// useTime is the moving average of how long a request's statements are in flight.
	useTime time.Duration
	// refused are the statements of open transactions that the target refused. Each keeps its connection and waits
	// until it may be sent again.
	refused waitlist.List[refusedStatement]
	// pausedUntil is until when nothing new is sent after a refusal, and pause how long the last such pause was.
	pausedUntil mono.Time
	pause       time.Duration
	// waitingBy is the number of waiting requests by priority when it was last counted, and waitedAt when something
	// last waited, 0 for never.
	waitingBy map[int]int
	waitedAt  mono.Time
	// logged is the allowance that was last logged, at loggedAt, and loweredFor why it was last lowered.
	logged     int
	loggedAt   mono.Time
	loweredFor string
}

const (
	// firstRefusalPause is for how long nothing new is sent after a refusal: about as long as a statement takes at a
	// target. It doubles with each further refusal, up to longestRefusalPause.
	firstRefusalPause   = insistPause
	longestRefusalPause = 80 * time.Millisecond
	// slotLogInterval is the time between two log lines about the allowance at one target.
	slotLogInterval = time.Second
	// loweredRefused and loweredSlow are the reasons for which an allowance is lowered.
	loweredRefused = "refused"
	loweredSlow    = "slow"
)

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
		p.endSlots()
	case p.slots == nil:
		p.slots = &slots{waitingBy: map[int]int{}}
	}
	if p.slots != nil {
		p.slots.limit.Configure(s.Slots, s.Holders)
	}
	if p.waiting.Len() > 0 {
		p.grow()
	}
}

// endSlots ends the limit of the statements in flight.
func (p *Pool) endSlots() {
	if p.slots == nil {
		return
	}
	p.resumeAll()
	p.noteSlotsUnused()
	p.slots = nil
}

// noteSlotsUnused reports that this VM uses none of the target's slots any more.
func (p *Pool) noteSlotsUnused() {
	if p.slots == nil {
		return
	}
	for priority := range p.slots.waitingBy {
		p.slots.waitingBy[priority] = 0
	}
	p.SlotMetrics.Use(p.target.ID, 0, 0, p.slots.waitingBy)
}

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

// inFlight returns the number of statements in flight, including the opening of connections except for probes of a
// failing target: statements would wait for a probe that gets no answer.
func (p *Pool) inFlight() int {
	n := p.dialCount()
	if p.health.failing() {
		n -= p.dialing[""]
	}
	for l := range p.links {
		if l.usesSlot {
			n++
		}
	}
	return n
}

// slotFree reports whether another statement may be sent.
func (p *Pool) slotFree() bool {
	if p.slots == nil {
		return true
	}
	now := p.clock.Now()
	return !now.Before(p.slots.pausedUntil) && p.inFlight() < p.slots.limit.Allowance(now)
}

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

// observeSlots records how many statements are in flight, and whether something waits.
func (p *Pool) observeSlots() {
	if p.slots == nil {
		return
	}
	now := p.clock.Now()
	p.slots.limit.Observe(p.inFlight(), now)
	if p.waiting.Len()+p.slots.refused.Len() > 0 {
		p.slots.waitedAt = now
	}
}

// dialForFirst opens a connection for the first request in turn if none serves it and it has waited for switchAfter:
// requests that have a connection would otherwise take every free slot before it.
func (p *Pool) dialForFirst(now mono.Time) {
	if p.slots == nil {
		return
	}
	w := p.waiting.Peek(now, p.health.latency)
	if w == nil || now.Before(p.noDialUntil) || now.Sub(w.Since) < switchAfter || p.dialing[p.subpoolOf(w.Customer)] > 0 {
		return
	}
	if p.mayDialFor(&w.Request) && p.makeRoom() {
		p.startDial(w.Customer)
	}
}

// commandAnswered applies the target's answer to a command. An answer to a statement ends the use of a slot, since the
// request may hold its link for longer, for example until a replica has a commit. After a command that sets the
// connection up, the statement follows at once, unless a transaction was opened.
func (p *Pool) commandAnswered(l *Link, begun mono.Time, k CommandKind, refusal *result.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if l.inTransaction || isStatement(k) {
		l.freeSlot(now)
	}
	if p.slots == nil || l.indirect {
		return
	}
	p.adapt(l.request.Priority, begun, now, k, refusal)
	p.grow()
}

func isStatement(k CommandKind) bool { return k == Caller || k == Execute }

// adapt lowers the allowance if the target refuses statements or has slowed down.
func (p *Pool) adapt(priority int, begun, now mono.Time, k CommandKind, refusal *result.Error) {
	s := p.slots
	if refusal != nil && refusal.Code == result.TargetBusy {
		if s.limit.Refused(begun, now) {
			p.noteLowered(loweredRefused)
		}
		p.pauseSlots(now)
		return
	}
	if !isStatement(k) {
		return // Other commands may take no slot, so their answers show nothing of the load.
	}
	s.pausedUntil, s.pause = 0, 0
	if s.limit.Answered(priority, begun, now) {
		p.noteLowered(loweredSlow)
	}
}

func (p *Pool) noteLowered(reason string) {
	p.slots.loweredFor = reason
	p.SlotMetrics.Lowered(p.target.ID, reason)
}

// pauseSlots keeps statements from being sent for a while after a refusal, unless an answer shows before that the
// target accepts statements again. Further refusals during a pause are of statements that were sent before it, or of
// open transactions, and don't extend it.
func (p *Pool) pauseSlots(now mono.Time) {
	s := p.slots
	if now.Before(s.pausedUntil) {
		return
	}
	s.pause = min(max(2*s.pause, firstRefusalPause), longestRefusalPause)
	pause := s.pause/2 + rand.N(s.pause) //nolint:gosec // Spreads load only.
	s.pausedUntil = now.Add(pause)
	time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grow()
	})
}

// tickSlots reports the use of the slots.
func (p *Pool) tickSlots(now mono.Time) {
	if p.slots == nil || p.closed {
		return
	}
	s, inFlight, allowance := p.slots, p.inFlight(), p.slots.limit.Allowance(now)
	p.SlotMetrics.Use(p.target.ID, inFlight, allowance, p.slotsWaiting())
	if allowance == s.logged || now.Sub(s.loggedAt) < slotLogInterval {
		return
	}
	p.log.Info("event=slot_allowance", "target", p.target.ID, "allowance", allowance, "before", s.logged,
		"given", s.limit.Given(now), "in_flight", inFlight, "waiting", p.waiting.Len(), "lowered_for", s.loweredFor)
	s.logged, s.loggedAt, s.loweredFor = allowance, now, ""
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
	wait := p.waiting.EstimateWait(r, now, p.health.latency, p.holdTime, p.grantable())
	if p.slots == nil || len(p.links) == 0 || r.Anyone {
		return wait
	}
	return max(wait, p.waiting.EstimateWait(r, now, p.health.latency, p.slots.useTime, p.slots.limit.Allowance(now)))
}

// slotQueueTime returns how long a request behind all others would wait for its turn.
func (p *Pool) slotQueueTime() time.Duration {
	if p.slotFree() {
		return 0
	}
	return time.Duration(p.waiting.Len()+1) * p.slots.useTime / time.Duration(p.slots.limit.Allowance(p.clock.Now()))
}
