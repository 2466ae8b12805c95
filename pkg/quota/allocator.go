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
	// resumed is when the allocator last continued after a pause.
	resumed mono.Time
	// vms is how many VMs there are, as far as known.
	vms int
	// missing are the VMs that have reported within shareLifetime, but not in the last silentAfter, and for how long
	// they have been silent.
	missing map[topology.VMID]time.Duration
}

// customerState is the state of one customer's limit.
type customerState struct {
	// level is how many operations were recently admitted beyond the limit's rate, like the level of a leaky
	// bucket.
	level float64
	near  bool
	// arrears is how many operations more than their fractions of the limit the VMs that have joined had admitted
	// since they got no more answers. It is added to the level if it is positive.
	arrears float64
	// demand is the demand at each VM.
	demand map[topology.VMID]*demand
	// carried is the sum of the fractions that VMs have carried over in their first reports.
	carried float64
	// budget is the fraction of the limit that is left to the VMs that report.
	budget float64
}

// demand is the rate of a customer's operations that are offered to a VM, in operations per second, averaged over
// about a second.
type demand struct {
	rate    float64
	updated mono.Time
	// share is the rate that was last sent to the VM, which may use it until shareUntil.
	share      float64
	shareUntil mono.Time
	// steady is the demand averaged over fractionTime, at steadyAt.
	steady   float64
	steadyAt mono.Time
	// fraction is the VM's fraction of the demand that was last sent to it, at fractionAt. The VM lets it decay.
	fraction   float64
	fractionAt mono.Time
	// counted is how many operations the VM's reports without an answer contained.
	counted uint32
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
	steadyLevel   = 0.3
	gain          = 14
	minSharedPart = 0.5
	maxSharedPart = 1.6
	// farSharedPart is the fraction of the limit that is shared out while its customer is not near it. VMs keep
	// to these shares only while they get no answers from the allocator.
	farSharedPart = 0.8
	// minRoomPart is the least part of a limit's room that an allocator uses, however few VMs report to it: a few
	// operations in a row don't make a customer near its limit.
	minRoomPart = 0.5
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
	joined := a.joins(vm, now)
	a.reported[vm] = now
	for _, u := range usage {
		l, ok := limits[u.Customer]
		if !ok {
			continue
		}
		c := a.customer(u.Customer)
		if joined {
			a.carryOver(c, l, vm, u, now)
		}
		c.count(u, l, c.of(vm, now))
		c.addDemand(vm, u.Offered, now)
	}
	return a.step(joined, now)
}

func (a *Allocator) customer(tag Tag) *customerState {
	c := a.customers[tag]
	if c == nil {
		c = &customerState{demand: map[topology.VMID]*demand{}, budget: 1}
		a.customers[tag] = c
	}
	return c
}

// joins reports whether a VM that reports now has not reported before, or has been missing.
func (a *Allocator) joins(vm topology.VMID, now mono.Time) bool {
	at, known := a.reported[vm]
	return !known || now.Sub(at) > silentAfter
}

func (c *customerState) of(vm topology.VMID, now mono.Time) *demand {
	d := c.demand[vm]
	if d == nil {
		d = &demand{updated: now, steadyAt: now}
		c.demand[vm] = d
	}
	return d
}

// carryOver continues with the fraction and the demand that a VM has had under another allocator. If the customer was
// near its limit there, it counts as having used the VM's part of the room. A VM without a fraction has an equal part.
func (a *Allocator) carryOver(c *customerState, l Limit, vm topology.VMID, u Usage, now mono.Time) {
	fraction := float64(u.Fraction) / fractionUnits
	if u.Near && fraction > 0 {
		c.level += l.Room * fraction
	} else if u.Near {
		c.level += l.Room / float64(max(1, a.vms))
	}
	if u.Fraction == 0 && u.Demand == 0 {
		return
	}
	d := c.of(vm, now)
	d.fraction, d.fractionAt = fraction, now
	d.steady, d.steadyAt = float64(u.Demand)/time.Minute.Seconds(), now
	d.rate, d.updated = max(d.rate, d.steady), now
	c.carried += fraction
}

// count adds what a VM has admitted to the level. What it admitted while it got no answers is set off against its
// fraction of the limit for that time, unless the window in which it counts is over. The reports of a VM that gets
// no answers are cumulative.
func (c *customerState) count(u Usage, l Limit, d *demand) {
	since := time.Duration(u.Since) * time.Millisecond
	switch counted := d.counted; {
	case since == 0:
		c.level += float64(u.Admitted)
		d.counted = 0
	case counted > 0:
		c.level += float64(u.Admitted) - float64(min(counted, u.Admitted))
		d.counted = max(counted, u.Admitted)
	case since < l.Window:
		d.counted = u.Admitted
		c.arrears += float64(u.Admitted) - float64(u.Fraction)/fractionUnits*l.Rate*since.Seconds()
		c.level += max(0, c.arrears)
		c.arrears = min(0, c.arrears)
	}
}

func (c *customerState) addDemand(vm topology.VMID, offered uint32, now mono.Time) {
	if offered == 0 {
		return
	}
	d := c.of(vm, now)
	d.decay(now)
	d.rate += float64(offered) / averagingTime.Seconds()
	d.steady = d.steadyNow(now) + float64(offered)/fractionTime.Seconds()
	d.steadyAt = now
}

func (d *demand) decay(now mono.Time) {
	d.rate = decayed(d.rate, now.Sub(d.updated), averagingTime)
	d.updated = now
}

func (d *demand) steadyNow(now mono.Time) float64 {
	return decayed(d.steady, now.Sub(d.steadyAt), fractionTime)
}

func (d *demand) fractionNow(now mono.Time) float64 {
	return decayed(d.fraction, now.Sub(d.fractionAt), fractionTime)
}

// resumeTime is the time after a pause within which the reports that waited have been processed.
const resumeTime = 300 * time.Millisecond

// stepPeriod is the least time between two updates of the levels.
const stepPeriod = 50 * time.Millisecond

// step updates all levels, and returns the customers that have come near their limits. A VM that has joined changes
// the budgets at once.
func (a *Allocator) step(joined bool, now mono.Time) []Tag {
	passed := now.Sub(a.lastStep)
	if passed < stepPeriod && !joined {
		return nil
	}
	a.lastStep = now
	if passed > silentAfter {
		a.resumed = now
	}
	floor := a.levelFloor(now)
	a.findMissing(now)
	var near []Tag
	for tag, c := range a.customers {
		l, ok := a.limits[tag]
		if !ok {
			delete(a.customers, tag)
			continue
		}
		a.decay(c, l, now)
		// The budget of the time that has passed is the one before: after a pause all VMs count as missing.
		c.level = max(floor, c.level-c.budget*l.Rate*passed.Seconds())
		c.budget = max(0, 1-a.reserved(c, l, now))
		if a.updateNear(c, l) {
			near = append(near, tag)
		}
	}
	return near
}

// levelFloor returns the lowest level. After a pause the reports of the whole pause arrive together, and the levels
// have been lowered for that time before.
func (a *Allocator) levelFloor(now mono.Time) float64 {
	if a.resumed != 0 && now.Sub(a.resumed) < resumeTime {
		return math.Inf(-1)
	}
	return 0
}

// findMissing finds the VMs that no longer report. One that has been silent for longer than shareLifetime counts as
// one that has never reported: if it is gone for good, the number of VMs falls and nothing is left to it any more.
func (a *Allocator) findMissing(now mono.Time) {
	a.missing = map[topology.VMID]time.Duration{}
	for vm, at := range a.reported {
		switch silent := now.Sub(at); {
		case silent > shareLifetime:
			delete(a.reported, vm)
		case silent > silentAfter:
			a.missing[vm] = silent
		}
	}
}

// decay updates the averages of demand. What is known of a missing VM stays as it is until its share has ended.
func (a *Allocator) decay(c *customerState, l Limit, now mono.Time) {
	for vm, d := range c.demand {
		silent := now.Sub(a.reported[vm])
		switch {
		case silent > shareLifetime || d.rate < minDemand && d.steadyNow(now) < minDemand:
			delete(c.demand, vm)
		case silent > silentAfter:
			c.chargeSilence(d, l, now)
		default:
			d.silent = false
			d.decay(now)
		}
	}
}

// chargeSilence adds to the level what a VM may have admitted beyond its fraction of the limit before it was found
// to be silent: its share if the customer is near its limit, and its demand otherwise.
func (c *customerState) chargeSilence(d *demand, l Limit, now mono.Time) {
	if d.silent {
		return
	}
	d.silent = true
	// Nothing is known of the VM after its last report.
	d.fraction, d.fractionAt = d.fractionNow(now), now
	admitting := d.rate
	if c.near {
		admitting = d.share
	}
	c.level += max(0, admitting-d.fraction*l.Rate) * silentAfter.Seconds()
}

// reserved returns the fraction of a limit that is left to the VMs that don't report: they may be admitting with a
// share, or report to another allocator. A VM that has reported lately keeps the fraction that it was sent, and
// one that has been missing for longer than shareLifetime is left an equal part. In the time after its start the
// allocator leaves to the others what the VMs that have reported did not carry over.
func (a *Allocator) reserved(c *customerState, l Limit, now mono.Time) float64 {
	part := 0.0
	for vm := range a.missing {
		if d := c.demand[vm]; d != nil {
			part += c.reservedFor(d, l)
		}
	}
	others := max(0, a.vms-len(a.reported))
	if others > 0 && c.carried > 0 && now.Sub(a.collectingSince) < shareLifetime {
		part += max(0, 1-c.carried)
		others = 0
	}
	if a.vms > 0 {
		part += float64(others) / float64(a.vms)
	}
	return part
}

// reservedFor returns the fraction of the limit that is left to a missing VM.
func (c *customerState) reservedFor(d *demand, l Limit) float64 {
	if c.near {
		return max(d.fraction, d.share/l.Rate)
	}
	return d.fraction
}

// minDemand is the demand in operations per second below which a VM counts as having none.
const minDemand = 0.01

// updateNear updates whether the customer is near its limit, and reports whether it has just come near it.
func (a *Allocator) updateNear(c *customerState, l Limit) bool {
	room := c.room(l)
	if !c.near {
		c.near = c.level > nearFrom*room
		return c.near
	}
	if c.level <= farBelow*room && a.reportedDemand(c) < farDemand*l.Rate*c.budget {
		c.near = false
	}
	return false
}

// room returns the part of the limit's room that may be used here.
func (c *customerState) room(l Limit) float64 { return l.Room * max(c.budget, minRoomPart) }

// reportedDemand returns the demand at the VMs that report, in operations per second.
func (a *Allocator) reportedDemand(c *customerState) float64 {
	sum := 0.0
	for vm, d := range c.demand {
		if a.missing[vm] == 0 {
			sum += d.rate
		}
	}
	return sum
}
