package waitlist_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	ms        = mono.Time(time.Millisecond)
	objective = 400 * ms
	deadline  = 900 * ms // Of a caller's second, what is left to send it.
	service   = 24 * ms
)

// outcome is what callers of a simulated load got.
type outcome struct{ asked, inTime, late, refused, expired int }

// play has requests of one class come at a multiple of what two connections serve, in virtual
// time. useful is when a request counts as late for the list.
func play(load float64, length mono.Time, useful mono.Time) outcome {
	random := rand.New(rand.NewPCG(1, 1))
	var list waitlist.List[mono.Time]
	var out outcome
	free := [2]mono.Time{}
	between := float64(service) / float64(len(free)) / load
	next := mono.Time(0)
	for now := mono.Time(0); now < length; now += ms {
		for next <= now {
			next += mono.Time(random.ExpFloat64() * between)
			out.asked++
			r := waitlist.Request{Priority: 1, Useful: now + useful, Deadline: now + deadline}
			if now.Add(list.Wait(r, now, time.Duration(service), time.Duration(service), len(free))).After(r.Deadline) {
				out.refused++
				continue
			}
			list.Add(r, now, now, time.Duration(service))
		}
		for i := range free {
			if free[i] > now {
				continue
			}
			w := list.Next(now, time.Duration(service))
			for w != nil && w.Deadline <= now {
				out.expired++
				w = list.Next(now, time.Duration(service))
			}
			if w == nil {
				break
			}
			free[i] = now + mono.Time(random.ExpFloat64()*float64(service))
			if free[i]-w.Value <= objective {
				out.inTime++
			} else {
				out.late++
			}
		}
	}
	return out
}

// Half more requests come than the connections serve, for ten seconds. In the order of their
// deadlines each waits as long as it can, and nearly all answers come after the objective. Those
// that can still be in time go first now: most answers are, and no fewer requests get one.
func TestMostAnswersAreInTimeUnderALastingLoad(t *testing.T) {
	before := play(1.5, 10_000*ms, deadline)
	after := play(1.5, 10_000*ms, objective)
	t.Logf("by deadline %+v, in time first %+v", before, after)
	if after.inTime < 2*before.inTime || 10*after.inTime < 9*(after.inTime+after.late) {
		t.Errorf("%d of %d in time, %d by deadline", after.inTime, after.asked, before.inTime)
	}
	if served, was := after.inTime+after.late, before.inTime+before.late; 100*served < 95*was {
		t.Errorf("%d answered, %d by deadline", served, was)
	}
}

// A load that fits is served in time, whatever the order.
func TestALoadThatFitsIsServedInTime(t *testing.T) {
	if out := play(0.7, 10_000*ms, objective); out.late+out.refused+out.expired > 0 {
		t.Errorf("%+v", out)
	}
}

func request(priority int, useful, until mono.Time) waitlist.Request {
	return waitlist.Request{Priority: priority, Useful: useful, Deadline: until}
}

func TestUrgentOnesFirstThenTheNearestObjective(t *testing.T) {
	var list waitlist.List[string]
	for _, w := range []struct {
		name string
		r    waitlist.Request
	}{
		{"later", request(2, 300*ms, 900*ms)},
		{"sooner", request(2, 200*ms, 900*ms)},
		{"urgent", request(1, 400*ms, 900*ms)},
		{"late", request(1, 10*ms, 900*ms)},
	} {
		list.Add(w.r, w.name, 0, time.Duration(service))
	}
	for _, want := range []string{"urgent", "sooner", "later", "late"} {
		if got := list.Next(0, time.Duration(service)); got.Value != want {
			t.Fatalf("%s before %s", got.Value, want)
		}
	}
	if list.Next(0, 0) != nil {
		t.Fatal("one more than came")
	}
}

// A request becomes late while it waits: those behind it that are not go first, and the list
// remembers that the target can't serve all of that priority.
func TestOneThatBecameLateStandsBack(t *testing.T) {
	var list waitlist.List[string]
	list.Add(request(2, 100*ms, 900*ms), "first", 0, time.Duration(service))
	list.Add(request(2, 200*ms, 900*ms), "second", 0, time.Duration(service))
	if list.MissedSince(2, 0) {
		t.Fatal("nobody was late")
	}
	if got := list.Next(90*ms, time.Duration(service)); got.Value != "second" {
		t.Fatal(got.Value)
	}
	if !list.MissedSince(2, 0) || list.MissedSince(1, 0) || list.MissedSince(2, 90*ms) {
		t.Fatal("what was missed is not remembered by priority and time")
	}
	if got := list.Next(90*ms, time.Duration(service)); got.Value != "first" {
		t.Fatal(got.Value)
	}
}

func TestARemovedRequestGetsNoTurn(t *testing.T) {
	var list waitlist.List[string]
	gone := list.Add(request(1, 100*ms, 900*ms), "gone", 0, 0)
	list.Add(request(1, 100*ms, 900*ms), "stays", 0, 0)
	if !list.Remove(gone) || list.Remove(gone) || list.Len() != 1 {
		t.Fatal("removed twice, or not at all")
	}
	if got := list.Next(0, 0); got.Value != "stays" {
		t.Fatal(got.Value)
	}
}
