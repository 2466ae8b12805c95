package quota

import (
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Allocator collects the VMs' reports and divides the limits among them.
type Allocator struct {
	// collectingSince is when the first report arrived, or 0 if none has.
	collectingSince mono.Time
	// reported is when each VM last reported.
	reported  map[topology.VMID]mono.Time
	customers map[Tag]*customerState
	limits    Limits
	lastStep  mono.Time
	// vms is how many VMs there are, as far as known.
	vms int
}

// customerState is the state of one customer's limit.
type customerState struct {
	// level is how many operations were recently admitted beyond the limit's rate, like the level of a leaky
	// bucket.
	level float64
	near  bool
	// demand is the demand at each VM.
	demand map[topology.VMID]*demand
}

// demand is the rate of a customer's operations that are offered to a VM, in operations per second, averaged over
// about a second.
type demand struct {
	rate    float64
	updated mono.Time
	// share is the rate that was last sent to the VM, which may use it until shareUntil.
	share      float64
	shareUntil mono.Time
	// silent is set once the VM has not reported for a while and what it may have admitted is charged.
	silent bool
}

const (
	// nearFrom and farBelow are the fractions of a limit's room above which a customer counts as near its
	// limit, and at or below which it no longer does. The rest of the room is for operations that are admitted
	// before all VMs know that the customer is near its limit.
	nearFrom = 0.25
	farBelow = 0.05
	// farDemand is the fraction of the limit's rate below which the demand must be as well for a customer no
	// longer to count as near its limit.
	farDemand = 0.9
	// averagingTime is the time over which demand is averaged.
	averagingTime = time.Second
	// newcomerPart is the fraction of a limit that is left for VMs that have just begun to get a customer's
	// operations.
	newcomerPart = 0.05
	// steadyLevel is the fraction of the room at which the level of a customer at its limit settles. The rate
	// that is shared out differs from the limit's rate by gain times the distance from that level per window,
	// within minSharedPart and maxSharedPart of the limit's rate.
	steadyLevel   = 0.4
	gain          = 14
	minSharedPart = 0.5
	maxSharedPart = 1.6
	// farSharedPart is the fraction of the limit that is shared out while its customer is not near it. VMs keep
	// to these shares only while they get no answers from the allocator.
	farSharedPart = 0.8
)

// NewAllocator returns an allocator that has collected no reports yet.
func NewAllocator() *Allocator { return &Allocator{} }

// Reset discards all state. It is called when another VM collects the reports.
func (a *Allocator) Reset() { *a = Allocator{} }

// SetVMs sets the number of VMs.
func (a *Allocator) SetVMs(n int) { a.vms = n }

// Collects reports whether a report has been collected since the start or the last Reset.
func (a *Allocator) Collects() bool { return a.collectingSince != 0 }

// RecordReport processes a VM's report, and returns the customers that have come near their limits.
func (a *Allocator) RecordReport(vm topology.VMID, usage []Usage, limits Limits, now mono.Time) []Tag {
	if a.collectingSince == 0 {
		a.collectingSince, a.lastStep = now, now
		a.reported = map[topology.VMID]mono.Time{}
		a.customers = map[Tag]*customerState{}
	}
	a.limits = limits
	a.reported[vm] = now
	for _, u := range usage {
		l, ok := limits[u.Customer]
		if !ok {
			continue
		}
		c := a.customer(u.Customer)
		if u.Near && now.Sub(a.collectingSince) < shareLifetime {
			c.assumeNear(l)
		}
		c.level += float64(u.Admitted)
		c.addDemand(vm, u.Offered, now)
	}
	return a.step(now)
}

func (a *Allocator) customer(tag Tag) *customerState {
	c := a.customers[tag]
	if c == nil {
		c = &customerState{demand: map[topology.VMID]*demand{}}
		a.customers[tag] = c
	}
	return c
}

// assumeNear continues a limit that an earlier allocator has tracked as near: it assumes that the customer has
// used its room.
func (c *customerState) assumeNear(l Limit) {
	c.near, c.level = true, max(c.level, l.Room)
}

func (c *customerState) addDemand(vm topology.VMID, offered uint32, now mono.Time) {
	d := c.demand[vm]
	if d == nil {
		d = &demand{updated: now}
		c.demand[vm] = d
	}
	d.decay(now)
	d.rate += float64(offered) / averagingTime.Seconds()
}

func (d *demand) decay(now mono.Time) {
	d.rate *= math.Exp(-now.Sub(d.updated).Seconds() / averagingTime.Seconds())
	d.updated = now
}

// stepPeriod is the least time between two updates of the levels.
const stepPeriod = 50 * time.Millisecond

// step updates all levels, and returns the customers that have come near their limits.
func (a *Allocator) step(now mono.Time) []Tag {
	passed := now.Sub(a.lastStep)
	if passed < stepPeriod {
		return nil
	}
	a.lastStep = now
	var near []Tag
	silent := a.silentPart(now)
	for tag, c := range a.customers {
		l, ok := a.limits[tag]
		if !ok {
			delete(a.customers, tag)
			continue
		}
		a.decay(c, now)
		drain := l.Rate - max(l.Rate*silent, a.silentRate(c, now))
		c.level = max(0, c.level-drain*passed.Seconds())
		if a.updateNear(c, l) {
			near = append(near, tag)
		}
	}
	return near
}

// decay updates the averages of demand. The last demand of a silent VM counts in full for as long as the VM's
// share is valid, since the VM may be admitting it.
func (a *Allocator) decay(c *customerState, now mono.Time) {
	for vm, d := range c.demand {
		silent := now.Sub(a.reported[vm])
		switch {
		case silent > shareLifetime || d.rate < minDemand:
			delete(c.demand, vm)
		case silent > silentAfter:
			c.chargeSilence(d)
			d.updated = now
		default:
			d.silent = false
			d.decay(now)
		}
	}
}

// chargeSilence adds to the level what a VM may have admitted before it was found to be silent.
func (c *customerState) chargeSilence(d *demand) {
	if d.silent {
		return
	}
	d.silent = true
	c.level += max(d.rate, d.share) * silentAfter.Seconds()
}

// minDemand is the demand in operations per second below which a VM counts as having none.
const minDemand = 0.01

// silentPart returns the fraction of a limit that is left to VMs that are silent or have not reported yet: each
// may be admitting an equal part of the limit.
func (a *Allocator) silentPart(now mono.Time) float64 {
	if a.vms == 0 {
		return 0
	}
	reported := 0
	for _, at := range a.reported {
		if now.Sub(at) <= silentAfter {
			reported++
		}
	}
	return float64(max(0, a.vms-reported)) / float64(a.vms)
}

// silentRate returns how many operations per second the silent VMs may be admitting.
func (a *Allocator) silentRate(c *customerState, now mono.Time) float64 {
	rate := 0.0
	for vm, d := range c.demand {
		if now.Sub(a.reported[vm]) > silentAfter {
			rate += max(d.rate, d.share)
		}
	}
	return rate
}

// updateNear updates whether the customer is near its limit, and reports whether it has just come near it.
func (a *Allocator) updateNear(c *customerState, l Limit) bool {
	if !c.near {
		c.near = c.level > nearFrom*l.Room
		return c.near
	}
	if c.level <= farBelow*l.Room && c.totalDemand() < farDemand*l.Rate {
		c.near = false
	}
	return false
}

func (c *customerState) totalDemand() float64 {
	sum := 0.0
	for _, d := range c.demand {
		sum += d.rate
	}
	return sum
}

// Answer returns the answer to a VM's report.
func (a *Allocator) Answer(vm topology.VMID, usage []Usage, now mono.Time) *Answer {
	answer := &Answer{}
	for tag, c := range a.customers {
		if c.near {
			answer.Near = append(answer.Near, tag)
			answer.Shares = append(answer.Shares, a.share(vm, tag, c, now))
		}
	}
	for _, u := range usage {
		if c := a.customers[u.Customer]; c != nil && !c.near {
			answer.Shares = append(answer.Shares, a.share(vm, u.Customer, c, now))
		}
	}
	return answer
}

// share sets and returns the VM's share of a limit, in proportion to its demand. All valid shares together are
// at most the shared rate: if demand moves from one VM to another, the second VM's share grows as the first
// VM's share ends.
func (a *Allocator) share(vm topology.VMID, tag Tag, c *customerState, now mono.Time) Share {
	s := Share{Customer: tag}
	d := c.demand[vm]
	if d == nil {
		return s
	}
	total, others := 0.0, 0.0
	for id, o := range c.demand {
		total += o.rate
		if id != vm && now.Before(o.shareUntil) {
			others += o.share
		}
	}
	rate := c.sharedRate(a.limits[tag])
	d.share = min((1-newcomerPart)*rate*d.rate/total, max(0, rate-others))
	d.shareUntil = now.Add(shareLifetime)
	s.Rate = uint32(d.share * time.Minute.Seconds())
	return s
}

// sharedRate returns the rate in operations per second that is shared out among the VMs.
func (c *customerState) sharedRate(l Limit) float64 {
	if !c.near {
		return farSharedPart * l.Rate
	}
	rate := l.Rate + gain*(steadyLevel*l.Room-c.level)/l.Window.Seconds()
	return min(max(rate, minSharedPart*l.Rate), maxSharedPart*l.Rate)
}
