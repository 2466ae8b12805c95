package lead

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// replicaControl is a fake Control whose replicas hold one position.
type replicaControl struct {
	Control
	held position.Position
}

func (c replicaControl) Status(context.Context, topology.Target) (target.Status, error) {
	return target.Status{Received: c.held}, nil
}

// knownPosition is a fake Positions of a primary.
type knownPosition struct {
	Positions
	newest position.Position
}

func (p knownPosition) Newest(topology.GroupID) (routing.Sample, bool) {
	return routing.Sample{Position: p.newest}, true
}

// Guards against a slow primary that is kept, and against a change of the primary for a burst of load, without a
// replica that holds what was acknowledged, or soon after another change.
func TestSlowPrimaryIsReplaced(t *testing.T) {
	newest := position.Position{Term: 1, Index: 10}
	for name, c := range map[string]struct {
		slowFor int
		held    uint64
		pause   time.Duration
		want    bool
	}{
		"lasting":           {slowFor: outlierChecks, held: 10, want: true},
		"burst":             {slowFor: outlierChecks - 1, held: 10},
		"no replica":        {slowFor: outlierChecks, held: 9},
		"changed just now":  {slowFor: outlierChecks, held: 10, pause: time.Hour},
		"changed long time": {slowFor: outlierChecks, held: 10, pause: time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			self := topology.VM{ID: "vm-1", Incarnation: 1}
			d := directory.New(self)
			for _, id := range []topology.TargetID{"a", "b"} {
				d.SetTarget(directory.Target{Target: topology.Target{ID: id, Group: "g"}})
			}
			control := replicaControl{held: position.Position{Term: 1, Index: c.held}}
			l := New(Options{Directory: d, Control: control, Log: slog.New(slog.DiscardHandler)})
			row := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
			l.coordinator.Observe(row, 1, 1)
			l.SharePositions(knownPosition{newest: newest})
			asked := 0
			l.ReplaceSlow(func(topology.GroupID, topology.TargetID) bool {
				asked++
				return asked <= c.slowFor
			})
			now := mono.Time(time.Hour)
			if c.pause > 0 {
				l.lagState["g"] = lagState{changedAt: now, pause: c.pause}
			}
			replaced := false
			for range outlierChecks + 5 {
				now = now.Add(lagCheckPeriod)
				l.checkOutlier(t.Context(), "g", now)
				time.Sleep(5 * time.Millisecond) // The replicas answer.
				l.mu.Lock()
				replaced = replaced || l.reasonToReplace("g", now) == primaryOutlier
				l.mu.Unlock()
			}
			if replaced != c.want {
				t.Fatalf("replaced %t", replaced)
			}
		})
	}
}
