package target

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	// dialTimeout of a new connection, which waits for a slot behind the target's queue.
	dialTimeout = 400 * time.Millisecond
	// fullPause is how long no connection is tried after the target had none
	// left: about the time that a transaction holds one.
	fullPause = 150 * time.Millisecond
	// dialPause is how long no connection is tried after one failed.
	dialPause = 100 * time.Millisecond
	// strangerPause is the same where another target answers at the address: it stays so
	// until the registration changes.
	strangerPause = time.Second
	// surplusIdle is how long a connection beyond the first stays unused. The one used
	// last is used next, so those that the load does not need fall idle. What a VM
	// holds when it loses power blocks places at the target for seconds more, and its
	// successors can't connect.
	surplusIdle = 250 * time.Millisecond
	// silentAfter is how long the target may leave all commands unanswered before
	// a new connection is tried.
	silentAfter = 250 * time.Millisecond
	// indirectIdle is the same for connections that go through another VM.
	indirectIdle = 15 * time.Second
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
	// indirect: its connections go through another VM.
	indirect bool
	// idleFor is how long a connection beyond the first stays unused.
	idleFor time.Duration
	// holderOf names the VM through which a customer's requests go, if they do.
	holderOf func(topology.CustomerID) topology.VMID
	links    map[*Link]bool
	// idle are the unused links, the one used last at the end.
	idle []*Link
	// dialing counts the connections that are being opened, by lane.
	dialing map[lane]int
	waiting waitlist.List[chan given]
	// noDialUntil keeps from connecting again at once, and noProbeUntil from finding out again
	// whether the target lives.
	noDialUntil  mono.Time
	noProbeUntil mono.Time
	// starvedUntil: the target had no connection left while this VM held fewer than
	// its share. yieldUntil: another VM is in this state.
	starvedUntil mono.Time
	yieldUntil   mono.Time
	saturation   saturation
	departure    departure
	health       health
	// hold is the average time for which a request or transaction holds a link.
	hold   time.Duration
	closed bool
}

// NewPool makes an empty pool.
func NewPool(t topology.Target, share int, d Driver, clock mono.Clock, log *slog.Logger) *Pool {
	return &Pool{
		target: t, share: share, idleFor: surplusIdle, driver: d, clock: clock, log: log,
		holderOf: anyHolder, links: map[*Link]bool{}, dialing: map[lane]int{},
	}
}

// Target returns the pool's target.
func (p *Pool) Target() topology.Target { return p.target }

// Acquire waits for a connection until the request's deadline. values are those of the
// session: a connection that has them already is preferred.
func (p *Pool) Acquire(ctx context.Context, r waitlist.Request, values map[string]string) (*Link, *result.Error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, result.New(result.TargetUnreachable, "%s is gone", p.target.ID)
	}
	if p.hasLeft(p.clock.Now()) && !r.Anyone {
		p.mu.Unlock()
		return nil, p.left()
	}
	if l := p.takeIdle(&r, values); l != nil {
		l.give(r, p.clock.Now(), 0)
		p.mu.Unlock()
		return l, nil
	}
	now := p.clock.Now()
	wait := p.waiting.EstimateWait(r, now, p.health.latency, p.hold, len(p.links))
	if now.Add(wait).After(r.Deadline) {
		p.waiting.RecordMiss(r.Priority, now)
		p.mu.Unlock()
		return nil, result.New(result.QueueFull, "%s: a connection is expected in %v", p.target.ID, wait.Round(time.Millisecond)).After(wait)
	}
	w := p.waiting.Add(r, make(chan given, 1), now, p.health.latency)
	p.grow()
	p.mu.Unlock()
	return p.await(ctx, w)
}

func (p *Pool) await(ctx context.Context, w *waitlist.Waiter[chan given]) (*Link, *result.Error) {
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
		return nil, result.New(result.DeadlineInQueue, "no connection to %s in time", p.target.ID)
	}
	g := <-w.Value // It was given one in this moment.
	return g.link, g.err
}

// takeIdle returns an unused link that serves the request, best one with the session's values already.
func (p *Pool) takeIdle(r *waitlist.Request, values map[string]string) *Link {
	best, same := -1, false
	for i, l := range p.idle {
		if !p.serves(l, r) {
			continue
		}
		// Otherwise the last one used, so that the others fall idle.
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

// hand gives a free link to the first that it serves, or keeps it.
func (p *Pool) hand(l *Link) {
	now := p.clock.Now()
	w := p.waiting.NextOf(func(r *waitlist.Request) bool { return p.serves(l, r) }, now, p.health.latency)
	if w != nil {
		l.give(w.Request, now, now.Sub(w.Since))
		w.Value <- given{link: l}
		return
	}
	l.freed = now
	p.idle = append(p.idle, l)
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
	if p.gives(l, p.clock.Now()) {
		p.drop(l)
	} else {
		p.hand(l)
	}
	p.grow()
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

// end notes what the end of a command tells of the target. What a holder answers by itself is no answer of the
// target: VMs that reach a dark primary through holders would vouch for it.
func (p *Pool) end(l *Link, begun mono.Time, refusal *result.Error, err error) {
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
	shown := evidenceOf(l.conn)
	if shown.Direct {
		p.saturation.note(refusal, now)
		p.health.answered(now, now.Sub(begun))
	} else {
		p.health.told(shown, begun, now)
	}
	if l.open && p.waiting.Len() > 0 {
		p.grow()
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
	if p.health.failing() && !now.Before(max(p.noDialUntil, p.noProbeUntil)) {
		p.probe()
	}
	p.closeSurplus(now)
	p.followDeparture(now)
	p.grow()
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
	p.refuseAll(result.New(result.TargetUnreachable, "%s is gone", p.target.ID))
}

// refuseAll answers all that wait.
func (p *Pool) refuseAll(why *result.Error) {
	now := p.clock.Now()
	for w := p.waiting.Next(now, 0); w != nil; w = p.waiting.Next(now, 0) {
		w.Value <- given{err: why}
	}
}

// Load is what is known of the target's load and health at this VM.
type Load struct {
	// InFlight counts the requests under way and waiting, Busy those under way.
	InFlight, Busy int
	// Queue is how long a new request would wait here for a connection.
	Queue time.Duration
	// Latency is the average time of an answer.
	Latency time.Duration
	// FailingFor is how long the target has not answered; 0: it answers.
	FailingFor time.Duration
	// LastAnswer is when it last answered; 0: never.
	LastAnswer mono.Time
	// Saturated: it refused a statement for its load just now.
	Saturated bool
	// Left: it leaves, and is sent no new work any more.
	Left bool
}

// queue is how long a request behind all others would wait for a connection.
func (p *Pool) queue() time.Duration {
	if len(p.idle) > 0 || len(p.links) == 0 {
		return 0
	}
	return time.Duration(p.waiting.Len()+1) * p.hold / time.Duration(len(p.links))
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
		Busy:       busy,
		Queue:      p.queue(),
		Latency:    p.health.latency,
		FailingFor: p.health.failingFor(now),
		LastAnswer: p.health.lastAnswer,
		Saturated:  p.saturated(math.MaxInt, now),
		Left:       p.hasLeft(now),
	}
}
