package target

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/retention"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	// dialTimeout bounds the opening of a connection, which takes a slot at the target and
	// waits behind the statements that are queued there.
	dialTimeout = 400 * time.Millisecond
	// connectionsInUsePause is how long no connection is dialled after the target refused one because all
	// of its connections were in use: about as long as a transaction holds a connection.
	connectionsInUsePause = 150 * time.Millisecond
	// dialFailedPause is how long no connection is dialled after a dial failed.
	dialFailedPause = 100 * time.Millisecond
	// wrongTargetPause is how long no connection is dialled after another target answered at the
	// address, which goes on until the registration changes.
	wrongTargetPause = time.Second
	// surplusIdle is how long a connection beyond the first may be idle before it is closed.
	// The most recently used connection is reused first, so those that the load doesn't need
	// become idle. They are closed early because the connections of a VM that loses power
	// count towards the target's limit for several more seconds, in which its successors
	// can't connect.
	surplusIdle = 250 * time.Millisecond
	// silentAfter is how long the target may leave all commands unanswered before
	// a new connection is dialled to probe it.
	silentAfter = 250 * time.Millisecond
	// indirectIdle is surplusIdle for connections that go through another VM.
	indirectIdle = 15 * time.Second
	// starvedFor is how long a VM counts as starved after the target refused it a connection
	// of its share, and shareLimitTime how long the other VMs then keep to their shares: a few
	// rounds of the messages that report starved VMs.
	starvedFor     = time.Second
	shareLimitTime = 2 * time.Second
	// maxExtraLinks is how many connections beyond its share a VM may open while other
	// connections are idle in transactions.
	maxExtraLinks = 3
)

// grant is the result of a wait: a link, or the reason why there is none.
type grant struct {
	link *Link
	err  *result.Error
}

// Pool holds this VM's connections to one target. In an indirect pool they lead to holders, which are
// the VMs that connect to the target directly; see the package comment. Safe for concurrent use.
type Pool struct {
	target topology.Target
	driver Driver
	clock  mono.Clock
	log    *slog.Logger

	mu    sync.Mutex
	share int // the usual limit of this VM's open connections; see connectionLimit
	// indirect is set if the connections lead to holders.
	indirect bool
	// idleFor is how long a connection beyond the first may be idle.
	idleFor time.Duration
	// holderOf returns the holder to which a customer's requests are sent if the pool is indirect.
	holderOf func(topology.CustomerID) topology.VMID
	links    map[*Link]bool
	// idle contains the idle links, the most recently used last.
	idle []*Link
	// dialing counts the connections that are being opened, by subpool.
	dialing map[subpool]int
	waiting waitlist.List[chan grant]
	// noDialUntil is when the next connection may be dialled, and noProbeUntil when a failing
	// target may be probed again.
	noDialUntil  mono.Time
	noProbeUntil mono.Time
	// starvedUntil is until when this VM counts as starved: the target had no connection left
	// while this VM held fewer than its share. shareLimitUntil is until when this VM keeps to its
	// share since another VM is starved.
	starvedUntil    mono.Time
	shareLimitUntil mono.Time
	saturation      saturation
	fair            fairness
	leaving         leaving
	health          health
	// SlotMetrics records the use of the target's slots; nil records nothing. It must be set before the first request.
	SlotMetrics *metrics.Slots
	// slots limits the statements in flight; nil if they aren't limited.
	slots *slots
	// resting is set while Tick has nothing to do: there is no connection, no request and no failure.
	resting atomic.Bool
	// retention is nil unless connections are retained by demand.
	retention *retained
	// hasKey reports whether any key opens sessions of a customer.
	hasKey  func(topology.CustomerID) bool
	metrics *metrics.Connections
	// holdTime is the moving average of how long a request or transaction holds a link.
	holdTime time.Duration
	closed   bool
}

// NewPool returns an empty pool.
func NewPool(t topology.Target, share int, d Driver, clock mono.Clock, log *slog.Logger) *Pool {
	return &Pool{
		target: t, share: share, idleFor: surplusIdle, driver: d, clock: clock, log: log,
		holderOf: noHolder, hasKey: func(topology.CustomerID) bool { return true }, links: map[*Link]bool{}, dialing: map[subpool]int{},
	}
}

// Target returns the pool's target.
func (p *Pool) Target() topology.Target { return p.target }

// Acquire waits for a connection until the request's deadline. values are the session's
// values; a connection on which they are already set is preferred.
func (p *Pool) Acquire(ctx context.Context, r waitlist.Request, values map[string]string) (*Link, *result.Error) {
	p.mu.Lock()
	p.resting.Store(false)
	if p.closed {
		p.mu.Unlock()
		return nil, result.New(result.TargetUnreachable, "%s is gone", p.target.ID)
	}
	if p.drainEnded(p.clock.Now()) && !r.Anyone {
		p.mu.Unlock()
		return nil, p.leavingError()
	}
	p.noteUse(&r)
	if l := p.takeIdle(&r, values); l != nil {
		l.assignTo(r, p.clock.Now(), 0)
		p.observeSlots()
		p.mu.Unlock()
		return l, nil
	}
	now := p.clock.Now()
	wait := p.estimateWait(r, now)
	if now.Add(wait).After(r.Deadline) {
		failure := p.refuse(&r, wait, now)
		p.mu.Unlock()
		return nil, failure
	}
	w := p.waiting.Add(r, make(chan grant, 1), now, p.health.latency)
	p.delayOpening(&r)
	p.grow()
	p.mu.Unlock()
	return p.await(ctx, w)
}

func (p *Pool) await(ctx context.Context, w *waitlist.Waiter[chan grant]) (*Link, *result.Error) {
	timer := time.NewTimer(w.Deadline.Sub(p.clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.Value:
		return g.link, g.err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.waiting.Remove(w)
	p.mu.Unlock()
	if removed {
		p.fair.metrics.Expired(string(p.target.ID), w.Priority)
		return nil, result.New(result.DeadlineInQueue, "no connection to %s in time", p.target.ID)
	}
	g := <-w.Value // The result was sent after the timer fired or ctx ended.
	return g.link, g.err
}

// takeIdle removes and returns an idle link that serves the request, preferably one on which the session's
// values are already set, or nil.
func (p *Pool) takeIdle(r *waitlist.Request, values map[string]string) *Link {
	if !p.mayGrant(r) {
		return nil
	}
	best, same := -1, false
	for i, l := range p.idle {
		if !p.serves(l, r) {
			continue
		}
		// Otherwise the most recently used link is taken, so that the others become idle.
		if s := sameValues(l.values, values); s || !same {
			best, same = i, s
		}
	}
	if best < 0 {
		return nil
	}
	l := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return l
}

func sameValues(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, value := range a {
		if other, ok := b[name]; !ok || other != value {
			return false
		}
	}
	return true
}

// assign gives a free link to the first waiting request that it serves, or keeps it idle.
func (p *Pool) assign(l *Link) {
	now := p.clock.Now()
	if p.grantsInTurn(l) {
		l.releasedAt = now
		p.idle = append(p.idle, l)
		p.grantInTurn()
		p.closeUnretained(now)
		return
	}
	w := p.waiting.NextOf(func(r *waitlist.Request) bool { return p.serves(l, r) }, now, p.health.latency)
	if w != nil {
		l.assignTo(w.Request, now, now.Sub(w.Since))
		p.noteGrant(&w.Request, l.waited)
		w.Value <- grant{link: l}
		return
	}
	l.releasedAt = now
	p.idle = append(p.idle, l)
}

// holdTimeWeight is the weight of a new hold time in the moving average, which thus covers about the last twenty.
const holdTimeWeight = 0.05

func (p *Pool) noteHoldTime(d time.Duration) {
	p.holdTime += time.Duration(holdTimeWeight * float64(d-p.holdTime))
}

func (p *Pool) release(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteHold(l, p.clock.Now().Sub(l.acquiredAt))
	p.releaseSlot(l)
	defer p.grantInTurn()
	if l.broken || p.closed {
		p.drop(l, retention.Ended)
		p.grow()
		return
	}
	if p.retention != nil {
		p.releaseRetained(l, p.clock.Now())
		return
	}
	if len(p.links) > p.share && p.clock.Now().Before(p.shareLimitUntil) {
		p.drop(l, retention.Starved)
		return
	}
	if p.slots == nil && p.mustReplace(l, p.clock.Now()) {
		p.drop(l, retention.Room)
	} else {
		p.assign(l)
	}
	p.grow()
}

func (p *Pool) drop(l *Link, reason retention.Reason) {
	delete(p.links, l)
	p.noteClosed(l, reason)
	l.conn.Close()
}

func (p *Pool) beginCommand(l *Link) mono.Time {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sentAt = now
	l.useSlot(now)
	p.observeSlots()
	return now
}

// endCommand updates the target's health and saturation after a command. An answer that a holder gave without the
// target doesn't count as an answer of the target: otherwise VMs that use an unreachable primary through
// holders would report it as alive.
func (p *Pool) endCommand(l *Link, begun mono.Time, refusal *result.Error, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sentAt = 0
	if err != nil {
		if p.health.lastAnswer < begun {
			p.health.failed(now)
		}
		p.log.Info("event=target_connection_lost", "target", p.target.ID, "sent_before", now.Sub(begun), "error", err)
		p.closeIdleAfterLoss(err)
		p.probe()
		return
	}
	evidence := evidenceOf(l.conn)
	if evidence.Direct {
		p.saturation.note(refusal, now)
		p.health.answered(now, now.Sub(begun))
	} else {
		p.health.noteEvidence(evidence, begun, now)
	}
	if l.inTransaction && p.waiting.Len() > 0 {
		p.grow()
	}
}

// Tick detects a target that has stopped answering, probes a failing one, closes surplus
// connections and opens connections for waiting requests.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for l := range p.links {
		if l.sentAt != 0 && now.Sub(l.sentAt) > silentAfter && p.health.lastAnswer < l.sentAt {
			p.health.silent(now)
			p.probe()
			break
		}
	}
	if p.health.failing() && !now.Before(max(p.noDialUntil, p.noProbeUntil)) {
		p.probe()
	}
	p.closeSurplus(now)
	p.tickLeaving(now)
	p.tickSlots(now)
	p.grow()
	p.openAhead(now)
	p.noteWaiting()
	p.resting.Store(len(p.links) == 0 && len(p.dialing) == 0 && p.waiting.Len() == 0 && !p.health.failing() && p.leaving.knownSince == 0)
}

// Close closes the pool and its idle connections, and refuses all waiting requests.
// Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		p.drop(l, retention.Ended)
	}
	p.idle = nil
	p.refuseAll(result.New(result.TargetUnreachable, "%s is gone", p.target.ID))
	p.noteWaiting()
	p.noteSlotsUnused()
}

// refuseAll fails all waiting requests with the given error.
func (p *Pool) refuseAll(why *result.Error) {
	now := p.clock.Now()
	for w := p.waiting.Next(now, 0); w != nil; w = p.waiting.Next(now, 0) {
		w.Value <- grant{err: why}
	}
}

// Load is the target's load and health as seen by this VM.
type Load struct {
	// InFlight is the number of running and waiting requests, Busy that of running ones.
	InFlight, Busy int
	// Queue is how long a new request would wait for a connection at this VM.
	Queue time.Duration
	// Latency is the moving average of the target's response time.
	Latency time.Duration
	// FailingFor is how long the target has been failing, or 0 if it answers.
	FailingFor time.Duration
	// LastAnswer is when the target last answered, or 0 if it never has.
	LastAnswer mono.Time
	// Saturated reports whether the target recently refused a statement because of its load,
	// or a request recently waited here for too long to meet its objective.
	Saturated bool
	// DrainEnded reports whether the target is leaving and is no longer sent new work.
	DrainEnded bool
}

// queueTime returns how long a request behind all others would wait for a connection.
func (p *Pool) queueTime() time.Duration {
	if len(p.links) == 0 || len(p.idle) > 0 && (p.slots != nil || p.mayGrant(&waitlist.Request{})) {
		return p.slotQueueTime()
	}
	return max(p.slotQueueTime(), time.Duration(p.waiting.Len()+1)*p.holdTime/time.Duration(p.grantable()))
}

// Load returns the target's current load and health.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	busy := 0
	for l := range p.links {
		if l.sentAt != 0 {
			busy++
		}
	}
	return Load{
		InFlight:   busy + p.waiting.Len(),
		Busy:       busy,
		Queue:      p.queueTime(),
		Latency:    p.health.latency,
		FailingFor: p.health.failingFor(now),
		LastAnswer: p.health.lastAnswer,
		Saturated:  p.saturated(math.MaxInt, now),
		DrainEnded: p.drainEnded(now),
	}
}
