package lead

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// answeringTarget is a target whose status a test sets.
type answeringTarget struct {
	mu     sync.Mutex
	status target.Status
	err    error
	isGone bool
	asked  int
}

func (a *answeringTarget) set(s target.Status, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.err = s, err
}

func (a *answeringTarget) logs() *targetLogs {
	return &targetLogs{
		status: func(context.Context, topology.Target) (target.Status, error) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.asked++
			return a.status, a.err
		},
		lookUp: func(id topology.TargetID) (topology.Target, bool) {
			a.mu.Lock()
			defer a.mu.Unlock()
			return topology.Target{ID: id}, !a.isGone
		},
		period: func() time.Duration { return time.Millisecond },
		logs:   map[topology.TargetID]*targetLog{},
	}
}

var (
	rightForA = lease.Right{Group: "g", Term: 4, Primary: "a"}
	tenth     = position.Position{Term: 4, Index: 10}
	ninth     = target.Status{Term: 4, Received: position.Position{Term: 4, Index: 9}}
	eleventh  = target.Status{Term: 4, Received: position.Position{Term: 4, Index: 11}}
)

// Guards against commits that are acknowledged before the target holds them that a late order may promote, and against ones that
// are never acknowledged though it does.
func TestACommitWaitsForATargetThatALateOrderMayPromote(t *testing.T) {
	for _, c := range []struct {
		name   string
		before error
		then   target.Status
		want   lease.Custody
	}{
		{"it receives the commit", nil, eleventh, lease.Held},
		{"it answers again, with the commit", errNoAnswer, eleventh, lease.Held},
		{"it was promoted without the commit", nil, target.Status{Primary: true, Term: 5, Received: position.Position{Term: 5, Index: 10}}, lease.Replaced},
		{"it never receives the commit", nil, ninth, lease.NotHeld},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &answeringTarget{status: ninth, err: c.before}
			logs := a.logs()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			time.AfterFunc(50*time.Millisecond, func() { a.set(c.then, nil) })
			begun := time.Now()
			if got := logs.await(ctx, rightForA, "b", tenth); got != c.want {
				t.Fatalf("%v, want %v", got, c.want)
			}
			if took := time.Since(begun); took < 50*time.Millisecond {
				t.Fatalf("after %v", took)
			}
		})
	}
}

// Guards against commits that wait until their deadline for a target that ends meanwhile.
func TestACommitDoesNotWaitForATargetThatIsGone(t *testing.T) {
	a := &answeringTarget{status: ninth}
	time.AfterFunc(50*time.Millisecond, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.isGone = true
	})
	if got := a.logs().await(t.Context(), rightForA, "b", tenth); got != lease.Held {
		t.Fatalf("%v", got)
	}
}

// Guards against a target that is overloaded by questions: all commits that wait for it share its answers, and nobody asks it
// once none waits.
func TestCommitsThatWaitForATargetShareItsAnswers(t *testing.T) {
	a := &answeringTarget{status: ninth}
	logs := a.logs()
	logs.period = func() time.Duration { return 20 * time.Millisecond }
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			if got := logs.await(t.Context(), rightForA, "b", tenth); got != lease.Held {
				t.Errorf("%v", got)
			}
		})
	}
	time.AfterFunc(100*time.Millisecond, func() { a.set(eleventh, nil) })
	all.Wait()
	a.mu.Lock()
	asked := a.asked
	a.mu.Unlock()
	if asked > 10 {
		t.Errorf("asked %d times within 100 ms", asked)
	}
	time.Sleep(100 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asked > asked+2 {
		t.Errorf("asked %d times more", a.asked-asked)
	}
}

// Guards against commits that wait for a target that has ended, and against ones that wait for the primary itself.
func TestOnlyRegisteredTargetsKeepCommits(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l := x.replaces.Lead
	row := x.replaces.row.WithUnsettled("b", "gone").Opened(2) // b leads.
	x.put(groupPrefix+"g", row)
	x.dutyRow()
	if got := l.keepers("g"); len(got) != 0 {
		t.Fatalf("keepers %v", got)
	}
	l.Directory.SetTarget(directory.Target{Target: topology.Target{ID: "gone", Group: "g"}})
	if got := l.keepers("g"); !slices.Equal(got, []topology.TargetID{"gone"}) {
		t.Fatalf("keepers %v", got)
	}
}

// Guards against an order that was not answered and is forgotten with the candidate, or with the next one's success.
func TestARowRemembersOrdersThatWereNotAnswered(t *testing.T) {
	answer := errNoAnswer
	x, _ := ordering(t, func() error { return answer })
	if err := x.replaces.orderPromotion(t.Context(), "b"); !errors.Is(err, errNoAnswer) {
		t.Fatal(err)
	}
	answer = nil
	if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil {
		t.Fatal(err)
	}
	if err := x.replaces.change(t.Context(), x.replaces.row.Opened(2)); err != nil {
		t.Fatal(err)
	}
	if got := x.replaces.row.Unsettled; !slices.Equal(got, []topology.TargetID{"b"}) {
		t.Fatalf("unsettled %v", got)
	}
}

// Guards against commits that wait for a target for ever: after some time an order counts as lost.
func TestAnOrderThatWasNotAnsweredIsSettledInTheEnd(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l := x.replaces.Lead
	row := x.replaces.row.WithUnsettled("a").Opened(2)
	settled := func() []topology.TargetID {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.settledTargets(row, "g", l.Clock.Now())
	}
	if got := settled(); len(got) != 0 {
		t.Fatalf("settled %v at once", got)
	}
	x.clock.pause(lease.UnsettledLife - time.Second)
	if got := settled(); len(got) != 0 {
		t.Fatalf("settled %v too early", got)
	}
	x.clock.pause(2 * time.Second)
	if got := settled(); !slices.Equal(got, []topology.TargetID{"a"}) {
		t.Fatalf("settled %v", got)
	}
}
