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
	deadline  = 900 * ms // The time that a caller's timeout of 1 s leaves for sending the request.
	service   = 24 * ms
)

// outcome counts the results of the requests of a simulated load.
type outcome struct{ offered, inTime, late, refused, expired int }

// simulate sends requests of one class, in virtual time, at a multiple of the rate that two connections
// can serve. useful is the time after which the list considers a request late.
func simulate(load float64, length mono.Time, useful mono.Time) outcome {
	random := rand.New(rand.NewPCG(1, 1))
	var list waitlist.List[mono.Time]
	var out outcome
	busyUntil := [2]mono.Time{}
	meanInterval := float64(service) / float64(len(busyUntil)) / load
	arrival := mono.Time(0)
	for now := mono.Time(0); now < length; now += ms {
		for arrival <= now {
			arrival += mono.Time(random.ExpFloat64() * meanInterval)
			out.offered++
			r := waitlist.Request{Priority: 1, Useful: now + useful, Deadline: now + deadline}
			if now.Add(list.EstimateWait(r, now, time.Duration(service), time.Duration(service), len(busyUntil))).After(r.Deadline) {
				out.refused++
				continue
			}
			list.Add(r, now, now, time.Duration(service))
		}
		for i := range busyUntil {
			if busyUntil[i] > now {
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
			busyUntil[i] = now + mono.Time(random.ExpFloat64()*float64(service))
			if busyUntil[i]-w.Value <= objective {
				out.inTime++
			} else {
				out.late++
			}
		}
	}
	return out
}

// Guards against answers that nearly all miss the objective under overload, here 1.5 times the
// capacity for ten seconds. In order of deadlines each request waits as long as it can. If the
// requests that can still be in time go first, most answers are in time, and about as many requests
// get one.
func TestMostAnswersAreInTimeUnderOverload(t *testing.T) {
	before := simulate(1.5, 10_000*ms, deadline)
	after := simulate(1.5, 10_000*ms, objective)
	t.Logf("by deadline %+v, in time first %+v", before, after)
	if after.inTime < 2*before.inTime || 10*after.inTime < 9*(after.inTime+after.late) {
		t.Errorf("%d of %d in time, %d by deadline", after.inTime, after.offered, before.inTime)
	}
	if served, was := after.inTime+after.late, before.inTime+before.late; 100*served < 95*was {
		t.Errorf("%d answered, %d by deadline", served, was)
	}
}

// A load within capacity must be served in time.
func TestLoadWithinCapacityIsServedInTime(t *testing.T) {
	if out := simulate(0.7, 10_000*ms, objective); out.late+out.refused+out.expired > 0 {
		t.Errorf("%+v", out)
	}
}

func request(priority int, useful, until mono.Time) waitlist.Request {
	return waitlist.Request{Priority: priority, Useful: useful, Deadline: until}
}

func TestOrderByPriorityThenObjective(t *testing.T) {
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
			t.Fatalf("got %s, want %s", got.Value, want)
		}
	}
	if list.Next(0, 0) != nil {
		t.Fatal("returned more requests than were added")
	}
}

// A request becomes late while it waits. Later requests that are not late must go first, and the list
// must record that the target can't serve all requests of that priority in time.
func TestLateRequestGoesBehindOthers(t *testing.T) {
	var list waitlist.List[string]
	list.Add(request(2, 100*ms, 900*ms), "first", 0, time.Duration(service))
	list.Add(request(2, 200*ms, 900*ms), "second", 0, time.Duration(service))
	if list.MissedSince(2, 0) {
		t.Fatal("no request was late yet")
	}
	if got := list.Next(90*ms, time.Duration(service)); got.Value != "second" {
		t.Fatal(got.Value)
	}
	if !list.MissedSince(2, 0) || list.MissedSince(1, 0) || list.MissedSince(2, 90*ms) {
		t.Fatal("late requests are not recorded by priority and time")
	}
	if got := list.Next(90*ms, time.Duration(service)); got.Value != "first" {
		t.Fatal(got.Value)
	}
}

func TestRemovedRequestIsNotReturned(t *testing.T) {
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
