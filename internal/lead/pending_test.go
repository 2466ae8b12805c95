package lead

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var errNoAnswer = errors.New("no answer")

// hookedPromotions runs a hook during each order and returns its error.
type hookedPromotions struct {
	orders []Promotion
	hook   func() error
}

func (p *hookedPromotions) Promote(_ context.Context, order Promotion) error {
	p.orders = append(p.orders, order)
	return p.hook()
}

// ordering returns a VM that holds the duty and replaces a primary, whose orders run the hook.
func ordering(t *testing.T, hook func() error) (*replacing, *hookedPromotions) {
	t.Helper()
	x := newReplacing(t, "vm-1")
	p := &hookedPromotions{hook: hook}
	x.replaces.Promotions = p
	return x, p
}

func (x *replacing) dutyRow() duty {
	x.t.Helper()
	l := x.replaces.Lead
	if err := l.readDecisions(x.t.Context()); err != nil {
		x.t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duty.duty
}

var successorVM = topology.VM{ID: "vm-2", Incarnation: 1}

// Guards against a next holder that orders before an order that may still arrive, and against one that waits though none may.
func TestADutyIsGivenQuietlyOnlyWithoutPendingOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer error
		pause  time.Duration
		want   bool
	}{
		{"answered", nil, 0, true},
		{"refused", ErrNotPromotable, 0, true},
		{"not sent", errors.Mark(errNoAnswer, ErrNotPending), 0, true},
		{"unanswered", errNoAnswer, 0, false},
		{"unanswered, a moment before its end", errNoAnswer, lease.OrderLife - 100*time.Millisecond, false},
		{"unanswered, after its end", errNoAnswer, lease.OrderLife, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := ordering(t, func() error { return c.answer })
			if err := x.replaces.orderPromotion(t.Context(), "b"); !errors.Is(err, c.answer) {
				t.Fatal(err)
			}
			x.clock.pause(c.pause)
			x.replaces.giveDuty(t.Context(), successorVM)
			if d := x.dutyRow(); d.Holder != "vm-2" || d.Quiet != c.want {
				t.Fatalf("duty %+v", d)
			}
		})
	}
}

// Guards against an order that passes for answered since the one after it was.
func TestAnEarlierOrderIsStillPending(t *testing.T) {
	answer := errNoAnswer
	x, _ := ordering(t, func() error { return answer })
	for _, answer = range []error{errNoAnswer, nil} {
		if err := x.replaces.orderPromotion(t.Context(), "b"); !errors.Is(err, answer) {
			t.Fatal(err)
		}
	}
	x.replaces.giveDuty(t.Context(), successorVM)
	if d := x.dutyRow(); d.Holder != "vm-2" || d.Quiet {
		t.Fatalf("duty %+v", d)
	}
}

// Guards against a next holder that orders at once while the former one's order is under way.
func TestADutyThatIsGivenDuringAnOrderIsNotQuiet(t *testing.T) {
	var x *replacing
	x, _ = ordering(t, func() error {
		x.replaces.giveDuty(t.Context(), successorVM)
		return nil
	})
	if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil {
		t.Fatal(err)
	}
	if d := x.dutyRow(); d.Holder != "vm-2" || d.Quiet {
		t.Fatalf("duty %+v", d)
	}
}

// Guards against a next holder that orders at once while an order of the holder before may arrive.
func TestADutyIsNotQuietBeforeItHasSettled(t *testing.T) {
	x, _ := ordering(t, func() error { return nil })
	x.put(dutyKey, duty{Holder: "vm-9", Incarnation: 1, Fence: 2})
	x.put(dutyKey, duty{Holder: "vm-1", Incarnation: 1, Fence: 3})
	x.dutyRow()
	x.replaces.giveDuty(t.Context(), successorVM)
	if d := x.dutyRow(); d.Holder != "vm-2" || d.Quiet {
		t.Fatalf("duty %+v", d)
	}
}

// Guards against a replacement that waits for orders of a former holder that are not in flight any more.
func TestADutyThatIsGivenQuietlyIsUsedAtOnce(t *testing.T) {
	for _, quiet := range []bool{true, false} {
		x, p := ordering(t, func() error { return nil })
		x.put(dutyKey, duty{Holder: "vm-2", Incarnation: 1, Fence: 2})
		x.put(dutyKey, duty{Holder: "vm-1", Incarnation: 1, Fence: 3, Quiet: quiet})
		begun := x.clock.Now()
		if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil || len(p.orders) != 1 {
			t.Fatalf("%d orders, error %v", len(p.orders), err)
		}
		if waited := x.clock.Now().Sub(begun) >= lease.OrderLife; waited == quiet {
			t.Errorf("quiet %v: waited %v", quiet, waited)
		}
	}
}

// Guards against an order of a VM that is giving the duty away, whose next holder takes it for quiet.
func TestNoOrderWhileTheDutyIsGiven(t *testing.T) {
	x, p := ordering(t, func() error { return nil })
	var err error
	x.store.afterPutOf, x.store.afterPut = dutyKey, func() { err = x.replaces.orderPromotion(t.Context(), "b") }
	x.replaces.giveDuty(t.Context(), successorVM)
	if len(p.orders) != 0 || !errors.Is(err, errSuperseded) {
		t.Fatalf("%d orders, error %v", len(p.orders), err)
	}
}

// lostWrite fails the writes of a key and performs the first of them when it is told to.
type lostWrite struct {
	metastore.Store
	key     string
	perform func() error
}

func (s *lostWrite) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	if key != s.key || s.perform != nil {
		return s.Store.Put(ctx, table, key, value, expected)
	}
	s.perform = func() error {
		_, err := s.Store.Put(ctx, table, key, value, expected)
		return err
	}
	return metastore.Version{}, errNoAnswer
}

// Guards against an order beside those of the next holder: the duty was given away by a write that takes effect late, after its
// sender has read that it still holds the duty.
func TestADutyWhoseGivingIsUnansweredIsClaimedAgain(t *testing.T) {
	x, p := ordering(t, func() error { return nil })
	lost := &lostWrite{Store: x.memory, key: dutyKey}
	x.replaces.Store = lost
	x.replaces.giveDuty(t.Context(), successorVM)
	if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil || len(p.orders) != 1 || p.orders[0].Fence != 2 {
		t.Fatalf("orders %+v, error %v", p.orders, err)
	}
	if err := lost.perform(); !errors.Is(err, metastore.ErrConflict) {
		t.Fatalf("the late write: error %v", err)
	}
}

// Guards against another primary beside a candidate whose promotion may still arrive.
func TestTheRowNamesACandidateWhileItsOrderIsPending(t *testing.T) {
	x, p := ordering(t, func() error { return errNoAnswer })
	if err := x.replaces.orderPromotion(t.Context(), "b"); err == nil {
		t.Fatal("answered")
	}
	if err := x.replaces.dropCandidate(t.Context(), "silent"); err == nil || x.replaces.row.Handover.Candidate != "" {
		t.Fatalf("row %+v, error %v", x.replaces.row, err)
	}
	if left := p.orders[0].End().Sub(x.clock.Now()); left > 0 {
		t.Fatalf("dropped %v before the end of the order", left)
	}
}

// Guards against two orders in one group that arrive in the opposite order.
func TestAnOrderForAnotherTargetWaitsForAPendingOne(t *testing.T) {
	x, p := ordering(t, func() error { return errNoAnswer })
	for _, id := range []topology.TargetID{"b", "a"} {
		if err := x.replaces.orderPromotion(t.Context(), id); err == nil {
			t.Fatal("answered")
		}
	}
	if len(p.orders) != 2 || p.orders[1].Evidence.Before(p.orders[0].End()) {
		t.Fatalf("orders %+v", p.orders)
	}
}

// Guards against a choice that an order of the coordinator before may still undo.
func TestACoordinatorWaitsForOrdersOfTheOneBefore(t *testing.T) {
	for _, quiet := range []bool{true, false} {
		x := newReplacing(t, "vm-2")
		taken := x.replaces.row.TakenBy("vm-2", 1, "vm-2", nil).TakenBy("vm-1", 1, "vm-1", nil)
		if quiet {
			taken = taken.Quieted()
		}
		x.put(groupPrefix+"g", taken)
		begun := x.clock.Now()
		x.dutyRow()
		x.replaces.awaitOrdersEnded(t.Context())
		if waited := x.clock.Now().Sub(begun) >= lease.OrderLife; waited == quiet {
			t.Errorf("quiet %v: waited %v", quiet, waited)
		}
	}
}

// Guards against a command of a VM that was paused or cut off and has a successor by now.
func TestACommandNeedsARecentReading(t *testing.T) {
	command := func(x *replacing) error {
		_, err := x.replaces.command(t.Context(), controlTimeout, func(context.Context) (target.Status, error) {
			return target.Status{}, nil
		})
		return err
	}
	x := newReplacing(t, "vm-1")
	x.clock.pause(lease.OrderLife)
	if err := command(x); err != nil {
		t.Fatalf("still the coordinator: %v", err)
	}
	x.clock.pause(lease.OrderLife)
	x.loseGroup()
	if err := command(x); !errors.Is(err, errSuperseded) {
		t.Fatalf("not the coordinator any more: error %v", err)
	}
}

// Guards against an attempt whose command reaches the primary during the next attempt, which keeps that primary.
func TestAnAttemptEndsWithItsCommands(t *testing.T) {
	x := newReplacing(t, "vm-1")
	row := x.replaces.row.WithCandidate("", position.Position{}, false)
	x.put(groupPrefix+"g", row)
	x.dutyRow()
	x.replaces.row = row
	x.put(vmPrefix+"vm-3", topology.VM{ID: "vm-3", Incarnation: 1}) // It has not confirmed that it has no right.
	released := make(chan struct{})
	x.control.hook = func() {
		x.learnLoss()
		time.Sleep(100 * time.Millisecond)
		close(released)
	}
	if err := x.replaces.nominate(t.Context(), "primary_leaving", true); !errors.Is(err, errSuperseded) {
		t.Fatalf("error %v", err)
	}
	select {
	case <-released:
	default:
		t.Fatal("the primary is still ordered to step down")
	}
}
