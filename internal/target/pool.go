package target

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// dialTimeout of a new connection. It takes 12 ms in a slot, and waits for one
	// behind up to sixteen requests of 9 ms.
	dialTimeout = 400 * time.Millisecond
	// fullPause is how long no connection is tried after the target had none
	// left: about the time that a transaction holds one.
	fullPause = 150 * time.Millisecond
	// dialPause is how long no connection is tried after one failed.
	dialPause = 100 * time.Millisecond
	// surplusIdle is how long a connection beyond the first stays unused. The one used
	// last is used next, so those that the load does not need fall idle. What a VM
	// holds when it loses power blocks places at the target for three seconds more,
	// and its successors can't connect: held in stock, all places were blocked.
	surplusIdle = 250 * time.Millisecond
	// silentAfter is how long the target may leave all commands unanswered before
	// a new connection is tried: thirty times the usual answer.
	silentAfter = 250 * time.Millisecond
	// indirectIdle is the same for connections that go through another VM.
	indirectIdle = 3 * time.Second
	// starvedFor is how long a VM counts as short of its share after a refusal, and
	// yieldFor how long the others keep to theirs: a few rounds of the messages that
	// tell of it.
	starvedFor = time.Second
	yieldFor   = 2 * time.Second
	// extraLinks is how many connections beyond its share a VM may open while
	// transactions that rest between two statements hold the others.
	extraLinks = 3
)

// given is what a waiter gets: a link or the reason why not.
type given struct {
	link *Link
	err  *result.Error
}

// Pool holds this VM's connections to one target. Safe for concurrent use.
type Pool struct {
	target topology.Target
	driver Driver
	clock  mono.Clock
	log    *slog.Logger

	mu    sync.Mutex
	share int // how many connections this VM may hold open as a rule
	// idleFor is how long a connection beyond the first stays unused.
	idleFor time.Duration
	links   map[*Link]bool
	idle    []*Link
	dialing int
	waiting waitlist
	// noDialUntil keeps from connecting again at once.
	noDialUntil mono.Time
	// starvedUntil: the target had no connection left while this VM held fewer than
	// its share. yieldUntil: another VM is in this state.
	starvedUntil mono.Time
	yieldUntil   mono.Time
	health       health
	// hold is the average time for which a request or transaction holds a link.
	hold   time.Duration
	closed bool
}

// NewPool makes an empty pool.
func NewPool(t topology.Target, share int, d Driver, clock mono.Clock, log *slog.Logger) *Pool {
	return &Pool{target: t, share: share, idleFor: surplusIdle, driver: d, clock: clock, log: log, links: map[*Link]bool{}}
}

// Target returns the pool's target.
func (p *Pool) Target() topology.Target { return p.target }

// SetShare changes how many connections this VM may hold. indirect ones go through
// another VM, take no place at the target, and are kept for longer.
func (p *Pool) SetShare(n int, indirect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.idleFor = n, surplusIdle
	if indirect {
		p.idleFor = indirectIdle
	}
}

// Acquire waits for a connection until the deadline. values are those of the
// session: a connection that has them already is preferred.
func (p *Pool) Acquire(ctx context.Context, priority int, deadline mono.Time, values map[string]string) (*Link, *result.Error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, result.New(result.TargetUnreachable, "%s is gone", p.target.ID)
	}
	if l := p.takeIdle(values); l != nil {
		l.taken, l.priority = p.clock.Now(), priority
		p.mu.Unlock()
		return l, nil
	}
	if wait := p.expectedWait(priority); p.clock.Now().Add(wait).After(deadline) {
		p.mu.Unlock()
		return nil, result.New(result.QueueFull, "%s: a connection is expected in %v", p.target.ID, wait.Round(time.Millisecond)).After(wait)
	}
	w := p.waiting.add(priority, deadline)
	p.grow()
	p.mu.Unlock()
	return p.await(ctx, w, deadline)
}

func (p *Pool) await(ctx context.Context, w *waiter, deadline mono.Time) (*Link, *result.Error) {
	timer := time.NewTimer(deadline.Sub(p.clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.result:
		return g.link, g.err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.waiting.remove(w)
	p.mu.Unlock()
	if removed {
		return nil, result.New(result.DeadlineInQueue, "no connection to %s in time", p.target.ID)
	}
	g := <-w.result // It was given one in this moment.
	return g.link, g.err
}

// takeIdle returns an unused link, best one with the session's values already.
func (p *Pool) takeIdle(values map[string]string) *Link {
	if len(p.idle) == 0 {
		return nil
	}
	best := len(p.idle) - 1 // The last one used, so that the others fall idle.
	for i, l := range p.idle {
		if sameValues(l.values, values) {
			best = i
		}
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

// grow opens connections for those that wait, within this VM's bounds.
func (p *Pool) grow() {
	now := p.clock.Now()
	for len(p.waiting.items) > p.dialing && len(p.links)+p.dialing < p.bound() && !now.Before(p.noDialUntil) && !p.closed {
		p.dialing++
		go p.dial()
	}
}

// bound is the share, and more while open transactions hold connections that run
// nothing: the slots would stand idle although requests wait. While another VM is
// short of its own share it is the share alone: under load the VMs that came first
// would otherwise keep all connections, and the others' callers would be refused for
// as long as the load lasts.
func (p *Pool) bound() int {
	if p.clock.Now().Before(p.yieldUntil) {
		return p.share
	}
	resting := 0
	for l := range p.links {
		if l.open && l.sent == 0 {
			resting++
		}
	}
	return p.share + min(resting, extraLinks)
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	begun := p.clock.Now()
	conn, err := p.driver.Dial(ctx, p.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	now := p.clock.Now()
	if err != nil {
		p.dialFailed(begun, now, err)
		return
	}
	p.health.succeeded(now)
	if p.closed {
		conn.Close()
		return
	}
	l := &Link{pool: p, conn: conn, freed: now}
	p.links[l] = true
	p.hand(l)
}

// dialFailed answers those that no connection is left for. A new connection that takes
// too long while others are answered tells of a target that is full, not of one that
// has failed: taken for failed, a primary would be replaced for its load.
func (p *Pool) dialFailed(begun, now mono.Time, err error) {
	e := refusalOf(err, string(p.target.ID))
	pause := dialPause
	if e.Code == result.ConnectionsInUse {
		pause = fullPause
		if len(p.links) < p.share {
			p.starvedUntil = now.Add(starvedFor)
		}
	} else {
		if p.health.lastAnswer < begun {
			p.health.failed(now)
		}
		p.log.Info("event=dial_failed", "target", p.target.ID, "address", p.target.Address, "links", len(p.links),
			"waiting", p.waiting.Len(), "failing_for", p.health.failingFor(now), "error", err)
	}
	p.noDialUntil = now.Add(pause)
	if len(p.links) > 0 || p.dialing > 0 {
		return
	}
	for w := p.waiting.next(); w != nil; w = p.waiting.next() {
		w.result <- given{err: e}
	}
}

// hand gives a free link to the first that waits, or keeps it.
func (p *Pool) hand(l *Link) {
	if w := p.waiting.next(); w != nil {
		l.taken, l.priority = p.clock.Now(), w.priority
		w.result <- given{link: l}
		return
	}
	l.freed = p.clock.Now()
	p.idle = append(p.idle, l)
}

// expectedWait is how long a new request of a priority would wait for a connection: each
// of those before it holds one for the average time. It answers the load in which
// more requests come than connections are freed: a request that can't be served in
// time is better told so at once, while its caller has time to go elsewhere.
func (p *Pool) expectedWait(priority int) time.Duration {
	if len(p.links) == 0 {
		return 0 // Nothing is known yet.
	}
	return time.Duration(p.waiting.before(priority)+1) * p.hold / time.Duration(len(p.links))
}

// holdWeight of a new holding time in the average: about the last twenty count.
const holdWeight = 0.05

func (p *Pool) noteHold(d time.Duration) {
	p.hold += time.Duration(holdWeight * float64(d-p.hold))
}

func (p *Pool) release(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteHold(p.clock.Now().Sub(l.taken))
	if l.broken || p.closed {
		p.drop(l)
		p.grow()
		return
	}
	if len(p.links) > p.share && p.clock.Now().Before(p.yieldUntil) {
		p.drop(l)
		return
	}
	p.hand(l)
}

// Starved reports whether this VM gets fewer connections than its share.
func (p *Pool) Starved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.starvedUntil)
}

// Yield has this VM keep to its share for a while.
func (p *Pool) Yield() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.yieldUntil = p.clock.Now().Add(yieldFor)
	for len(p.links) > p.share && len(p.idle) > 0 {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
}

func (p *Pool) drop(l *Link) {
	delete(p.links, l)
	l.conn.Close()
}

func (p *Pool) begin(l *Link) mono.Time {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sent = now
	return now
}

func (p *Pool) end(l *Link, begun mono.Time, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l.sent = 0
	if err != nil {
		if p.health.lastAnswer < begun {
			p.health.failed(now)
		}
		p.log.Info("event=target_connection_lost", "target", p.target.ID, "sent_before", now.Sub(begun), "error", err)
		p.probe()
		return
	}
	p.health.answered(now, now.Sub(begun))
	if l.open && p.waiting.Len() > 0 {
		p.grow()
	}
}

// probe finds out by a new connection whether the target lives.
func (p *Pool) probe() {
	if p.dialing == 0 && !p.closed {
		p.dialing++
		go p.dial()
	}
}

// Tick finds targets that have gone silent, closes surplus connections and connects
// for those that still wait.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for l := range p.links {
		if l.sent != 0 && now.Sub(l.sent) > silentAfter && p.health.lastAnswer < l.sent {
			p.health.silent(now)
			p.probe()
			break
		}
	}
	if p.health.failing() && !now.Before(p.noDialUntil) {
		p.probe()
	}
	p.closeSurplus(now)
	p.grow()
}

func (p *Pool) closeSurplus(now mono.Time) {
	for len(p.links) > 1 && len(p.idle) > 0 && now.Sub(p.idle[0].freed) > p.idleFor {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// Warm opens a first connection ahead of need: a target that becomes the primary
// would otherwise make its first requests wait for one.
func (p *Pool) Warm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 && !p.clock.Now().Before(p.noDialUntil) {
		p.probe()
	}
}

// Close ends the pool: idle connections at once, those in use when they are freed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		p.drop(l)
	}
	p.idle = nil
	for w := p.waiting.next(); w != nil; w = p.waiting.next() {
		w.result <- given{err: result.New(result.TargetUnreachable, "%s is gone", p.target.ID)}
	}
}

// Load is what is known of the target's load and health at this VM.
type Load struct {
	// InFlight counts the requests under way and waiting.
	InFlight int
	// Latency is the average time of an answer.
	Latency time.Duration
	// FailingFor is how long the target has not answered; 0: it answers.
	FailingFor time.Duration
	// LastAnswer is when it last answered; 0: never.
	LastAnswer mono.Time
}

// Load returns the pool's present figures.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	busy := 0
	for l := range p.links {
		if l.sent != 0 {
			busy++
		}
	}
	return Load{
		InFlight:   busy + p.waiting.Len(),
		Latency:    p.health.latency,
		FailingFor: p.health.failingFor(now),
		LastAnswer: p.health.lastAnswer,
	}
}
