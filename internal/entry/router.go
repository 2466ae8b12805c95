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
	// keptAge is the greatest staleness that can be shown; ageResolution is how
	// much worse than exact a shown age may be. Together they bound the samples
	// of a group at about 250, 8 KB.
	keptAge       = 2 * time.Minute
	ageResolution = 2 * time.Second
	// suspectFor is how long reads avoid a target after a failure.
	suspectFor = time.Second
	// weight of a new measurement in the averages, as one part of so many.
	averageParts = 8
	// firstLatency is assumed of a target that has not answered yet.
	firstLatency = 2 * time.Millisecond
)

// destination is where an attempt goes.
type destination struct {
	target topology.TargetID
	pooler topology.VM
	term   uint64 // 0: a replica, which needs no right
	floor  position.Position
}

// estimate is what this entry has measured of a target.
type estimate struct {
	latency  time.Duration // without queueing
	service  time.Duration
	queue    int
	inFlight int
	failedAt mono.Time
	failed   bool
	// avoid: reads leave it out while the failure is young. The target refuses
	// connections, or has failed twice in a row.
	avoid bool
}

// groupTable is one group as this entry knows it.
type groupTable struct {
	fresh   *routing.Freshness
	targets map[topology.TargetID]*estimate
}

// router chooses targets and learns from their answers. Safe for concurrent use.
type router struct {
	view  *view.View
	peers *peers.Table
	clock mono.Clock

	mu      sync.Mutex
	groups  map[topology.GroupID]*groupTable
	random  *rand.Rand
	budgets *retry.Budgets
	floors  floorTable

	interruptions map[topology.GroupID]*interruption
}

// Budget of retries a second of each member and class, and at once.
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
		groups:  map[topology.GroupID]*groupTable{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		budgets: retry.NewBudgets(retriesPerSecond, retryBurst),
		floors:  newFloorTable(),

		interruptions: map[topology.GroupID]*interruption{},
	}
}

// group returns the table of a group with the newest row; the caller holds the lock.
func (r *router) group(row *topology.Group) *groupTable {
	g := r.groups[row.ID]
	if g == nil {
		g = &groupTable{fresh: routing.NewFreshness(keptAge, ageResolution), targets: map[topology.TargetID]*estimate{}}
		r.groups[row.ID] = g
	}
	g.fresh.SetGroup(row)
	return g
}

func (g *groupTable) estimate(id topology.TargetID) *estimate {
	e := g.targets[id]
	if e == nil {
		e = &estimate{latency: firstLatency, service: firstLatency}
		g.targets[id] = e
	}
	return e
}

// choose picks the target of a request whose floor is known.
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
		return d, result.New(result.PoolerUnreachable, "no VM for %s", why.Chosen).After(comeBack)
	}
	d.pooler = vm
	return d, nil
}

func (r *router) configured(id topology.GroupID) []config.Target {
	conf := r.view.Config()
	g, _ := conf.Group(id)
	return g.Targets
}

func (r *router) candidate(g *groupTable, row *topology.Group, t config.Target, now mono.Time) routing.Candidate {
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
	case t.Leaving, e.failed && now.Sub(e.failedAt) < suspectFor:
		// A leaving primary still takes writes until its successor is promoted.
		c.State = routing.Suspect
		if e.avoid && !c.Primary {
			// A suspect replica still comes before a healthy primary, so a read
			// would meet a dead one until its attempts are spent.
			c.State = routing.Dead
		}
	}
	return c
}

// sent notes a request under way.
func (r *router) sent(row *topology.Group, target topology.TargetID) mono.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(row).estimate(target).inFlight++
	return r.clock.Now()
}

// reply is what an answer tells besides its rows.
type reply struct {
	position position.Position
	queue    int
	queued   time.Duration
	ran      time.Duration
}

// answered learns from an answer to a request sent at begun.
func (r *router) answered(row *topology.Group, d destination, begun mono.Time, a reply) {
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
	g.fresh.Learn(d.target, a.position, now)
	if d.target == row.Primary && d.term != 0 {
		g.fresh.AddSample(routing.Sample{Begun: begun, Position: a.position})
	}
}

func average(old, measured time.Duration) time.Duration {
	return old + (measured-old)/averageParts
}

// failed learns from an attempt without an answer.
func (r *router) failed(row *topology.Group, target topology.TargetID, failure *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	g := r.group(row)
	e := g.estimate(target)
	e.inFlight--
	switch failure.Code {
	case result.ReplicaBehind:
		if at, ok := g.fresh.Applied(target); ok {
			g.fresh.MarkBehind(target, at.Position, now)
		} else {
			g.fresh.MarkBehind(target, position.Position{}, now)
		}
	case result.TargetUnreachable, result.TargetSilent, result.PoolerUnreachable, result.OutcomeUnknown, result.Leaving:
		young := e.failed && now.Sub(e.failedAt) < 2*suspectFor
		e.avoid = young || failure.Code == result.TargetUnreachable
		e.failed = true
		e.failedAt = now
	}
}

// sample notes the primary's newest position from a fetch begun at begun.
func (r *router) sample(row *topology.Group, begun mono.Time, at position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(row)
	g.fresh.AddSample(routing.Sample{Begun: begun, Position: at})
	g.fresh.Learn(row.Primary, at, r.clock.Now())
}

// next decides what follows a failed attempt.
func (r *router) next(p retry.Policy, o retry.FailedAttempt, class retry.Class, deadline mono.Time) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.Next(o, class, r.budgets, r.clock.Now(), deadline, r.random)
}

// positionTimeout of a fetch from the primary.
const positionTimeout = 500 * time.Millisecond

// call bounds a message to a pooler.
func (r *router) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, positionTimeout)
}
