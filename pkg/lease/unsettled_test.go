package lease

import (
	"slices"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a commit that is acknowledged although an order that arrives late rolls it back.
func TestOnlyATargetThatHoldsACommitKeepsIt(t *testing.T) {
	right := Right{Group: "g", Term: 4, Primary: "a"}
	commit := position.Position{Term: 4, Index: 10}
	for _, c := range []struct {
		name string
		log  LogState
		want Custody
	}{
		{"nothing is known", LogState{}, NotHeld},
		{"it has not received the commit", LogState{Term: 4, Received: position.Position{Term: 4, Index: 9}}, NotHeld},
		{"it has received no entry of the term", LogState{Term: 3, Received: position.Position{Term: 3, Index: 50}}, NotHeld},
		{"it has received the commit", LogState{Term: 4, Received: position.Position{Term: 4, Index: 10}}, Held},
		{"it has received more", LogState{Term: 4, Received: position.Position{Term: 4, Index: 11}}, Held},
		{"it leads a later term with the same log", LogState{Term: 5, Received: position.Position{Term: 4, Index: 10}}, Replaced},
		{"it has entries of a later term", LogState{Term: 4, Received: position.Position{Term: 5, Index: 1}}, Replaced},
	} {
		if got := right.CustodyOf(commit, c.log); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a row that forgets an order which may still take effect.
func TestARowNamesTheTargetsOfOrdersThatMayTakeEffect(t *testing.T) {
	open := &Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	chosen := open.Closed("primary_failed").WithCandidate("b", position.Position{}, false)
	taken := chosen.TakenBy("vm-2", 1, "vm-2", nil)
	for _, c := range []struct {
		name string
		row  *Row
		want []topology.TargetID
	}{
		{"a coordinator that goes on", chosen.Opened(2), nil},
		{"taken over while open", open.TakenBy("vm-2", 1, "vm-2", nil), nil},
		{"taken over with a candidate", taken, []topology.TargetID{"b"}},
		{"another candidate is promoted", taken.WithCandidate("c", position.Position{}, false).Opened(2), []topology.TargetID{"b"}},
		{"its own order was not answered, twice", chosen.WithUnsettled("b").WithUnsettled("b", "c"), []topology.TargetID{"b", "c"}},
		{"it is settled", taken.WithUnsettled("c").WithoutUnsettled("b"), []topology.TargetID{"c"}},
	} {
		if !slices.Equal(c.row.Unsettled, c.want) {
			t.Errorf("%s: %v, want %v", c.name, c.row.Unsettled, c.want)
		}
	}
	if got := taken.Opened(2).Keepers(); len(got) != 0 {
		t.Errorf("keepers %v beside the primary, for which an order changes nothing", got)
	}
}
