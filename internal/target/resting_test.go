package target_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// countingClock counts how often the time is read: each tick of a pool does.
type countingClock struct{ reads int }

func (c *countingClock) Now() mono.Time {
	c.reads++
	return mono.System{}.Now()
}

// Guards against work for targets that nobody asks this VM for: it has a pool for each target of the
// deployment, and ticks each of them twenty times a second.
func TestPoolsWithoutWorkAreNotTicked(t *testing.T) {
	for _, targets := range []int{90, 300, 900} {
		clock := &countingClock{}
		d := directory.New(topology.VM{ID: "vm-0"})
		connections := map[topology.GroupID]int{"g": 4}
		d.SetConfiguration(&directory.Configuration{Version: 1, Connections: connections})
		for i := range 20 {
			d.SetVM(topology.VM{ID: topology.VMID(fmt.Sprint("vm-", i+1)), Incarnation: 1})
		}
		for i := range targets {
			d.SetTarget(directory.Target{Target: topology.Target{ID: topology.TargetID(fmt.Sprint("t-", i)), Group: "g"}})
		}
		pools := target.NewPools(d, nil, clock, slog.New(slog.DiscardHandler))
		pools.Sync()
		pools.TickAll()
		before := clock.reads
		const ticks = 10
		for range ticks {
			pools.TickAll()
		}
		if read := clock.reads - before; read > ticks {
			t.Errorf("%d targets: the clock was read %d times in %d ticks", targets, read, ticks)
		}
		// A pool ticks again as soon as it has something to do.
		pool, _ := pools.Get("t-3")
		pool.SetLeaving(mono.System{}.Now().Add(time.Minute))
		before = clock.reads
		pools.TickAll()
		if clock.reads == before {
			t.Errorf("%d targets: a leaving target is not ticked", targets)
		}
	}
}
