package target_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func equalWeights(topology.CustomerID) float64 { return 1 }

// Guards against a flood that delays other customers at a holder without a history, as after the loss of the former
// one, and against callers that go away and leave a charge or a request behind.
func TestAFloodDoesNotDelayOtherCustomersOfANewHolder(t *testing.T) {
	p := newPool(&fakeTarget{}, 2)
	registry := metrics.New()
	target.EnableFairQueue(p, equalWeights, metrics.NewFairQueue(registry))
	ctx, cancel := context.WithCancel(t.Context())
	var flood sync.WaitGroup
	for range 300 {
		flood.Go(func() {
			r := until(mono.System{}.Now().Add(5 * time.Second))
			r.Customer = "flood"
			if l, failure := p.Acquire(ctx, r, nil); failure == nil {
				time.Sleep(10 * time.Millisecond)
				l.Release()
			}
		})
	}
	for p.Load().InFlight < 250 {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		begun := time.Now()
		acquireFor(t, p, "other").Release()
		if took := time.Since(begun); took > 500*time.Millisecond {
			t.Errorf("another customer waited for %v", took) // In order of objectives it would wait for more than a second.
		}
	}
	p.Tick()
	cancel()
	flood.Wait()
	p.Tick()
	if n := p.Load().InFlight; n != 0 {
		t.Fatalf("%d requests are left", n)
	}
	acquireFor(t, p, "flood").Release()
	registry.Close()
	for _, g := range registry.Snapshot().Gauges {
		if g.Name == metrics.FairQueueWaiting && g.Value != 0 {
			t.Errorf("%+v after all requests have ended", g)
		}
	}
}

// Guards against a log line for each of many refusals, and refusals that no line counts.
func TestRefusalsAreLoggedOncePerSecond(t *testing.T) {
	var out bytes.Buffer
	clock := &mono.Manual{T: 1}
	p := target.NewPool(topology.Target{ID: "t"}, 1, &fakeTarget{}, clock, slog.New(slog.NewTextHandler(&out, nil)))
	registry := metrics.New()
	target.EnableFairQueue(p, equalWeights, metrics.NewFairQueue(registry))
	take := func(patience time.Duration) (*target.Link, *result.Error) {
		r := until(clock.T.Add(patience))
		r.Customer = "a"
		return p.Acquire(t.Context(), r, nil)
	}
	l, _ := take(time.Minute)
	clock.T = clock.T.Add(time.Second)
	l.Release() // From now on a connection is expected to be held for some time.
	if l, _ = take(time.Minute); l == nil {
		t.Fatal("no connection")
	}
	for range 2 {
		for range 50 {
			if _, failure := take(time.Millisecond); failure == nil || failure.Code != result.QueueFull {
				t.Fatalf("%v", failure)
			}
		}
		clock.T = clock.T.Add(time.Second)
	}
	l.Release()
	if lines := strings.Count(out.String(), "event=fair_queue_refused"); lines != 2 || !strings.Contains(out.String(), "refused=50") {
		t.Errorf("%d lines:\n%s", lines, out.String())
	}
	registry.Close()
	for _, c := range registry.Snapshot().Counters {
		if c.Name == metrics.FairQueueRefused && c.Tags[metrics.TagTarget] == "t" && c.Tags[metrics.TagPriority] == "1" && c.Value == 100 {
			return
		}
	}
	t.Errorf("the refusals are not counted: %+v", registry.Snapshot().Counters)
}

// Guards against weights that remain when the configuration changes.
func TestWeightsAreTheRatesInForce(t *testing.T) {
	d := directory.New(topology.VM{ID: "vm-0"})
	for version, rate := range []float64{30, 45} {
		customers, err := customer.NewRegistry([]customer.Customer{{ID: "a", Limit: customer.Limit{Rate: rate}}, {ID: "unlimited"}})
		if err != nil {
			t.Fatal(err)
		}
		d.SetConfiguration(&directory.Configuration{Version: uint64(version + 1), Customers: customers})
		if a, b, c := target.WeightOf(d, "a"), target.WeightOf(d, "unlimited"), target.WeightOf(d, "unknown"); a != rate || b != 1 || c != 1 {
			t.Errorf("rate %v: weights %v, %v, %v", rate, a, b, c)
		}
	}
}
