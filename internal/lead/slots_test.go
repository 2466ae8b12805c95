package lead

import (
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fakeSlots is the health of a VM that holds target 0; the given number of requests wait there.
type fakeSlots struct {
	fakeHealth
	limit   *slotshare.Limit
	waiting int
}

func (f *fakeSlots) SlotDemand(coordinator topology.VMID) []slotshare.Demand {
	now := f.clock.Now()
	if f.waiting == 0 && !f.limit.MustReport(0, now) {
		return nil
	}
	return []slotshare.Demand{{
		Target: targetNumber(0), Applied: f.limit.Applied(coordinator, now), Waiting: []slotshare.Waiting{{Priority: 1, Count: f.waiting}},
	}}
}

func (f *fakeSlots) SetSlotShares(coordinator topology.VMID, sequence uint64, shares []slotshare.Share, sent mono.Time) {
	for _, s := range shares {
		f.limit.Give(coordinator, sequence, s, sent, f.clock.Now())
	}
}

// newHolders returns a coordinator and another VM that hold a target of 8 slots, with their fake slots.
func newHolders() (coordinator, vm *Lead, slots [2]*fakeSlots, clock *mono.Manual) {
	coordinator, vm, clock = newPair(1)
	for i, l := range []*Lead{coordinator, vm} {
		slots[i] = &fakeSlots{fakeHealth: fakeHealth{clock: clock}, limit: &slotshare.Limit{}}
		slots[i].limit.Configure(8, 2)
		l.Health, l.Log = slots[i], slog.New(slog.DiscardHandler)
		l.Directory.SetTarget(directory.Target{Target: topology.Target{ID: targetNumber(0), Group: groupNumber(0)}, ClaimsPrimary: true, Slots: 8})
		l.Directory.SetConfiguration(&directory.Configuration{Connections: map[topology.GroupID]int{groupNumber(0): 10}})
		l.Directory.SetVMs([]topology.VM{{ID: "vm-1", Incarnation: 1}, {ID: "vm-2", Incarnation: 1}})
	}
	return coordinator, vm, slots, clock
}

// exchangeSlots passes a renewal of each VM to the coordinator, and the answer back, as datagrams. It returns the larger
// of their sizes.
func exchangeSlots(t *testing.T, sequence uint64, coordinator *Lead, vms ...*Lead) int {
	t.Helper()
	now, size := coordinator.Clock.Now(), 0
	coordinator.noteCoordinated(now)
	pass := func(m *message) *message {
		raw, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		size = max(size, len(raw))
		back, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		return back
	}
	for _, vm := range vms {
		m := &message{Kind: renewal, From: vm.self.ID, Incarnation: 1, Sequence: sequence}
		vm.reportSlots(coordinator.self.ID, m)
		answer := &message{Kind: promise, From: coordinator.self.ID, Incarnation: 1, Sequence: sequence}
		coordinator.divideSlots(pass(m), answer, now)
		vm.applySlots(pass(answer), now)
	}
	return size
}

// Guards against allowances that stay with a VM where nothing waits, shares of a coordinator that has just taken over
// and doesn't know those of the former one, shares that a VM keeps when it hears nothing, and dividers that stay for
// targets where nothing waits any more.
func TestACoordinatorDividesSlotsByDemand(t *testing.T) {
	coordinator, vm, slots, clock := newHolders()
	slots[1].waiting = 30
	started, sequence := clock.T, uint64(0)
	for ; clock.T <= started.Add(3*time.Second); clock.T = clock.T.Add(renewPeriod) {
		sequence++
		size := exchangeSlots(t, sequence, coordinator, coordinator, vm)
		if size > 110 {
			t.Fatalf("a message of %d bytes", size)
		}
		if slots[1].limit.Shared(clock.T) && clock.T.Sub(started) <= slotshare.CutLifetime {
			t.Fatal("a share of a coordinator that has just taken over")
		}
	}
	if got := [2]int{slots[0].limit.Given(clock.T), slots[1].limit.Given(clock.T)}; got != [2]int{1, 15} {
		t.Fatalf("allowances of %v", got)
	}
	clock.T = clock.T.Add(slotshare.CutLifetime) // All messages are lost.
	if got := [2]int{slots[0].limit.Given(clock.T), slots[1].limit.Given(clock.T)}; got != [2]int{8, 8} {
		t.Fatalf("allowances of %v without messages", got)
	}
	slots[1].waiting = 0
	clock.T = clock.T.Add(3 * time.Second)
	exchangeSlots(t, sequence+1, coordinator, coordinator, vm)
	if len(coordinator.slots.dividers) != 0 {
		t.Fatal("a divider without demand")
	}
}

// Guards against a VM that divides the slots of a target whose group another one coordinates, for a VM that doesn't
// hold the target, or for a target that it doesn't know.
func TestOnlyTheCoordinatorDividesSlotsAmongHolders(t *testing.T) {
	coordinator, _, _, clock := newHolders()
	demand := func(id topology.TargetID) []slotshare.Demand {
		return []slotshare.Demand{{Target: id, Waiting: []slotshare.Waiting{{Priority: 1, Count: 3}}}}
	}
	divided := func(m *message) bool {
		clear(coordinator.slots.dividers)
		coordinator.divideSlots(m, &message{}, clock.Now())
		return len(coordinator.slots.dividers) > 0
	}
	if divided(&message{From: "vm-2", Sequence: 1, SlotDemand: demand(targetNumber(0))}) {
		t.Error("divided without coordinating the group")
	}
	coordinator.noteCoordinated(clock.Now())
	if divided(&message{From: "vm-9", Sequence: 1, SlotDemand: demand(targetNumber(0))}) {
		t.Error("divided for a VM that doesn't hold the target")
	}
	if divided(&message{From: "vm-2", Sequence: 1, SlotDemand: demand("unknown")}) {
		t.Error("divided for an unknown target")
	}
	if !divided(&message{From: "vm-2", Sequence: 1, SlotDemand: demand(targetNumber(0))}) {
		t.Error("not divided")
	}
}
