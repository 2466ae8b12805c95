package target

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	tickPeriod = 50 * time.Millisecond
	// indirectShare is how many connections through other VMs a VM may have to one
	// target: more than it needs, since the target's connections are limited at the holders.
	indirectShare = 12
	// warmEveryTicks is the number of ticks between checks for targets without any
	// connection.
	warmEveryTicks = 20
)

// Pools holds the pools of all targets. Safe for concurrent use.
type Pools struct {
	// Drain is how long a leaving target is sent new work. It must be set before Run.
	Drain time.Duration
	// Options must be set before Run.
	Options Options
	// Metrics may be nil. It must be set before Run.
	Metrics *metrics.Connections
	// SlotMetrics records the use of the targets' slots; nil records nothing. It must be set before Run.
	SlotMetrics *metrics.Slots
	// FairQueueMetrics records the work of Options.FairQueue; nil records nothing. It must be set before Run.
	FairQueueMetrics *metrics.FairQueue

	directory *directory.Directory
	driver    Driver
	clock     mono.Clock
	log       *slog.Logger

	mu    sync.Mutex
	pools map[topology.TargetID]*Pool
	// list has all pools; nil if it must be made again.
	list []*Pool
	// synced is the directory's change count at the last sync.
	synced uint64
}

// NewPools returns pools for the directory's targets, which Run opens.
func NewPools(d *directory.Directory, driver Driver, clock mono.Clock, log *slog.Logger) *Pools {
	return &Pools{Drain: DefaultDrain, directory: d, driver: driver, clock: clock, log: log, pools: map[topology.TargetID]*Pool{}}
}

// Get returns a target's pool.
func (p *Pools) Get(id topology.TargetID) (*Pool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[id]
	return pool, ok
}

// Load returns a target's load and health as seen by this VM, or false if the target has no pool.
func (p *Pools) Load(id topology.TargetID) (Load, bool) {
	pool, ok := p.Get(id)
	if !ok {
		return Load{}, false
	}
	return pool.Load(), true
}

// Starved returns the targets at which this VM gets fewer connections than its share.
func (p *Pools) Starved() []topology.TargetID {
	var ids []topology.TargetID
	for _, pool := range p.all() {
		if pool.Starved() {
			ids = append(ids, pool.target.ID)
		}
	}
	return ids
}

// LimitToShare limits this VM to its share of each target's connections for shareLimitTime.
func (p *Pools) LimitToShare(ids []topology.TargetID) {
	for _, id := range ids {
		if pool, ok := p.Get(id); ok {
			pool.LimitToShare()
		}
	}
}

// Run keeps the pools in line with the directory until ctx ends.
func (p *Pools) Run(ctx context.Context) {
	ticker := wait.NewTicker(ctx, tickPeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		p.sync()
		p.tick(n%warmEveryTicks == 0)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick ticks the pools that are in use. Most pools of a VM may be of targets that nobody asks it for.
func (p *Pools) tick(warm bool) {
	for _, pool := range p.all() {
		if !pool.resting.Load() {
			pool.Tick()
		}
		if warm {
			pool.Warm()
		}
	}
}

// all returns the pools. The slice must not be changed.
func (p *Pools) all() []*Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list == nil {
		p.list = slices.Collect(maps.Values(p.pools))
	}
	return p.list
}

// sync opens pools of new targets, and closes those of targets that were removed or
// have another address.
func (p *Pools) sync() {
	changes := p.directory.Changes()
	config := p.directory.Configuration()
	if config == nil || changes == p.synced {
		return
	}
	p.synced = changes
	present := map[topology.TargetID]bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = nil
	for _, t := range p.directory.Targets() {
		present[t.ID] = true
		share := p.shareOf(t, config)
		pool := p.pools[t.ID]
		if pool != nil && pool.target.Address != t.Address {
			pool.Close()
			pool = nil
		}
		if pool == nil {
			pool = NewPool(t.Target, share.Connections, p.driver, p.clock, p.log)
			pool.SlotMetrics = p.SlotMetrics
			pool.holderOf = func(c topology.CustomerID) topology.VMID { return p.directory.HolderFor(t.Target, c) }
			pool.hasKey, pool.metrics = p.hasKey, p.Metrics
			if p.Options.FairQueue {
				pool.enableFairQueue(func(c topology.CustomerID) float64 { return weightOf(p.directory, c) }, p.FairQueueMetrics)
			}
			p.pools[t.ID] = pool
		}
		pool.SetShare(share)
		pool.SetSlotShare(p.slotShareOf(t, share))
		pool.followDirectory(t, p.Drain)
	}
	for id, pool := range p.pools {
		if !present[id] {
			pool.Close()
			delete(p.pools, id)
			p.log.Info("event=target_gone", "target", id)
		}
	}
}

// shareOf returns this VM's share of a target's connections.
func (p *Pools) shareOf(t directory.Target, c *directory.Configuration) Share {
	holders := p.directory.Holders(t.Target)
	if !slices.Contains(holders, p.directory.Self().ID) {
		return Share{Connections: indirectShare, Indirect: true}
	}
	share := Share{Connections: placement.Share(len(holders), len(p.directory.VMs()), c.Connections[t.Group])}
	if p.Options.RetainConnections && c.Customers.Len() > 0 {
		share.retain(slices.Index(holders, p.directory.Self().ID), len(holders), c.Connections[t.Group])
	}
	return share
}

// hasKey reports whether any key opens sessions of a customer.
func (p *Pools) hasKey(customer topology.CustomerID) bool {
	config := p.directory.Configuration()
	return config == nil || config.Customers.HasKey(customer)
}
