package waitlist_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const hold = 20 * time.Millisecond

// add adds n requests of a customer, of one priority and without a pressing objective.
func add(l *waitlist.List[string], customer topology.CustomerID, priority, n int) (added []*waitlist.Waiter[string]) {
	for range n {
		r := waitlist.Request{Priority: priority, Useful: 60_000 * ms, Deadline: 60_000 * ms, Customer: customer}
		added = append(added, l.Add(r, string(customer), 0, hold))
	}
	return added
}

// grants returns how many of the next n grants each customer gets, if each request holds its connection for hold.
func grants(l *waitlist.List[string], n int) map[string]int {
	got := map[string]int{}
	for range n {
		w := l.Next(0, hold)
		got[w.Value]++
		l.Charge(w.Customer, w.Priority, hold)
	}
	return got
}

// Guards against weights that stay as they were when a customer's first request came: they follow the configuration.
func TestWeightsFollowTheConfiguration(t *testing.T) {
	weights := map[topology.CustomerID]float64{"a": 3}
	var l waitlist.List[string]
	l.Fair(func(id topology.CustomerID) float64 { return weights[id] }) // A customer without a limit has weight 1.
	add(&l, "a", 1, 1000)
	add(&l, "b", 1, 1000)
	grants(&l, 100) // Those ahead of their share.
	if got := grants(&l, 100); got["a"] < 70 || got["a"] > 80 {
		t.Errorf("weights 3 and 1: %v", got)
	}
	weights["a"] = 0.25
	grants(&l, 100)
	if got := grants(&l, 100); got["a"] < 15 || got["a"] > 25 {
		t.Errorf("weights 1/4 and 1: %v", got)
	}
}

// Guards against charges for requests whose callers went away, and for the expected instead of the actual hold time.
func TestOnlyTheHoldTimeIsCharged(t *testing.T) {
	var l waitlist.List[string]
	l.Fair(func(topology.CustomerID) float64 { return 1 })
	gone := add(&l, "a", 1, 500)
	add(&l, "a", 1, 500)
	add(&l, "b", 1, 500)
	for _, w := range gone {
		l.Remove(w)
	}
	if got := grants(&l, 100); got["a"] != 50 {
		t.Errorf("after removals: %v", got)
	}
	got := map[string]int{}
	for range 200 {
		w := l.Next(0, hold)
		got[w.Value]++
		used := hold
		if w.Customer == "a" {
			used = 3 * hold
		}
		l.Charge(w.Customer, w.Priority, used)
	}
	if got["b"] < 145 || got["b"] > 155 {
		t.Errorf("a holds connections three times as long as b: %v", got)
	}
}

// Guards against a customer that gets all connections before its first request ends, and against the waits of others
// being estimated behind its requests.
func TestGrantsAndEstimatesAreSharedBeforeAnyRequestEnds(t *testing.T) {
	var l waitlist.List[string]
	l.Fair(func(topology.CustomerID) float64 { return 1 })
	add(&l, "flood", 1, 100)
	add(&l, "other", 1, 4)
	r := waitlist.Request{Priority: 1, Useful: 60_000 * ms, Deadline: 60_000 * ms}
	r.Customer = "new"
	if wait := l.EstimateWait(r, 0, hold, hold, 2); wait > 2*hold {
		t.Errorf("a new customer waits for %v", wait)
	}
	r.Customer = "flood"
	if wait := l.EstimateWait(r, 0, hold, hold, 2); wait != 105*hold/2 {
		t.Errorf("the flood waits for %v", wait)
	}
	got := map[string]int{}
	for range 8 {
		got[l.Next(0, hold).Value]++
	}
	if got["other"] != 4 {
		t.Errorf("%v of eight grants", got)
	}
}

// Guards against priorities other than 0 to 2, a minimum share below a twentieth, and a dial order that differs from
// the order of the grants.
func TestEachPriorityGetsATwentieth(t *testing.T) {
	var l waitlist.List[string]
	l.Fair(func(topology.CustomerID) float64 { return 1 })
	for p, n := range map[int]int{7: 60, -1: 1000, 3: 60} {
		add(&l, topology.CustomerID(fmt.Sprint(p)), p, n)
	}
	got := map[string]int{}
	for range 1000 {
		var first topology.CustomerID
		l.Each(func(r *waitlist.Request) {
			if first == "" {
				first = r.Customer
			}
		})
		w := l.Next(0, hold)
		if w.Customer != first {
			t.Fatalf("%s is dialled for, %s granted", first, w.Customer)
		}
		got[w.Value]++
	}
	if got["7"] < 49 || got["3"] < 49 || got["-1"] < 890 {
		t.Errorf("%v of 1000 grants", got)
	}
}

// Guards against requests of the proxy itself that wait behind those of callers, and against a connection that is
// given to a customer that can't use it.
func TestIneligibleRequestsArePassedOver(t *testing.T) {
	var l waitlist.List[string]
	l.Fair(func(topology.CustomerID) float64 { return 1 })
	add(&l, "a", 0, 2)
	add(&l, "b", 0, 1)
	l.Add(waitlist.Request{Useful: 60_000 * ms, Deadline: 60_000 * ms, Anyone: true}, "own", 0, hold)
	var order []string
	for _, customer := range []topology.CustomerID{"b", "b", "a", "a", "a"} {
		w := l.NextOf(func(r *waitlist.Request) bool { return r.Anyone || r.Customer == customer }, 0, hold)
		if w == nil {
			order = append(order, "none")
			continue
		}
		order = append(order, w.Value)
	}
	if !slices.Equal(order, []string{"own", "b", "a", "a", "none"}) || l.Len() != 0 {
		t.Errorf("%v, %d left", order, l.Len())
	}
}

// Guards against callers that are told to retry after minutes: the wait of a request that is late already includes all
// requests that arrive for as long as an overload lasts.
func TestALateRequestIsToldToRetryOnceTheOthersAreServed(t *testing.T) {
	const hold, connections = 20 * time.Millisecond, 4
	var l waitlist.List[int]
	l.Fair(func(topology.CustomerID) float64 { return 1 })
	now := mono.Time(time.Minute)
	for i := range 100 {
		l.Add(waitlist.Request{Useful: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Customer: "c"}, i, now, hold)
	}
	late := waitlist.Request{Useful: now, Deadline: now.Add(time.Second), Customer: "c"}
	if got := l.RetryAfter(late, time.Hour/connections, now, hold, connections); got <= 0 || got > time.Second {
		t.Errorf("retry after %v, though the slots serve what waits in half a second", got)
	}
}
