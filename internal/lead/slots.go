package lead

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// SlotHolder is implemented by a Health whose VM shares the slots of the targets that it holds with other holders.
type SlotHolder interface {
	// SlotDemand returns the demand at the targets where something waits or waited a short time ago, or where this VM
	// keeps to a coordinator's share. Applied refers to the shares of the given coordinator.
	SlotDemand(coordinator topology.VMID) []slotshare.Demand
	// SetSlotShares applies the shares with which a coordinator answered a renewal that was sent at the given time.
	SetSlotShares(coordinator topology.VMID, sequence uint64, shares []slotshare.Share, sent mono.Time)
}

// slotDivision is a coordinator's division of the slots of targets.
type slotDivision struct {
	// since is when this VM was first seen to coordinate each of its groups.
	since map[topology.GroupID]mono.Time
	// dividers are those of the targets where something waited a short time ago.
	dividers map[topology.TargetID]*slotshare.Divider
}

// reportSlots adds to a renewal the demand at the targets whose groups the receiver coordinates.
func (l *Lead) reportSlots(to topology.VMID, m *message) {
	holder, ok := l.Health.(SlotHolder)
	if !ok {
		return
	}
	for _, demand := range holder.SlotDemand(to) {
		t, known := l.Directory.Target(demand.Target)
		if row := l.holder.Row(t.Group); known && row != nil && row.Coordinator == to {
			m.SlotDemand = append(m.SlotDemand, demand)
		}
	}
}

// applySlots applies the shares in an answer to a renewal, of targets whose groups the sender coordinates.
func (l *Lead) applySlots(m *message, sent mono.Time) {
	holder, ok := l.Health.(SlotHolder)
	if !ok {
		return
	}
	shares := slices.DeleteFunc(m.SlotShares, func(s slotshare.Share) bool {
		t, _ := l.Directory.Target(s.Target)
		row := l.holder.Row(t.Group)
		return row == nil || row.Coordinator != m.From
	})
	if len(shares) > 0 {
		holder.SetSlotShares(m.From, m.Sequence, shares, sent)
	}
}

// noteCoordinated records since when this VM coordinates its groups, and drops the dividers that are not needed.
func (l *Lead) noteCoordinated(now mono.Time) {
	groups := l.coordinator.Groups()
	since := make(map[topology.GroupID]mono.Time, len(groups))
	for _, group := range groups {
		at, ok := l.slots.since[group]
		if !ok {
			at = now
		}
		since[group] = at
	}
	l.slots.since = since
	for id, divider := range l.slots.dividers {
		t, ok := l.Directory.Target(id)
		if _, coordinated := since[t.Group]; !ok || !coordinated || divider.Expired(now) {
			delete(l.slots.dividers, id)
		}
	}
}

// divideSlots answers a holder's demand, and gives it its shares of the other targets where something waits.
func (l *Lead) divideSlots(m, answer *message, now mono.Time) {
	reported := map[topology.TargetID]bool{}
	for _, demand := range m.SlotDemand {
		if divider := l.dividerOf(demand.Target, m.From, now); divider != nil {
			reported[demand.Target] = true
			divider.Report(m.From, m.Incarnation, m.Sequence, demand, now)
		}
	}
	for id := range l.slots.dividers {
		divider := l.dividerOf(id, m.From, now)
		if divider == nil {
			continue
		}
		if !reported[id] {
			divider.Report(m.From, m.Incarnation, m.Sequence, slotshare.Demand{Target: id}, now)
		}
		if share, ok := divider.Answer(m.From, now); ok {
			answer.SlotShares = append(answer.SlotShares, share)
		}
	}
}

// dividerOf returns the divider of a target that a VM holds, or nil if the VM doesn't hold it, as far as this VM knows,
// or this VM doesn't coordinate its group.
func (l *Lead) dividerOf(id topology.TargetID, holder topology.VMID, now mono.Time) *slotshare.Divider {
	t, ok := l.Directory.Target(id)
	since, coordinated := l.slots.since[t.Group]
	if !ok || !coordinated || t.Slots <= 0 {
		return nil
	}
	holders := l.Directory.Holders(t.Target)
	if !slices.Contains(holders, holder) {
		return nil
	}
	divider := l.slots.dividers[id]
	if divider == nil {
		divider = slotshare.NewDivider(since)
		l.slots.dividers[id] = divider
		l.Log.Info("event=slots_divided", "target", id, "slots", t.Slots, "holders", len(holders), "first_waiting", holder)
	}
	divider.Configure(t.Slots, holders, now)
	return divider
}
