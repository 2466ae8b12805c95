package target_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// leavingPool returns a pool with a manual clock, and a leaving target that is sent new work for a second.
func leavingPool(f *fakeTarget, share int) (*target.Pool, *mono.Manual) {
	clock := &mono.Manual{T: 1}
	p := target.NewPool(topology.Target{ID: "t"}, share, f, clock, slog.New(slog.DiscardHandler))
	p.SetLeaving(clock.T.Add(time.Second))
	return p, clock
}

func acquireAt(p *target.Pool, clock *mono.Manual) (*target.Link, *result.Error) {
	return p.Acquire(context.Background(), until(clock.T.Add(5*time.Second)), nil)
}

// Guards against new work that is sent to a leaving target after its drain time, also over a connection that
// was acquired before.
func TestALeavingTargetGetsNoNewWorkAfterItsDrainTime(t *testing.T) {
	for name, work := range map[string]func(*target.Link) *result.Error{
		"a statement": func(l *target.Link) *result.Error {
			a, err := l.Run(soon(), target.Command{Text: "read x"})
			if err != nil {
				t.Fatal(err)
			}
			return a.Failure
		},
		"a transaction": func(l *target.Link) *result.Error {
			if err := l.Begin(soon(), false, position.Position{}); err != nil {
				return result.From(err)
			}
			return nil
		},
	} {
		f := &fakeTarget{}
		p, clock := leavingPool(f, 2)
		early, failure := acquireAt(p, clock)
		if failure != nil {
			t.Fatalf("%s: %v", name, failure)
		}
		if failure := work(early); failure != nil {
			t.Fatalf("%s during the drain time: %v", name, failure)
		}
		late, failure := acquireAt(p, clock)
		if failure != nil {
			t.Fatalf("%s: %v", name, failure)
		}
		sent := len(f.sent)
		clock.T = clock.T.Add(time.Second)
		if failure := work(late); failure == nil || failure.Code != result.TargetLeaving || failure.Ran != result.NotRun {
			t.Fatalf("%s after the drain time: %v", name, failure)
		}
		if n := len(f.sent) - sent; n != 0 {
			t.Fatalf("%s: %d commands were sent", name, n)
		}
		if _, failure := acquireAt(p, clock); failure == nil || failure.Code != result.TargetLeaving {
			t.Fatalf("%s: acquire after the drain time: %v", name, failure)
		}
	}
}

// Guards against open transactions that are refused after the drain time though the target still serves them.
func TestAnOpenTransactionContinuesAtALeavingTarget(t *testing.T) {
	f := &fakeTarget{}
	p, clock := leavingPool(f, 1)
	l, failure := acquireAt(p, clock)
	if failure != nil {
		t.Fatal(failure)
	}
	if err := l.Begin(soon(), false, position.Position{}); err != nil {
		t.Fatal(err)
	}
	clock.T = clock.T.Add(2 * time.Second)
	if a, err := l.Run(soon(), target.Command{Text: "write x"}); err != nil || a.Failure != nil {
		t.Fatalf("%+v %v", a, err)
	}
}

// Guards against requests that wait for a leaving target until their deadline though it is sent no new work.
func TestWaitingRequestsAreRefusedAfterTheDrainTime(t *testing.T) {
	f := &fakeTarget{}
	p, clock := leavingPool(f, 1)
	if _, failure := acquireAt(p, clock); failure != nil { // Takes the only connection.
		t.Fatal(failure)
	}
	refused := make(chan *result.Error, 1)
	go func() {
		_, failure := acquireAt(p, clock)
		refused <- failure
	}()
	for p.Load().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.T = clock.T.Add(time.Second)
	p.Tick()
	select {
	case failure := <-refused:
		if failure == nil || failure.Code != result.TargetLeaving || failure.Ran != result.NotRun {
			t.Fatal(failure)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the request still waits")
	}
}

// Guards against a VM that has just started and grants the full drain time to a target that has been leaving
// for longer.
func TestATargetLeavingSinceAnUnknownTimeGetsNoWork(t *testing.T) {
	f, clock := &fakeTarget{}, &mono.Manual{T: 1}
	p := target.NewPool(topology.Target{ID: "t"}, 1, f, clock, slog.New(slog.DiscardHandler))
	p.SetLeaving(0)
	if _, failure := acquireAt(p, clock); failure == nil || failure.Code != result.TargetLeaving {
		t.Fatal(failure)
	}
	p.ClearLeaving()
	if _, failure := acquireAt(p, clock); failure != nil {
		t.Fatalf("the target is no longer leaving: %v", failure)
	}
}

// Guards against reads that every target refuses since the position of a leaving primary can't be requested
// any more.
func TestThePositionIsAvailableAfterTheDrainTime(t *testing.T) {
	f := &fakeTarget{answer: func(target.Command) (statement.Answer, error) {
		return statement.Answer{State: statement.Idle, Position: position.Position{Term: 1, Index: 4}}, nil
	}}
	p, clock := leavingPool(f, 1)
	clock.T = clock.T.Add(2 * time.Second)
	end := clock.T.Add(time.Second)
	l, failure := p.Acquire(context.Background(), waitlist.Request{Useful: end, Deadline: end, Anyone: true}, nil)
	if failure != nil {
		t.Fatal(failure)
	}
	if got, err := l.Position(soon()); err != nil || got.Index != 4 {
		t.Fatal(got, err)
	}
}
