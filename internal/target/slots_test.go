package target_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// newLimitedPool returns a pool that may have two statements in flight over up to six connections.
func newLimitedPool(f *fakeTarget) *target.Pool {
	p := newPool(f, 6)
	p.SetSlotShare(target.SlotShare{Slots: 4, Holders: 6})
	return p
}

// acquireLater acquires a link in the background, and sends it when it is granted.
func acquireLater(t *testing.T, p *target.Pool, waitingBefore int) <-chan *target.Link {
	t.Helper()
	granted := make(chan *target.Link, 1)
	go func() {
		l, failure := p.Acquire(context.Background(), until(mono.System{}.Now().Add(2*time.Second)), nil)
		if failure == nil {
			granted <- l
		}
	}()
	for p.Load().InFlight-p.Load().Busy <= waitingBefore {
		time.Sleep(time.Millisecond)
	}
	return granted
}

func mustNotBeGranted(t *testing.T, granted <-chan *target.Link) {
	t.Helper()
	select {
	case <-granted:
		t.Fatal("granted beyond the allowance")
	case <-time.After(20 * time.Millisecond):
	}
}

func mustBeGranted(t *testing.T, granted <-chan *target.Link) *target.Link {
	t.Helper()
	select {
	case l := <-granted:
		return l
	case <-time.After(time.Second):
		t.Fatal("not granted though a statement in flight has ended")
		return nil
	}
}

// Guards against a holder that fills the target's queue, which knows no priority, and against slots that are
// idle while a request waits.
func TestStatementsInFlightStayWithinTheAllowance(t *testing.T) {
	f := &fakeTarget{}
	p := newLimitedPool(f)
	first, second := acquire(t, p, nil), acquire(t, p, nil)
	third := acquireLater(t, p, 0)
	mustNotBeGranted(t, third)
	first.Release()
	mustBeGranted(t, third)
	if f.count() != 2 {
		t.Fatalf("%d connections were opened for two statements in flight", f.count())
	}
	second.Release()
}

// Guards against slots that are idle while the connections are in transactions between two statements, and against
// a transaction that waits for its next statement while it holds locks.
func TestIdleTransactionsLeaveTheirSlotsToOthers(t *testing.T) {
	p := newLimitedPool(&fakeTarget{})
	first, second := acquire(t, p, nil), acquire(t, p, nil)
	third := acquireLater(t, p, 0)
	mustNotBeGranted(t, third)
	if err := first.Begin(soon(), false, position.Position{}); err != nil {
		t.Fatal(err)
	}
	other := mustBeGranted(t, third)
	if a, err := first.Run(soon(), target.Command{}); err != nil || a.Failure != nil {
		t.Fatalf("%v %v", a, err)
	}
	for _, l := range []*target.Link{first, second, other} {
		l.Release()
	}
	acquire(t, p, nil)
	acquire(t, p, nil)
	mustNotBeGranted(t, acquireLater(t, p, 0))
}

// Guards against positions that aren't read because statements are waiting.
func TestCommandsOfTheProxyAreNotLimited(t *testing.T) {
	p := newLimitedPool(&fakeTarget{})
	idle := acquire(t, p, nil)
	if err := idle.Begin(soon(), false, position.Position{}); err != nil {
		t.Fatal(err)
	}
	acquire(t, p, nil)
	acquire(t, p, nil)
	mustNotBeGranted(t, acquireLater(t, p, 0))
	idle.Release()
	r := waitlist.Request{Deadline: mono.System{}.Now().Add(time.Second), Anyone: true}
	if _, failure := p.Acquire(context.Background(), r, nil); failure != nil {
		t.Fatal(failure)
	}
}

// Guards against an estimate by the connections when fewer statements may be in flight: requests that can't be sent
// in time would wait until their deadline.
func TestTheWaitIsEstimatedForTheAllowance(t *testing.T) {
	p := newPool(&fakeTarget{}, 6)
	p.SetSlotShare(target.SlotShare{Slots: 1, Holders: 6})
	var open []*target.Link
	for range 5 { // Connections that wait in transactions and take no slot.
		l := acquire(t, p, nil)
		if err := l.Begin(soon(), false, position.Position{}); err != nil {
			t.Fatal(err)
		}
		open = append(open, l)
	}
	for range 60 { // The pool averages how long a statement is in flight.
		l := acquire(t, p, nil)
		time.Sleep(4 * time.Millisecond)
		l.Release()
	}
	defer acquire(t, p, nil).Release()
	_, failure := p.Acquire(context.Background(), until(mono.System{}.Now().Add(2*time.Millisecond)), nil)
	if failure == nil || failure.Code != result.QueueFull {
		t.Fatalf("%v with %d open transactions", failure, len(open))
	}
}

// Guards against a free slot that isn't used because the first request needs a new connection, and against a request
// that waits forever for one behind requests of customers that have one.
func TestACustomerWithoutAConnectionGetsASlot(t *testing.T) {
	f := &fakeTarget{}
	p := newLimitedPool(f)
	stop := make(chan struct{})
	defer close(stop)
	for range 8 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if l, failure := tryFor(p, "busy", time.Second); failure == nil {
					time.Sleep(2 * time.Millisecond)
					l.Release()
				}
			}
		}()
	}
	time.Sleep(20 * time.Millisecond)
	acquireFor(t, p, "other").Release()
}

// Guards against an overloaded target that is asked again every few milliseconds by each statement that it refused,
// against statements that aren't sent again once it accepts them, and against an allowance that stays as it was.
func TestRefusedStatementsWaitForTheirTurn(t *testing.T) {
	f := &fakeTarget{}
	p := newLimitedPool(f)
	var links []*target.Link
	for range 4 {
		l := acquire(t, p, nil)
		if err := l.Begin(soon(), false, position.Position{}); err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
	}
	begun, refusals := time.Now(), 0
	const busyFor = 400 * time.Millisecond
	f.mu.Lock()
	f.answer = func(target.Command) (statement.Answer, error) {
		if time.Since(begun) < busyFor {
			refusals++
			return statement.Answer{State: statement.Open, Failure: result.New(result.TargetBusy, "full")}, nil
		}
		return statement.Answer{Digest: "d", State: statement.Open}, nil
	}
	f.mu.Unlock()
	var all sync.WaitGroup
	for _, l := range links {
		all.Go(func() {
			if a, err := l.Run(time.Now().Add(time.Second), target.Command{Insist: true}); err != nil || a.Failure != nil {
				t.Errorf("%v %v", a.Failure, err)
			}
		})
	}
	all.Wait()
	if took := time.Since(begun); took > busyFor+200*time.Millisecond {
		t.Errorf("the last statement was answered after %v", took)
	}
	if blind := 4 * int(busyFor/(10*time.Millisecond)); refusals > blind/4 {
		t.Errorf("%d refusals", refusals)
	}
}

// Guards against a share that takes effect only with the next statement that ends, against demand that is not reported,
// and against limits for a VM whose switch is off.
func TestASharedTargetIsLimitedByItsCoordinator(t *testing.T) {
	f := &fakeTarget{}
	d := directory.New(topology.VM{ID: "vm-1", Incarnation: 1})
	d.SetConfiguration(&directory.Configuration{Connections: map[topology.GroupID]int{"g": 20}})
	d.SetVMs([]topology.VM{{ID: "vm-1", Incarnation: 1}, {ID: "vm-2", Incarnation: 1}})
	d.SetTarget(directory.Target{Target: topology.Target{ID: "t", Group: "g"}, Slots: 1})
	pools := target.NewPools(d, f, mono.System{}, slog.New(slog.DiscardHandler))
	pools.Options.SharedSlots = true
	pools.Sync()
	p, _ := pools.Get("t")
	acquire(t, p, nil)
	second := acquireLater(t, p, 0)
	mustNotBeGranted(t, second)
	demand := pools.SlotDemand("vm-2")
	if len(demand) != 1 || demand[0].InFlight != 1 || len(demand[0].Waiting) != 1 || demand[0].Waiting[0].Count != 1 {
		t.Fatalf("reported %+v", demand)
	}
	pools.SetSlotShares("vm-2", 1, []slotshare.Share{{Target: "t", Allowance: 2, ValidMS: 500}}, mono.System{}.Now())
	mustBeGranted(t, second)
	if demand := pools.SlotDemand("vm-2"); len(demand) != 1 || demand[0].Applied != 1 {
		t.Fatalf("reported %+v", demand)
	}
	third := acquireLater(t, p, 0)
	mustNotBeGranted(t, third)
	p.SetSlotShare(target.SlotShare{}) // As with the switch off.
	mustBeGranted(t, third)
	if demand := pools.SlotDemand("vm-2"); demand != nil {
		t.Fatalf("reported %+v", demand)
	}
}

// Guards against a target that is gone and still appears with an allowance, statements or waiting requests in the
// metrics, which would show this VM as its holder.
func TestClosedPoolReportsNoLoad(t *testing.T) {
	registry := metrics.New()
	p := newLimitedPool(&fakeTarget{})
	p.SlotMetrics = metrics.NewSlots(registry)
	target.EnableFairQueue(p, equalWeights, metrics.NewFairQueue(registry))
	acquire(t, p, nil)
	acquire(t, p, nil)
	acquireLater(t, p, 0)
	p.Tick()
	for end := time.Now().Add(2 * time.Second); loadReported(registry) < 4; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("reported while the pool was in use: %+v", registry.Snapshot().Gauges)
		}
	}
	p.Close()
	p.Tick() // As if it had begun before the pool was removed.
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	if sum := loadReported(registry); sum != 0 {
		t.Errorf("%v reported after the pool was closed: %+v", sum, registry.Snapshot().Gauges)
	}
}

// loadReported returns the sum of all gauges as last reported.
func loadReported(registry *metrics.Registry) (sum float64) {
	for _, g := range registry.Snapshot().Gauges {
		sum += g.Value
	}
	return sum
}
