package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/retry"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// sampleRetention is the greatest staleness that can be proved, and
	// ageResolution the greatest error of a proved staleness. Together they bound
	// the samples of a group to about 250, or 8 KB.
	sampleRetention = 2 * time.Minute
	ageResolution   = 2 * time.Second
	// suspectTime is the time for which reads avoid a target after a failure.
	suspectTime = time.Second
	// averageDivisor is the divisor of the moving averages: a new measurement has
	// the weight 1/averageDivisor.
	averageDivisor = 8
	// initialLatency is the latency assumed for a target that has not answered yet.
	initialLatency = 2 * time.Millisecond
)

// destination is the target of an attempt and the pooler that serves it.
type destination struct {
	target topology.TargetID
	pooler topology.VM
	term   uint64 // 0 for a replica, which needs no right
	floor  position.Position
}

// estimate holds this entry's measurements of a target.
type estimate struct {
	latency  time.Duration // without queueing
	service  time.Duration
	queue    int
	inFlight int
	failedAt mono.Time
	failed   bool
	// avoid is set when the target refuses connections or has failed twice within
	// 2*suspectTime. Reads then exclude a replica for suspectTime after the failure.
	avoid bool
}

// groupState holds this entry's data about one group.
type groupState struct {
	freshness *routing.Freshness
	targets   map[topology.TargetID]*estimate
}

// router chooses targets and updates its estimates from their answers. It is safe for
// concurrent use.
type router struct {
	view  *view.View
	peers *peers.Table
	clock mono.Clock

	mu      sync.Mutex
	groups  map[topology.GroupID]*groupState
	random  *rand.Rand
	budgets *retry.Budgets
	floors  floorTable

	interruptions map[topology.GroupID]*interruption
}

// Retry budget of each member and class: a sustained rate and a burst.
const (
	retriesPerSecond = 50
	retryBurst       = 100
)

func newRouter(v *view.View, p *peers.Table, clock mono.Clock) *router {
	seed := uint64(v.Self().Incarnation)
	return &router{
		view:    v,
		peers:   p,
		clock:   clock,
		groups:  map[topology.GroupID]*groupState{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		budgets: retry.NewBudgets(retriesPerSecond, retryBurst),
		floors:  newFloorTable(),

		interruptions: map[topology.GroupID]*interruption{},
	}
}

// group returns the table of the row's group, updated with the row. The caller
// holds r.mu.
func (r *router) group(row *topology.Group) *groupState {
	g := r.groups[row.ID]
	if g == nil {
		g = &groupState{freshness: routing.NewFreshness(sampleRetention, ageResolution), targets: map[topology.TargetID]*estimate{}}
		r.groups[row.ID] = g
	}
	g.freshness.SetGroup(row)
	return g
}

func (g *groupState) estimate(id topology.TargetID) *estimate {
	e := g.targets[id]
	if e == nil {
		e = &estimate{latency: initialLatency, service: initialLatency}
		g.targets[id] = e
	}
	return e
}

// choose picks the target of a request whose floor has been computed.
func (r *router) choose(row *topology.Group, req routing.Request) (destination, *result.Error) {
	why, failure := r.explain(row, req)
	if failure != nil {
		return destination{}, failure
	}
	d := destination{target: why.Chosen, floor: why.Floor}
	if why.Chosen == row.Primary {
		d.term = row.Term
	}
	vm, ok := r.view.PoolerOf(why.Chosen)
	if !ok {
		return d, result.New(result.PoolerUnreachable, "no VM for %s", why.Chosen).After(defaultRetryAfter)
	}
	d.pooler = vm
	return d, nil
}

func (r *router) configured(id topology.GroupID) []config.Target {
	conf := r.view.Config()
	g, _ := conf.Group(id)
	return g.Targets
}

func (r *router) candidate(g *groupState, row *topology.Group, t config.Target, now mono.Time) routing.Candidate {
	e := g.estimate(t.ID)
	c := routing.Candidate{
		Target:      t.ID,
		Primary:     t.ID == row.Primary,
		SameDC:      t.DataCentre == r.view.Self().DataCentre,
		Latency:     e.latency,
		Service:     e.service,
		Slots:       t.Slots,
		QueueLength: e.queue,
		InFlight:    e.inFlight,
	}
	switch {
	case t.Leaving && !c.Primary:
		c.State = routing.Leaving
	case t.Leaving, e.failed && now.Sub(e.failedAt) < suspectTime:
		// A leaving primary accepts writes until its successor is promoted.
		c.State = routing.Suspect
		if e.avoid && !c.Primary {
			// A suspect replica is preferred to a healthy primary, so a read would
			// try a replica that is down until its attempts are used up.
			c.State = routing.Dead
		}
	}
	return c
}

// sent counts a request to the target as in flight and returns the time of sending.
func (r *router) sent(row *topology.Group, target topology.TargetID) mono.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(row).estimate(target).inFlight++
	return r.clock.Now()
}

// answerInfo is the part of an answer that the router's estimates are updated from.
type answerInfo struct {
	position position.Position
	queue    int
	queued   time.Duration
	ran      time.Duration
}

// answered updates the target's estimate from the answer to a request that was sent
// at begun.
func (r *router) answered(row *topology.Group, d destination, begun mono.Time, a answerInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	g := r.group(row)
	e := g.estimate(d.target)
	e.inFlight--
	e.failed, e.avoid = false, false
	e.queue = a.queue
	e.service = average(e.service, a.ran)
	e.latency = average(e.latency, max(0, now.Sub(begun)-a.queued))
	g.freshness.RecordPosition(d.target, a.position, now)
	if d.target == row.Primary && d.term != 0 {
		g.freshness.AddSample(routing.Sample{Begun: begun, Position: a.position})
	}
}

func average(old, measured time.Duration) time.Duration {
	return old + (measured-old)/averageDivisor
}

// failed updates the target's estimate from an attempt that failed.
func (r *router) failed(row *topology.Group, target topology.TargetID, failure *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	g := r.group(row)
	e := g.estimate(target)
	e.inFlight--
	switch failure.Code {
	case result.ReplicaBehind:
		if at, ok := g.freshness.Applied(target); ok {
			g.freshness.MarkBehind(target, at.Position, now)
		} else {
			g.freshness.MarkBehind(target, position.Position{}, now)
		}
	case result.TargetUnreachable, result.TargetSilent, result.PoolerUnreachable, result.OutcomeUnknown, result.Leaving:
		repeated := e.failed && now.Sub(e.failedAt) < 2*suspectTime
		e.avoid = repeated || failure.Code == result.TargetUnreachable
		e.failed = true
		e.failedAt = now
	}
}

// addSample records the primary's newest position from a fetch that started at begun.
func (r *router) addSample(row *topology.Group, begun mono.Time, at position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(row)
	g.freshness.AddSample(routing.Sample{Begun: begun, Position: at})
	g.freshness.RecordPosition(row.Primary, at, r.clock.Now())
}

// decideRetry decides whether and when a failed attempt is retried.
func (r *router) decideRetry(p retry.Policy, o retry.FailedAttempt, class retry.Class, deadline mono.Time) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.Next(o, class, r.budgets, r.clock.Now(), deadline, r.random)
}

// positionTimeout bounds a position fetch from the primary.
const positionTimeout = 500 * time.Millisecond

// positionContext returns a context with the time-out of a position fetch.
func (r *router) positionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, positionTimeout)
}
