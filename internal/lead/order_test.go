package lead

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a promotion of the former candidate after another VM has opened the row for another
// primary: the callers' writes there are acknowledged and rolled back.
func TestNoOrderForAGroupThatWasLostMeanwhile(t *testing.T) {
	for _, c := range []struct {
		name       string
		dutyHolder topology.VMID
		interleave func(*replacing)
		wantDuty   topology.VMID
	}{
		{"before the duty is read", "vm-1", func(x *replacing) { x.store.beforeList = x.loseAll }, "vm-2"},
		{"before the duty is read, which stays with this VM", "vm-1", func(x *replacing) { x.store.beforeList = x.loseGroup }, "vm-1"},
		{"while the duty is claimed", "vm-2", func(x *replacing) { x.store.afterPut, x.store.afterPutOf = x.loseGroup, dutyKey }, "vm-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newReplacing(t, c.dutyHolder)
			c.interleave(x)
			err := x.replaces.orderPromotion(t.Context(), "b")
			if x.orders.orders != 0 || !errors.Is(err, errSuperseded) {
				t.Errorf("%d orders for a group of another VM, error %v", x.orders.orders, err)
			}
			if holder := x.dutyHolder(); holder != c.wantDuty {
				t.Errorf("the duty is with %s", holder)
			}
		})
	}
}

// Guards against an order with a lower token than one that was sent before it: the VM is paused after it has read or claimed
// the duty, and another VM takes group and duty meanwhile.
func TestNoOrderByAReadingOfBeforeAPause(t *testing.T) {
	const pause = 2 * time.Second
	for _, c := range []struct {
		name       string
		dutyHolder topology.VMID
		interleave func(x *replacing, paused func())
	}{
		{"before the reading is applied", "vm-1", func(x *replacing, paused func()) { x.store.afterList = paused }},
		{"before the claim is answered", "", func(x *replacing, paused func()) { x.store.afterPut, x.store.afterPutOf = paused, dutyKey }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newReplacing(t, c.dutyHolder)
			c.interleave(x, func() {
				x.clock.pause(pause)
				x.loseAll()
			})
			err := x.replaces.orderPromotion(t.Context(), "b")
			if x.orders.orders != 0 || !errors.Is(err, errSuperseded) {
				t.Errorf("%d orders after a pause, error %v", x.orders.orders, err)
			}
		})
	}
}

// Guards against orders that are never sent, or by a reading of any age, while every answer of the store takes long.
func TestOrdersWhileTheStoreIsSlow(t *testing.T) {
	for answer, want := range map[time.Duration]int{maxDutyAge + 50*time.Millisecond: 1, lease.OrderLife - lease.MinOrderFlight + 50*time.Millisecond: 0} {
		x := newReplacing(t, "vm-1")
		var slow func()
		slow = func() {
			x.clock.pause(answer)
			x.store.afterList = slow
		}
		x.store.afterList = slow
		err := x.replaces.orderPromotion(t.Context(), "b")
		if x.orders.orders != want || want == 0 && !errors.Is(err, errNotConfirmed) {
			t.Errorf("%d orders with answers after %v, error %v", x.orders.orders, answer, err)
		}
	}
}

// Guards against orders that are never sent: nothing changes while the duty is read, claimed and waited for.
func TestAnOrderForAGroupThatIsStillCoordinated(t *testing.T) {
	for _, holder := range []topology.VMID{"vm-1", "vm-2"} {
		x := newReplacing(t, holder)
		if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil || x.orders.orders != 1 {
			t.Errorf("duty with %s: %d orders, error %v", holder, x.orders.orders, err)
		}
	}
}

// Guards against commands to another coordinator's targets: its primary would step down, and its replicas would stop
// receiving.
func TestNoCommandForAGroupThatWasLostMeanwhile(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(context.Context, *replacement)
		want []string
	}{
		{"a candidate is stopped", func(ctx context.Context, r *replacement) { _ = r.choose(ctx, stepDownResult{}) }, nil},
		{"the primary steps down", func(ctx context.Context, r *replacement) { r.stepDown(ctx, "primary_leaving") }, []string{"step down"}},
		{"a candidate resumes", func(ctx context.Context, r *replacement) {
			_, _ = r.Control.Status(ctx, topology.Target{})
			r.resumeReceiving(ctx, "b")
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newReplacing(t, "vm-1")
			x.control.hook = x.learnLoss
			c.run(t.Context(), x.replaces)
			if !slices.Equal(x.control.commands, c.want) {
				t.Fatalf("commands %v", x.control.commands)
			}
		})
	}
}

// Guards against a duty that is taken from its holder for groups that another VM has taken over meanwhile: the holder's next
// order waits until the duty has settled again.
func TestTheDutyIsNotClaimedForGroupsThatWereLostMeanwhile(t *testing.T) {
	x := newReplacing(t, "vm-9")
	l := x.replaces.Lead
	x.put(groupPrefix+"g", x.replaces.row.TakenBy("vm-9", 1, "vm-9", nil))
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	x.store.afterPutOf, x.store.afterPut = groupPrefix+"g", func() {
		taken := x.replaces.row.TakenBy("vm-9", 1, "vm-9", nil).TakenBy("vm-1", 1, "vm-1", nil)
		x.put(groupPrefix+"g", taken.TakenBy("vm-2", 1, "vm-2", nil))
	}
	l.takeOver(t.Context(), "vm-9", []topology.GroupID{"g"}, "silent")
	if holder := x.dutyHolder(); holder != "vm-9" {
		t.Fatalf("the duty is with %s", holder)
	}
}

// Guards against a VM that takes the duty from its present holder after a restoration of the store, since it held it before.
func TestTheDutyIsNotClaimedAgainFromItsNextHolder(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l := x.replaces.Lead
	x.memory.Restore(x.memory.Backup())
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	x.store.beforeList = func() { x.put(dutyKey, duty{Holder: "vm-2", Incarnation: 1, Fence: fencesPerEra}) }
	l.mu.Lock()
	l.renewDuty(t.Context())
	l.mu.Unlock()
	for l.isRenewingDuty() {
		time.Sleep(time.Millisecond)
	}
	if holder := x.dutyHolder(); holder != "vm-2" {
		t.Fatalf("the duty is with %s", holder)
	}
}

func (l *Lead) isRenewingDuty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewingDuty
}

// Guards against rights for a replaced primary: a coordinator that learns from another VM that it has a successor, which it
// confirms, gives promises until it reads the store.
func TestACoordinatorThatLearnsOfItsSuccessorStops(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l, row := x.replaces.Lead, x.replaces.row.Resumed()
	x.put(groupPrefix+"g", row)
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	promises := func() bool { return l.coordinator.Promise("g", "vm-3", 1, row.Version, l.Clock.Now()) }
	if !promises() {
		t.Fatal("no promise before")
	}
	l.handleNotice(&message{From: "vm-2", Groups: []groupEntry{{Group: "g", Row: row.TakenBy("vm-2", 1, "vm-2", nil)}}})
	if promises() {
		t.Fatal("a promise after its successor's row was adopted")
	}
}

// Guards against an order before that of a former holder that is still in flight: this VM has not read that it lost the duty,
// and the former holder gives it back.
func TestADutyThatReturnsSettlesAgain(t *testing.T) {
	x := newReplacing(t, "vm-1")
	x.put(dutyKey, duty{Holder: "vm-2", Incarnation: 1, Fence: 2})
	x.put(dutyKey, duty{Holder: "vm-1", Incarnation: 1, Fence: 3})
	begun := x.clock.Now()
	if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil || x.orders.orders != 1 {
		t.Fatalf("%d orders, error %v", x.orders.orders, err)
	}
	if took := x.clock.Now().Sub(begun); took < lease.OrderLife {
		t.Fatalf("ordered after %v", took)
	}
}

// Guards against a coordinator that crashes as the registration of a target expires while the target answers.
func TestAnAnswerOfATargetThatIsNotRegisteredAnyMore(t *testing.T) {
	x := newReplacing(t, "vm-1")
	e := x.replaces.newEvidence([]targetStatus{{target: topology.Target{ID: "gone", Group: "g"}}})
	if i, err := e.Choose(); !errors.Is(err, lease.ErrNoReplica) {
		t.Fatalf("answer %d, error %v", i, err)
	}
}
