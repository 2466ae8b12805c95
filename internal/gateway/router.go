package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	// sampleAge and sampleResolution of the primaries' positions: the age covers
	// the greatest staleness that classes use.
	sampleAge        = 10 * time.Second
	sampleResolution = 50 * time.Millisecond
	// refreshShare: a position older than this share of a read's staleness is
	// renewed ahead of need.
	refreshShare = 0.6
	// usualService is the average time of a statement in a slot, before any was
	// measured.
	usualService = 9 * time.Millisecond
	// suspectAfter is how long a target may fail before reads avoid it.
	suspectAfter = 50 * time.Millisecond
	// sampleTimeout bounds one request for a position.
	sampleTimeout = 300 * time.Millisecond
)

// Rights tells whether this VM may acknowledge for a group's primary.
type Rights interface {
	Await(ctx context.Context, group topology.GroupID) (lease.Right, bool)
	Right(group topology.GroupID) (lease.Right, bool)
	Confirm(r lease.Right) bool
	Row(group topology.GroupID) *lease.Row
	// CutOff reports whether no right can be had, with no end in sight.
	CutOff() bool
	// Frozen returns the end of the group's log while nothing can be acknowledged,
	// and when that was last known.
	Frozen(group topology.GroupID) (position.Position, mono.Time, bool)
}

// router chooses targets. Safe for concurrent use.
type router struct {
	directory *directory.Directory
	pools     *target.Pools
	rights    Rights
	clock     mono.Clock

	mu     sync.Mutex
	random *rand.Rand
	groups map[topology.GroupID]*groupView
}

// groupView is what is known of a group's log.
type groupView struct {
	fresh   *routing.Freshness
	outages [needs]outage
	// sampling is closed when the request for a position under way has ended.
	sampling chan struct{}
}

func newRouter(d *directory.Directory, pools *target.Pools, rights Rights, clock mono.Clock) *router {
	return &router{
		directory: d, pools: pools, rights: rights, clock: clock,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // Spreads load only.
		groups: map[topology.GroupID]*groupView{},
	}
}

// view returns the group's view by its newest row.
func (r *router) view(group topology.GroupID) *groupView {
	g := r.groups[group]
	if g == nil {
		g = &groupView{fresh: routing.NewFreshness(sampleAge, sampleResolution)}
		r.groups[group] = g
	}
	if row := r.rights.Row(group); row != nil {
		g.fresh.SetGroup(row.Topology())
	}
	// While a primary is replaced nobody can be asked for the newest position, and
	// reads of a stated age would be refused; but it is known not to move.
	if end, at, ok := r.rights.Frozen(group); ok {
		g.fresh.AddSample(routing.Sample{Begun: at, Position: end})
	}
	return g
}

// choice is where a read goes, what the target must hold, and in how long it is expected to.
type choice struct {
	pool    *target.Pool
	floor   position.Position
	catchUp time.Duration
}

// chooseRead picks the target of a read that a replica may serve. tried targets are
// passed over, and a replica that is behind is chosen if it is expected to have caught up within
// patience.
func (r *router) chooseRead(c *directory.Class, floor position.Position, patience time.Duration, tried map[topology.TargetID]bool) (choice, *result.Error) {
	targets := r.directory.TargetsOf(c.Group)
	var primary topology.TargetID
	if row := r.rights.Row(c.Group); row != nil {
		primary = row.Primary
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	g := r.view(c.Group)
	candidates := make([]routing.Candidate, 0, len(targets))
	for i := range targets {
		if !tried[targets[i].ID] {
			candidates = append(candidates, r.candidate(&targets[i], primary))
		}
	}
	req := routing.Request{Staleness: c.Staleness, Floor: floor, MaxCatchUp: patience}
	r.refresh(g, c, now)
	why, err := routing.Choose(now, req, g.fresh, candidates, r.random)
	if err != nil && len(tried) == 0 && allLeave(targets) {
		return choice{}, result.New(result.TargetLeaving, "all targets of %s leave", c.Group)
	}
	if err != nil {
		return choice{}, result.From(err)
	}
	if _, shown := g.fresh.AgeFloor(c.Staleness, now); !shown {
		return choice{}, result.New(result.AgeNotShown, "%s", c.Group).After(routing.RetryNoTarget)
	}
	pool, ok := r.pools.Get(why.Chosen)
	if !ok {
		return choice{}, result.New(result.TargetUnreachable, "%s has just come or gone", why.Chosen).After(routing.RetryNoTarget)
	}
	g.outages[needTarget].over()
	return choice{pool: pool, floor: why.Floor, catchUp: min(patience, why.CatchUp)}, nil
}

func (r *router) candidate(t *directory.Target, primary topology.TargetID) routing.Candidate {
	c := routing.Candidate{
		Target:  t.ID,
		Primary: t.ID == primary,
		SameDC:  t.DataCentre == r.directory.Self().DataCentre,
		Service: usualService,
		Slots:   t.Slots,
	}
	load, ok := r.pools.Load(t.ID)
	switch {
	case !ok:
		c.State = routing.Dead
	case t.Leaving && (!c.Primary || load.Left):
		c.State = routing.Leaving
	case t.Leaving, load.FailingFor > suspectAfter:
		c.State = routing.Suspect // A primary that leaves serves what no replica can.
	}
	c.Latency, c.InFlight = load.Latency+load.Queue, load.Busy
	return c
}

// refresh renews the primary's position ahead of need, off the path of reads.
func (r *router) refresh(g *groupView, c *directory.Class, now mono.Time) {
	early := time.Duration(refreshShare * float64(c.Staleness))
	if _, shown := g.fresh.AgeFloor(early, now); !shown && g.sampling == nil {
		r.startSample(g, c.Group)
	}
}

// startSample asks the primary for its position; one request a group at a time.
func (r *router) startSample(g *groupView, group topology.GroupID) {
	done := make(chan struct{})
	g.sampling = done
	go func() {
		defer func() {
			r.mu.Lock()
			g.sampling = nil
			r.mu.Unlock()
			close(done)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		defer cancel()
		r.sample(ctx, group)
	}()
}

// awaitSample waits for a position that is asked for now or was just before.
func (r *router) awaitSample(ctx context.Context, group topology.GroupID) {
	r.mu.Lock()
	g := r.view(group)
	if g.sampling == nil {
		r.startSample(g, group)
	}
	done := g.sampling
	r.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *router) sample(ctx context.Context, group topology.GroupID) {
	right, ok := r.rights.Await(ctx, group)
	if !ok {
		return
	}
	pool, ok := r.pools.Get(right.Primary)
	if !ok {
		return
	}
	deadline := r.clock.Now().Add(sampleTimeout)
	link, failure := pool.Acquire(ctx, waitlist.Request{Useful: deadline, Deadline: deadline, Anyone: true}, nil)
	if failure != nil {
		return
	}
	defer link.Release()
	begun := r.clock.Now()
	p, err := link.Position(time.Now().Add(sampleTimeout))
	if err == nil && r.rights.Confirm(right) {
		r.learnPrimary(right, begun, p)
	}
}

// newest returns the newest position that the group's primary is known to have held.
func (r *router) newest(group topology.GroupID) position.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view(group).fresh.Newest()
}

// learnPrimary notes the primary's newest position, from an answer to a statement
// sent at begun under a right that still stands.
func (r *router) learnPrimary(right lease.Right, begun mono.Time, p position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.view(right.Group)
	g.fresh.AddSample(routing.Sample{Begun: begun, Position: p})
	g.fresh.Learn(right.Primary, p, r.clock.Now())
}

// learn notes what a target holds.
func (r *router) learn(group topology.GroupID, id topology.TargetID, p position.Position) {
	if p.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(group).fresh.Learn(id, p, r.clock.Now())
}

// lags notes that a target refused a floor since it lags, and what it holds; zero: not known. It
// returns in how long the target is expected to hold the floor; 0: nothing tells.
func (r *router) lags(group topology.GroupID, c choice, holds position.Position) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh, now, id := r.view(group).fresh, r.clock.Now(), c.pool.Target().ID
	if !holds.IsZero() {
		fresh.Learn(id, holds, now)
	}
	fresh.MarkRefused(id, now)
	return fresh.CatchUp(id, c.floor, now)
}
