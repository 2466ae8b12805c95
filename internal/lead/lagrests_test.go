package lead

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The replicas of a group lag for good, whichever target leads. Callers must not wait for a change
// of primary each twenty seconds: the time between two doubles.
func TestChangesForALagBecomeRarer(t *testing.T) {
	self := topology.VM{ID: "vm-1", Incarnation: 1}
	l := New(Options{Directory: directory.New(self)})
	row := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	l.coordinator.Observe(row, 1, 1)
	now := mono.Time(time.Hour)
	want := lagRests
	for range 9 {
		l.lagging["g"] = lagging{looks: lagLooks, rests: l.lagging["g"].rests}
		if !l.replicasLag("g", now) {
			t.Fatal("the primary stays")
		}
		if got := l.lagging["g"]; got.rests != want || got.moved != now {
			t.Fatalf("%+v, want rests of %v", got, want)
		}
		want = min(2*want, longestLagRests)
	}
}
