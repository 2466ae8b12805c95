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
	// sampleAge and sampleResolution are the maximum age and the resolution of the
	// samples of the primaries' positions, which show how old a read's data is at most.
	// The age covers the greatest staleness that classes use.
	sampleAge        = 10 * time.Second
	sampleResolution = 50 * time.Millisecond
	// refreshShare is the share of a class's maximum staleness after which the primary's
	// position is requested again, so that reads don't have to wait for it.
	refreshShare = 0.6
	// defaultServiceTime is the average time that a statement occupies a slot, assumed as
	// long as none was measured.
	defaultServiceTime = 9 * time.Millisecond
	// suspectAfter is how long a target may fail before reads avoid it.
	suspectAfter = 50 * time.Millisecond
	// sampleTimeout bounds one request for a position.
	sampleTimeout = 300 * time.Millisecond
)

// Rights provides the rights of this VM to acknowledge for the groups' primaries.
type Rights interface {
	Await(ctx context.Context, group topology.GroupID) (lease.Right, bool)
	Right(group topology.GroupID) (lease.Right, bool)
	Confirm(r lease.Right) bool
	// ConfirmCommit returns nil if a commit of the right's primary may be acknowledged. It may wait until ctx ends.
	ConfirmCommit(ctx context.Context, r lease.Right, commit position.Position) error
	Row(group topology.GroupID) *lease.Row
	// CutOff reports whether this VM can get no right, with no foreseeable end.
	CutOff() bool
	// Frozen returns the end of the group's log and when it was last known to be the
	// end, while nothing can be acknowledged in the group.
	Frozen(group topology.GroupID) (position.Position, mono.Time, bool)
}

// router chooses the targets of requests. Safe for concurrent use.
type router struct {
	directory *directory.Directory
	pools     *target.Pools
	rights    Rights
	clock     mono.Clock

	mu     sync.Mutex
	random *rand.Rand
	groups map[topology.GroupID]*groupView
	// outliers is nil if outliers are not avoided.
	outliers *outliers
}

// groupView is what this VM knows of a group's log and outages.
type groupView struct {
	freshness *routing.Freshness
	// outages is indexed by what a request needs.
	outages [needCount]outage
	// sampling is closed when the pending request for a position ends; nil if none is
	// pending.
	sampling chan struct{}
}

func newRouter(d *directory.Directory, pools *target.Pools, rights Rights, clock mono.Clock) *router {
	return &router{
		directory: d, pools: pools, rights: rights, clock: clock,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // Spreads load only.
		groups: map[topology.GroupID]*groupView{},
	}
}

// view returns the group's view, updated from the group's newest row. The caller holds mu.
func (r *router) view(group topology.GroupID) *groupView {
	g := r.groups[group]
	if g == nil {
		g = &groupView{freshness: routing.NewFreshness(sampleAge, sampleResolution)}
		r.groups[group] = g
	}
	if row := r.rights.Row(group); row != nil {
		g.freshness.SetGroup(row.Topology())
	}
	// While a primary is being replaced, no target can be asked for the newest position,
	// and reads with a bounded staleness would be refused. But the position is known not
	// to change.
	if end, at, ok := r.rights.Frozen(group); ok {
		g.freshness.AddSample(routing.Sample{Begun: at, Position: end})
	}
	return g
}

// choice is the target of a read, the position that it must hold, called floor, and the time until it
// is expected to hold it.
type choice struct {
	pool    *target.Pool
	floor   position.Position
	catchUp time.Duration
	// expected is the time until it is expected to hold the floor, without the limit of maxWait.
	expected time.Duration
	// unconfirmed is set if it isn't known to hold it.
	unconfirmed bool
	primary     bool
}

// chooseRead chooses the target of a read that a replica may serve. Targets in tried are
// excluded. A replica that is behind may be chosen if it is expected to catch up within maxWait.
func (r *router) chooseRead(c *directory.Class, floor position.Position, maxWait time.Duration, tried map[topology.TargetID]bool) (choice, *result.Error) {
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
	r.outliers.measure(c, candidates, now)
	req := routing.Request{Staleness: c.Staleness, Floor: floor, MaxCatchUp: maxWait}
	r.refresh(g, c, now)
	decision, err := routing.Choose(now, req, g.freshness, candidates, r.random)
	if err != nil && len(tried) == 0 && allLeaving(targets) {
		return choice{}, result.New(result.TargetLeaving, "all targets of %s leave", c.Group)
	}
	if err != nil {
		return choice{}, result.From(err)
	}
	if _, shown := g.freshness.AgeFloor(c.Staleness, now); !shown {
		return choice{}, result.New(result.AgeNotShown, "%s", c.Group).After(routing.RetryNoTarget)
	}
	pool, ok := r.pools.Get(decision.Chosen)
	if !ok {
		return choice{}, result.New(result.TargetUnreachable, "%s has just come or gone", decision.Chosen).After(routing.RetryNoTarget)
	}
	g.outages[needTarget].found()
	r.outliers.chosen(c.Group, decision.Chosen, now)
	return choice{
		pool: pool, floor: decision.Floor, catchUp: min(maxWait, decision.CatchUp),
		expected: decision.CatchUp, unconfirmed: decision.Unconfirmed, primary: decision.Chosen == primary,
	}, nil
}

func (r *router) candidate(t *directory.Target, primary topology.TargetID) routing.Candidate {
	c := routing.Candidate{
		Target:  t.ID,
		Primary: t.ID == primary,
		SameDC:  t.DataCentre == r.directory.Self().DataCentre,
		Service: defaultServiceTime,
		Slots:   t.Slots,
	}
	load, ok := r.pools.Load(t.ID)
	switch {
	case !ok:
		c.State = routing.Dead
	case t.Leaving && (!c.Primary || load.DrainEnded):
		c.State = routing.Leaving
	case t.Leaving, load.FailingFor > suspectAfter:
		c.State = routing.Suspect // A leaving primary still serves what no replica can.
	}
	c.Latency, c.InFlight, c.Queue = load.Latency+load.Queue, load.Busy, load.Queue
	return c
}

// refresh requests the primary's position in the background before reads need it.
func (r *router) refresh(g *groupView, c *directory.Class, now mono.Time) {
	refreshAge := time.Duration(refreshShare * float64(c.Staleness))
	if _, shown := g.freshness.AgeFloor(refreshAge, now); !shown && g.sampling == nil {
		r.startSample(g, c.Group)
	}
}

// startSample requests the primary's position in the background. The caller holds mu, and ensures that
// there is one request per group at a time.
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

// awaitSample waits for the pending request for a position, and starts one if there is none.
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
		r.recordPrimaryPosition(right, begun, p)
	}
}

// newest returns the newest position that the group's primary is known to have held.
func (r *router) newest(group topology.GroupID) position.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view(group).freshness.Newest()
}

// recordPrimaryPosition records the primary's newest position, from the answer to a statement
// that was sent at begun under a right that is still valid.
func (r *router) recordPrimaryPosition(right lease.Right, begun mono.Time, p position.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.view(right.Group)
	g.freshness.AddSample(routing.Sample{Begun: begun, Position: p})
	g.freshness.RecordPosition(right.Primary, p, r.clock.Now())
}

// recordPosition records the position that a target holds.
func (r *router) recordPosition(group topology.GroupID, id topology.TargetID, p position.Position) {
	if p.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(group).freshness.RecordPosition(id, p, r.clock.Now())
}

// recordReplicaBehind records that a target refused a read because it has not reached the floor, and the position that
// it holds, which is zero if unknown. It returns the time until the target is expected to reach the
// floor, or 0 if that is unknown.
func (r *router) recordReplicaBehind(group topology.GroupID, c choice, holds position.Position) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	freshness, now, id := r.view(group).freshness, r.clock.Now(), c.pool.Target().ID
	if !holds.IsZero() {
		freshness.RecordPosition(id, holds, now)
	}
	freshness.MarkRefused(id, now)
	return freshness.CatchUp(id, c.floor, now)
}
