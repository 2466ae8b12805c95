package lead

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The replicas of a group lag permanently, whichever target leads. Callers must not wait for a
// change of the primary every twenty seconds, so the pause between two changes doubles.
func TestThePauseBetweenLagChangesDoubles(t *testing.T) {
	self := topology.VM{ID: "vm-1", Incarnation: 1}
	l := New(Options{Directory: directory.New(self), Clock: mono.System{}})
	row := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	l.coordinator.Observe(row, 1, 1)
	now := mono.Time(time.Hour)
	want := lagChangePause
	for range 9 {
		l.lagState["g"] = lagState{laggingChecks: lagChecks, pause: l.lagState["g"].pause}
		if !l.replicasLag("g", now) {
			t.Fatal("the primary was not changed")
		}
		if got := l.lagState["g"]; got.pause != want || got.changedAt != now {
			t.Fatalf("%+v, want a pause of %v", got, want)
		}
		want = min(2*want, longestLagChangePause)
	}
}
