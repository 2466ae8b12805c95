package quota

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

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
	others := 0.0
	for id, o := range c.demand {
		if id != vm && a.missing[id] == 0 && now.Before(o.shareUntil) {
			others += o.share
		}
	}
	rate := c.sharedRate(a.limits[tag])
	if total := a.reportedDemand(c); total > 0 {
		d.share = min((1-newcomerPart)*rate*d.rate/total, max(0, rate-others))
	}
	d.shareUntil = now.Add(shareLifetime)
	s.Rate = uint32(d.share * time.Minute.Seconds())
	s.Fraction = a.fraction(vm, c, now)
	return s
}

// fraction sets and returns the VM's fraction of the demand. The fractions of all VMs that report add up to at most
// the budget.
func (a *Allocator) fraction(vm topology.VMID, c *customerState, now mono.Time) uint16 {
	d, total, others := c.demand[vm], 0.0, 0.0
	for id, o := range c.demand {
		if a.missing[id] != 0 {
			continue
		}
		total += o.steadyNow(now)
		if id != vm {
			others += o.fractionNow(now)
		}
	}
	if total <= 0 {
		return 0
	}
	units := uint16(min(fractionPart*c.budget*d.steadyNow(now)/total, max(0, c.budget-others)) * fractionUnits)
	d.fraction, d.fractionAt = float64(units)/fractionUnits, now
	return units
}

// fractionPart is the part of the demand that fractions stand for. The rest is for VMs whose demand grows before the
// fractions of the others have decayed.
const fractionPart = 0.9

// sharedRate returns the rate in operations per second that is shared out among the VMs.
func (c *customerState) sharedRate(l Limit) float64 {
	rate := c.budget * l.Rate
	if !c.near {
		return farSharedPart * rate
	}
	wanted := rate + gain*(steadyLevel*c.room(l)-c.level)/l.Window.Seconds()
	return min(max(wanted, minSharedPart*rate), maxSharedPart*rate)
}
