package retention_test

import (
	"slices"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/retention"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const second = mono.Time(time.Second)

// idleState returns a state in which each of the customers has one idle connection since the given time.
func idleState(since mono.Time, customers ...topology.CustomerID) retention.State {
	s := retention.State{Open: map[topology.CustomerID]int{}}
	for _, c := range customers {
		s.Open[c]++
		s.Idle = append(s.Idle, retention.Connection{Customer: c, Since: since})
	}
	return s
}

// newPolicy returns a policy that has recorded uses of customers at 100 s, n times for the n-th.
func newPolicy(customers ...topology.CustomerID) *retention.Policy {
	p := &retention.Policy{Places: 8, IdlePlaces: 4}
	for i, c := range customers {
		for range i + 1 {
			p.Use(c, 0, 100*second)
		}
	}
	return p
}

// Guards against idle connections that outlast a loss of demand, the target's refusal or their customer's key.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	customers := []topology.CustomerID{"a", "b", "c", "d", "e"}
	p := newPolicy(customers...)
	now := 101 * second
	check := func(what string, s retention.State, want ...retention.Closing) {
		t.Helper()
		if got := p.Surplus(s, now); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	s := idleState(100*second, customers...)
	check("beyond the idle places", s, retention.Closing{Index: 0, Reason: retention.Idle})
	s.Idle[4].Revoked = true
	check("revoked", s, retention.Closing{Index: 4, Reason: retention.Revoked})
	s = idleState(80*second, "c", "d")
	check("idle for long", s, retention.Closing{Index: 0, Reason: retention.Idle}, retention.Closing{Index: 1, Reason: retention.Idle})
	p.Refused(now)
	s = idleState(100*second, "d", "c", "e")
	check("refused", s, retention.Closing{Index: 1, Reason: retention.Refused})
	now = 105 * second
	check("some time after the refusal", s)
}

// Guards against a second connection of a customer that is kept although it is rarely needed.
func TestFurtherConnectionsOfACustomerAreWorthLess(t *testing.T) {
	p := newPolicy("rare", "other", "frequent")
	s := idleState(100*second, "frequent", "rare", "frequent")
	if got := p.Lowest(s, 1, 101*second); !slices.Equal(got, []int{0}) {
		t.Fatalf("closes %v", got)
	}
	for range 9 {
		p.Use("frequent", 1, 101*second)
	}
	if got := p.Lowest(s, 1, 101*second); !slices.Equal(got, []int{1}) {
		t.Fatalf("closes %v", got)
	}
}

// Guards against connections that are opened ahead of need only to be closed unused.
func TestConnectionsAreOpenedAheadOnlyForFrequentCustomers(t *testing.T) {
	p := newPolicy("rare")
	for range 40 {
		p.Use("frequent", 0, 100*second)
	}
	none := retention.State{}
	if got, ok := p.Ahead(none, 100*second); !ok || got != "frequent" {
		t.Fatalf("opens for %q, %v", got, ok)
	}
	for what, s := range map[string]retention.State{
		"it has one":                idleState(100*second, "frequent"),
		"the idle places are taken": idleState(100*second, "a", "b", "c", "d"),
	} {
		if got, ok := p.Ahead(s, 100*second); ok {
			t.Errorf("%s: opens for %q", what, got)
		}
	}
	p.Refused(100 * second)
	if got, ok := p.Ahead(none, 101*second); ok {
		t.Errorf("after a refusal: opens for %q", got)
	}
}
