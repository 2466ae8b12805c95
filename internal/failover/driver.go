// Package failover drives pkg/authority: it carries out the actions that the
// tables return and feeds their results back.
package failover

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Periods and time-outs.
const (
	// tickPeriod of the systems; promotions have steps of tens of milliseconds.
	tickPeriod = 25 * time.Millisecond
	// assignPeriod is how often this VM's parts are worked out anew.
	assignPeriod = 250 * time.Millisecond
	// peerTimeout of one message to another VM.
	peerTimeout = 400 * time.Millisecond
	// controlTimeout of one control statement.
	controlTimeout = 500 * time.Millisecond
	// commitTimeout of one commit to the platform's table.
	commitTimeout = 2 * time.Second
)

// Directory tells what the driver must know of the world.
type Directory interface {
	Self() topology.VM
	VM(topology.VMID) (topology.VM, bool)
	// Parts lists the groups in which this VM pools a target.
	Parts() []Part
	Target(topology.TargetID) (pooler.TargetLimits, bool)
	PoolerOf(topology.TargetID) (topology.VM, bool)
	// Witness picks a VM of another data centre than this one's and target's.
	Witness(topology.TargetID) (topology.VM, bool)
	Group(topology.GroupID) *topology.Group
	// HeardWithin reports whether a VM gave a sign of life in the last d.
	HeardWithin(vm topology.VMID, d time.Duration) bool
}

// Part is a group with what this VM does for it.
type Part struct {
	Group topology.GroupID
	// Targets of the group that this VM pools.
	Targets []topology.TargetID
	// Candidates are the poolers of the group's targets.
	Candidates []topology.Promoter
}

// Doubter asks a VM whether it lives.
type Doubter interface {
	Ask(ctx context.Context, vm topology.VMID)
}

// Options of a Driver.
type Options struct {
	Directory Directory
	Peers     *peers.Table
	Pooler    *pooler.Pooler
	Dialer    pooler.Dialer
	Table     platform.Table
	// Publish takes in a row just committed, for this VM and its peers.
	Publish func(platform.Row)
	// Doubt has a VM asked whether it lives.
	Doubt     Doubter
	Clock     mono.Clock
	Authority authority.Options
	Log       *slog.Logger
}

// Driver owns the tables of this VM.
type Driver struct {
	o Options

	mu       sync.Mutex
	holder   *authority.Holder
	promoter *authority.Promoter
	detector *authority.Detector
	parts    map[topology.GroupID]Part
	held     map[topology.GroupID]topology.TargetID
	seen     map[topology.GroupID]uint64            // term last logged
	health   map[topology.TargetID]authority.Health // last logged
	watching map[topology.TargetID]*kept            // what the detector has
	lanes    lanes
	table    *calls
	asking   map[topology.TargetID]asking
	paces    map[topology.GroupID]pace
	woken    chan struct{}
	assigned func(context.Context)
}

// New makes a driver.
func New(o Options) *Driver {
	self := o.Directory.Self()
	seed := uint64(self.Incarnation)
	return &Driver{
		o:        o,
		holder:   authority.NewHolder(self, o.Authority),
		promoter: authority.NewPromoter(self, o.Authority, rand.New(rand.NewPCG(seed, seed)), o.Clock.Now()),
		detector: authority.NewDetector(),
		parts:    map[topology.GroupID]Part{},
		held:     map[topology.GroupID]topology.TargetID{},
		seen:     map[topology.GroupID]uint64{},
		health:   map[topology.TargetID]authority.Health{},
		watching: map[topology.TargetID]*kept{},
		lanes:    newLanes(),
		table:    newCalls(o.Table),
		asking:   map[topology.TargetID]asking{},
		paces:    map[topology.GroupID]pace{},
		woken:    make(chan struct{}, 1),
		assigned: func(context.Context) {},
	}
}

// OnAssigned names what follows each time that this VM's parts were worked out;
// it is called before Run.
func (d *Driver) OnAssigned(f func(context.Context)) { d.assigned = f }

// Run ticks until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	go loop(ctx, assignPeriod, d.woken, func(ctx context.Context) {
		d.assign(ctx)
		d.assigned(ctx)
	})
	go loop(ctx, statusTick, nil, d.askTargets)
	go loop(ctx, reportCalls, nil, d.reportPlatform)
	loop(ctx, tickPeriod, nil, d.tick)
}

// loop calls f each period and whenever woken.
func loop(ctx context.Context, period time.Duration, woken <-chan struct{}, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-woken:
		case <-ctx.Done():
			return
		}
	}
}

// tick runs the systems and starts what they ask for.
func (d *Driver) tick(ctx context.Context) {
	d.mu.Lock()
	now := d.o.Clock.Now()
	for id, part := range d.parts {
		d.judge(id, part, now)
	}
	actions := d.detector.Tick(now)
	actions = append(actions, d.holder.Tick(now)...)
	holderActions := len(actions)
	actions = append(actions, d.promoter.Tick(now)...)
	d.mu.Unlock()
	for i, a := range actions {
		d.perform(ctx, a, i < holderActions)
	}
}

// judge tells the tables how the group's primary looks from here.
func (d *Driver) judge(id topology.GroupID, part Part, now mono.Time) {
	row := d.o.Directory.Group(id)
	if row == nil {
		return
	}
	health := d.detector.Health(row.Primary, now)
	if d.health[row.Primary] != health {
		d.health[row.Primary] = health
		d.o.Log.Info("event=target_health", "group", id, "target", row.Primary, "health", health)
	}
	if _, ok := d.held[id]; ok {
		d.holder.SetHealth(id, health)
	}
	for _, t := range part.Targets {
		if t != row.Primary {
			d.promoter.Judge(id, health, now)
		}
	}
}

// ObserveRows takes rows in; began is the instant before the platform read that
// showed them, or the zero time when they were heard from a peer.
func (d *Driver) ObserveRows(rows []*topology.Group, began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	var at mono.Time
	if !began.IsZero() {
		at = now.Add(-time.Since(began))
	}
	for _, row := range rows {
		if _, ok := d.parts[row.ID]; !ok && !d.lists(row) {
			continue
		}
		d.observeRow(authority.RowRead{Row: row, Began: at}, now)
	}
	d.wake()
}

// wake has this VM's parts worked out at once instead of after a period: each
// step of a failover would else wait for one.
func (d *Driver) wake() {
	select {
	case d.woken <- struct{}{}:
	default: // A look is due already, and it will see these rows.
	}
}

func (d *Driver) observeRow(read authority.RowRead, now mono.Time) {
	d.holder.ObserveRow(read, now)
	d.promoter.ObserveRow(read, now)
	d.watch(read.Row.Primary, now)
}

// Right implements pooler.Rights.
func (d *Driver) Right(group topology.GroupID, term uint64) (authority.Right, *result.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.held[group]; !ok {
		d.doubtPooler(group)
	}
	return d.holder.Right(group, term, d.o.Clock.Now())
}

// doubtPooler asks the VM that this one takes for the primary's pooler whether
// it lives. Somebody sent its request here instead, so it may be dead, and then
// this VM has to take over without waiting for the platform's list.
func (d *Driver) doubtPooler(group topology.GroupID) {
	row := d.o.Directory.Group(group)
	if row == nil {
		return
	}
	if vm, ok := d.o.Directory.PoolerOf(row.Primary); ok {
		d.o.Doubt.Ask(context.Background(), vm.ID)
	}
}

// Confirm implements pooler.Rights.
func (d *Driver) Confirm(r authority.Right, waited bool) *result.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	if waited {
		d.noteWaited(r.Group, now)
	}
	return d.holder.Confirm(r, waited, now)
}

// Answered implements pooler.Evidence: the target answered on some connection.
func (d *Driver) Answered(t topology.TargetID, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.ObserveAnswer(t, latency, d.o.Clock.Now())
}

// Doubted implements pooler.Evidence: a connection broke or an answer is overdue.
func (d *Driver) Doubted(t topology.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.Doubt(t)
}

// Health tells how a target looks from here.
func (d *Driver) Health(t topology.TargetID) authority.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.Health(t, d.o.Clock.Now())
}

// Attempting reports whether this VM is promoting its replica of the group.
func (d *Driver) Attempting(group topology.GroupID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.promoter.Attempting(group)
}

// Switchover drains the group's primary and has to promoted.
func (d *Driver) Switchover(group topology.GroupID, to topology.TargetID) *result.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.held[group]; !ok {
		return result.New(result.WrongPooler, "%s", group)
	}
	d.holder.Drain(group, to, d.o.Clock.Now())
	return nil
}

// Drained tells that every write admitted before Switchover has ended.
func (d *Driver) Drained(group topology.GroupID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Drained(group, d.o.Clock.Now())
}
