// Package failover drives the tables of pkg/authority (holder, promoter and
// detector): it carries out the actions that they return and feeds the results back.
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
	// tickPeriod is how often the tables are ticked: the steps of a promotion take
	// tens of milliseconds.
	tickPeriod = 25 * time.Millisecond
	// assignPeriod is how often this VM's assignments are updated.
	assignPeriod = 250 * time.Millisecond
	// peerTimeout bounds one message to another VM.
	peerTimeout = 400 * time.Millisecond
	// controlTimeout bounds one control statement.
	controlTimeout = 500 * time.Millisecond
	// commitTimeout bounds one read of or commit to the platform's table.
	commitTimeout = 2 * time.Second
)

// Directory provides the VMs, targets and groups that the driver needs to know.
type Directory interface {
	Self() topology.VM
	VM(topology.VMID) (topology.VM, bool)
	// Assignments lists the groups in which this VM pools a target.
	Assignments() []Assignment
	Target(topology.TargetID) (pooler.TargetLimits, bool)
	PoolerOf(topology.TargetID) (topology.VM, bool)
	// Witness picks a VM outside the data centres of this VM and of the target.
	Witness(topology.TargetID) (topology.VM, bool)
	Group(topology.GroupID) *topology.Group
	// HeardWithin reports whether a VM gave a sign of life in the last d.
	HeardWithin(vm topology.VMID, d time.Duration) bool
}

// Assignment describes what this VM does for a group.
type Assignment struct {
	Group topology.GroupID
	// Targets are the targets of the group that this VM pools.
	Targets []topology.TargetID
	// Candidates are the poolers of the group's targets.
	Candidates []topology.Promoter
}

// LivenessChecker checks whether a VM is alive.
type LivenessChecker interface {
	Probe(ctx context.Context, vm topology.VMID)
}

// Options of a Driver.
type Options struct {
	Directory Directory
	Peers     *peers.Table
	Pooler    *pooler.Pooler
	Dialer    pooler.Dialer
	Table     platform.Table
	// Publish announces a newly committed row to this VM and its peers.
	Publish func(platform.Row)
	// Liveness checks whether a VM is alive.
	Liveness  LivenessChecker
	Clock     mono.Clock
	Authority authority.Options
	Log       *slog.Logger
}

// Driver owns the tables of this VM and carries out their actions.
type Driver struct {
	o Options

	mu           sync.Mutex
	holder       *authority.Holder
	promoter     *authority.Promoter
	detector     *authority.Detector
	assignments  map[topology.GroupID]Assignment
	held         map[topology.GroupID]topology.TargetID
	loggedTerms  map[topology.GroupID]uint64            // last logged term
	health       map[topology.TargetID]authority.Health // last logged health
	probeConns   map[topology.TargetID]*probeConn       // primaries that the detector watches
	actionQueues actionQueues
	table        *limitedTable
	polling      map[topology.TargetID]polling
	pollStates   map[topology.GroupID]pollState
	assignNow    chan struct{}
	onAssigned   func(context.Context)
}

// New makes a driver.
func New(o Options) *Driver {
	self := o.Directory.Self()
	seed := uint64(self.Incarnation)
	return &Driver{
		o:            o,
		holder:       authority.NewHolder(self, o.Authority),
		promoter:     authority.NewPromoter(self, o.Authority, rand.New(rand.NewPCG(seed, seed)), o.Clock.Now()),
		detector:     authority.NewDetector(),
		assignments:  map[topology.GroupID]Assignment{},
		held:         map[topology.GroupID]topology.TargetID{},
		loggedTerms:  map[topology.GroupID]uint64{},
		health:       map[topology.TargetID]authority.Health{},
		probeConns:   map[topology.TargetID]*probeConn{},
		actionQueues: newActionQueues(),
		table:        newLimitedTable(o.Table),
		polling:      map[topology.TargetID]polling{},
		pollStates:   map[topology.GroupID]pollState{},
		assignNow:    make(chan struct{}, 1),
		onAssigned:   func(context.Context) {},
	}
}

// OnAssigned sets a function to be called after each update of this VM's
// assignments. It must be called before Run.
func (d *Driver) OnAssigned(f func(context.Context)) { d.onAssigned = f }

// Run does the driver's periodic work until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	go loop(ctx, assignPeriod, d.assignNow, func(ctx context.Context) {
		d.assign(ctx)
		d.onAssigned(ctx)
	})
	go loop(ctx, statusTick, nil, d.pollTargets)
	go loop(ctx, callReportPeriod, nil, d.reportPlatform)
	loop(ctx, tickPeriod, nil, d.tick)
}

// loop calls f every period and whenever woken receives.
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

// tick ticks the tables and starts the actions that they return.
func (d *Driver) tick(ctx context.Context) {
	d.mu.Lock()
	now := d.o.Clock.Now()
	for id, assignment := range d.assignments {
		d.reportHealth(id, assignment, now)
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

// reportHealth passes the health of the group's primary, as seen from this VM, to
// the holder and the promoter.
func (d *Driver) reportHealth(id topology.GroupID, assignment Assignment, now mono.Time) {
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
	for _, t := range assignment.Targets {
		if t != row.Primary {
			d.promoter.AssessPrimary(id, health, now)
		}
	}
}

// ObserveRows takes in rows. began is the time just before the platform read that
// returned them, or the zero time when they came from a peer.
func (d *Driver) ObserveRows(rows []*topology.Group, began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	var at mono.Time
	if !began.IsZero() {
		at = now.Add(-time.Since(began))
	}
	for _, row := range rows {
		if _, ok := d.assignments[row.ID]; !ok && !d.joinIfListed(row) {
			continue
		}
		d.observeRow(authority.RowRead{Row: row, Began: at}, now)
	}
	d.triggerAssign()
}

// triggerAssign updates this VM's assignments at once instead of after a period:
// otherwise each step of a failover would wait for one.
func (d *Driver) triggerAssign() {
	select {
	case d.assignNow <- struct{}{}:
	default: // An update is due already, and it will see these rows.
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
		d.checkPooler(group)
	}
	return d.holder.Right(group, term, d.o.Clock.Now())
}

// checkPooler checks whether the VM that this VM knows as the primary's pooler is
// alive. A request for it arrived here instead, so it may be dead, and then this VM
// has to take over without waiting for the platform's list of VMs.
func (d *Driver) checkPooler(group topology.GroupID) {
	row := d.o.Directory.Group(group)
	if row == nil {
		return
	}
	if vm, ok := d.o.Directory.PoolerOf(row.Primary); ok {
		d.o.Liveness.Probe(context.Background(), vm.ID)
	}
}

// Confirm implements pooler.Rights.
func (d *Driver) Confirm(r authority.Right, waited bool) *result.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Clock.Now()
	if waited {
		d.recordWait(r.Group, now)
	}
	return d.holder.Confirm(r, waited, now)
}

// Answered implements pooler.Evidence: the target answered on some connection.
func (d *Driver) Answered(t topology.TargetID, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.ObserveAnswer(t, latency, d.o.Clock.Now())
}

// Suspected implements pooler.Evidence: a connection broke or an answer is overdue.
func (d *Driver) Suspected(t topology.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.RequestProbe(t)
}

// Health returns the health of a target as seen from this VM.
func (d *Driver) Health(t topology.TargetID) authority.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.Health(t, d.o.Clock.Now())
}

// Promoting reports whether this VM is promoting its replica of the group.
func (d *Driver) Promoting(group topology.GroupID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.promoter.Promoting(group)
}

// Switchover drains the group's primary and then has the target to promoted.
func (d *Driver) Switchover(group topology.GroupID, to topology.TargetID) *result.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.held[group]; !ok {
		return result.New(result.WrongPooler, "%s", group)
	}
	d.holder.Drain(group, to, d.o.Clock.Now())
	return nil
}

// Drained records that every write admitted before Switchover has ended.
func (d *Driver) Drained(group topology.GroupID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Drained(group, d.o.Clock.Now())
}
