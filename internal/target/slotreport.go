package target

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// SlotDemand returns the demand at the targets where something waits or waited a short time ago, or where this VM keeps
// to a coordinator's share.
func (p *Pools) SlotDemand(coordinator topology.VMID) []slotshare.Demand {
	var all []slotshare.Demand
	for _, pool := range p.all() {
		if demand, ok := pool.slotDemand(coordinator); ok {
			all = append(all, demand)
		}
	}
	return all
}

// SetSlotShares applies a coordinator's shares, which answer the report of the given number, sent at the given time.
func (p *Pools) SetSlotShares(coordinator topology.VMID, sequence uint64, shares []slotshare.Share, sent mono.Time) {
	for _, share := range shares {
		if pool, ok := p.Get(share.Target); ok {
			pool.giveSlots(coordinator, sequence, share, sent)
		}
	}
}

func (p *Pool) slotDemand(coordinator topology.VMID) (slotshare.Demand, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.slots == nil || !p.slots.limit.MustReport(p.slots.waitedAt, now) {
		return slotshare.Demand{}, false
	}
	demand := slotshare.Demand{Target: p.target.ID, InFlight: p.inFlight(), Applied: p.slots.limit.Applied(coordinator, now)}
	for priority, n := range p.slotsWaiting() {
		if n > 0 {
			demand.Waiting = append(demand.Waiting, slotshare.Waiting{Priority: priority, Count: n})
		}
	}
	slices.SortFunc(demand.Waiting, func(a, b slotshare.Waiting) int { return a.Priority - b.Priority })
	return demand, true
}

// slotsWaiting returns the number of waiting requests and refused statements by priority, including priorities for
// which none wait any more.
func (p *Pool) slotsWaiting() map[int]int {
	waiting := p.slots.waitingBy
	for priority := range waiting {
		waiting[priority] = 0
	}
	count := func(r *waitlist.Request) { waiting[r.Priority]++ }
	p.waiting.Each(count)
	p.slots.refused.Each(count)
	return waiting
}

func (p *Pool) giveSlots(coordinator topology.VMID, sequence uint64, s slotshare.Share, sent mono.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots != nil && p.slots.limit.Give(coordinator, sequence, s, sent, p.clock.Now()) {
		p.grow()
	}
}
