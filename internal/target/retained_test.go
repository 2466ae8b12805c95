package target_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fixedTimeout is longer than connections may be idle that are not retained.
const fixedTimeout = 300 * time.Millisecond

// cappedTarget is a fake target that accepts a limited number of connections. lost connections are those of a VM that
// lost power, which count until the target notices.
type cappedTarget struct {
	fakeTarget
	limit int
	lost  atomic.Int32
}

func (c *cappedTarget) Dial(ctx context.Context, t topology.Target, customer topology.CustomerID) (target.Conn, error) {
	if c.open()+int(c.lost.Load()) >= c.limit {
		return nil, result.New(result.ConnectionsInUse, "full")
	}
	return c.fakeTarget.Dial(ctx, t, customer)
}

// slowTarget is a fake target at which opening a connection takes a while.
type slowTarget struct{ fakeTarget }

func (s *slowTarget) Dial(ctx context.Context, t topology.Target, customer topology.CustomerID) (target.Conn, error) {
	c, err := s.fakeTarget.Dial(ctx, t, customer) // Counted at its begin.
	time.Sleep(15 * time.Millisecond)
	return c, err
}

// newHolder returns the pool of a holder that retains connections by demand.
func newHolder(f target.Driver, share, places int) *target.Pool {
	p := target.NewPool(topology.Target{ID: "t"}, share, f, mono.System{}, slog.New(slog.DiscardHandler))
	p.SetShare(target.Share{Connections: share, Places: places, IdlePlaces: places / 2})
	return p
}

// useAtOnce has n customers use a connection at the same time.
func useAtOnce(t *testing.T, p *target.Pool, n int) {
	t.Helper()
	var links []*target.Link
	for i := range n {
		links = append(links, acquireFor(t, p, topology.CustomerID(fmt.Sprint("c", i))))
	}
	for _, l := range links {
		l.Release()
	}
}

// Guards against holders that keep the successor of a VM that lost power from connecting while the lost connections still
// count at the target: they must keep only half of their places idle, fewer after the target refused them a connection,
// and close those beyond their share when they hear of a starved VM.
func TestASuccessorConnectsWhileLostConnectionsCount(t *testing.T) {
	f := &cappedTarget{limit: 18}
	staying := newHolder(f, 8, 8)
	f.lost.Store(8)
	useAtOnce(t, staying, 8)
	time.Sleep(fixedTimeout)
	staying.Tick()
	if open := f.open(); open > 4 {
		t.Fatalf("%d connections are idle", open)
	}
	successor := newHolder(f, 8, 8)
	useAtOnce(t, successor, 6)
	if _, failure := tryFor(staying, "another", 100*time.Millisecond); failure == nil {
		t.Fatal("the target accepted a connection beyond its limit")
	}
	// The refusal halves what the staying VM keeps idle.
	if open := f.open(); open > 2+6 {
		t.Fatalf("%d connections are open after the refusal", open)
	}
	staying.SetShare(target.Share{Connections: 1, Places: 8, IdlePlaces: 4})
	staying.LimitToShare()
	if open := f.open(); open > 1+6 {
		t.Fatalf("%d connections are open while another VM is starved", open)
	}
}

// Guards against more statements in flight than without retention: they would wait at the target, in no defined order.
func TestOpenConnectionsBeyondTheShareAreNotUsedAtOnce(t *testing.T) {
	f := &fakeTarget{}
	p := newHolder(f, 2, 8)
	for i := range 3 {
		acquireFor(t, p, topology.CustomerID(fmt.Sprint("c", i))).Release()
	}
	held := []*target.Link{acquireFor(t, p, "c0"), acquireFor(t, p, "c1")}
	if _, failure := tryFor(p, "c2", 50*time.Millisecond); failure == nil {
		t.Fatal("three requests hold a connection")
	}
	time.AfterFunc(20*time.Millisecond, held[0].Release)
	acquireFor(t, p, "c2").Release()
	if f.count() != 3 {
		t.Fatalf("%d connections were opened for three customers", f.count())
	}
}

// Guards against connections of rare customers that displace those of frequent ones.
func TestTheLeastValuableConnectionMakesRoom(t *testing.T) {
	f := &fakeTarget{}
	p := newHolder(f, 4, 4)
	for range 5 {
		acquireFor(t, p, "frequent").Release()
	}
	for i := range 6 {
		acquireFor(t, p, topology.CustomerID(fmt.Sprint("rare", i))).Release()
	}
	before := f.count()
	acquireFor(t, p, "frequent").Release()
	if f.count() != before {
		t.Fatal("the frequent customer's connection was closed")
	}
}

// Guards against a second connection for a request that its customer's busy connection serves sooner than a new one.
func TestARequestWaitsForItsCustomersBusyConnection(t *testing.T) {
	f := &slowTarget{}
	p := newHolder(f, 4, 8)
	busy := acquireFor(t, p, "a")
	time.AfterFunc(3*time.Millisecond, busy.Release)
	second := acquireFor(t, p, "a")
	if f.count() != 1 {
		t.Fatalf("%d connections were opened", f.count())
	}
	acquireFor(t, p, "a").Release() // Not freed in time, so that another is opened.
	second.Release()
	if f.count() != 2 {
		t.Fatalf("%d connections were opened", f.count())
	}
}

// Guards against a customer whose continuous requests use the connections that a VM may use at once, so that another
// customer's request never gets one.
func TestABusyCustomerDoesNotKeepAllGrants(t *testing.T) {
	p := newHolder(&fakeTarget{}, 1, 4)
	end := time.Now().Add(300 * time.Millisecond)
	for range 3 {
		go func() {
			for time.Now().Before(end) {
				if l, failure := tryFor(p, "busy", time.Second); failure == nil {
					time.Sleep(2 * time.Millisecond)
					l.Release()
				}
			}
		}()
	}
	time.Sleep(20 * time.Millisecond)
	if _, failure := tryFor(p, "other", 200*time.Millisecond); failure != nil {
		t.Fatal(failure)
	}
}

// Guards against connections that are closed before the request for which they were opened can use them.
func TestAConnectionWithAWaitingRequestIsKept(t *testing.T) {
	f := &slowTarget{}
	p := newHolder(f, 2, 4)
	for range 5 {
		acquireFor(t, p, "a").Release()
		acquireFor(t, p, "b").Release()
	}
	held := acquireFor(t, p, "c")
	served := make(chan *result.Error)
	go func() {
		l, failure := tryFor(p, "d", time.Second)
		if failure == nil {
			l.Release()
		}
		served <- failure
	}()
	time.Sleep(5 * time.Millisecond) // The connection for d is being opened.
	acquireFor(t, p, "a")
	p.SetShare(target.Share{Connections: 2, Places: 4, IdlePlaces: 1})
	time.Sleep(30 * time.Millisecond)
	held.Release()
	if failure := <-served; failure != nil || f.count() != 4 {
		t.Fatalf("%v; %d connections were opened", failure, f.count())
	}
}

// Guards against retention where it does harm or wasn't asked for, and against connections that outlive their
// customer's key.
func TestConnectionsAreRetainedForCustomersWithKeys(t *testing.T) {
	for name, c := range map[string]struct {
		retain    bool
		customers []topology.CustomerID
		want      int
	}{
		"off":              {false, []topology.CustomerID{"a", "b", "c"}, 1},
		"no customers":     {true, nil, 1},
		"all have keys":    {true, []topology.CustomerID{"a", "b", "c"}, 3},
		"a key is revoked": {true, []topology.CustomerID{"a", "b"}, 2},
	} {
		f, registry := &fakeTarget{}, metrics.New()
		pools, set := newPools(t, f)
		pools.Options.RetainConnections, pools.Metrics = c.retain, metrics.NewConnections(registry)
		set(c.customers)
		p, _ := pools.Get("t")
		for _, customer := range []topology.CustomerID{"a", "b", "c"} {
			acquireFor(t, p, customer).Release()
		}
		time.Sleep(fixedTimeout)
		pools.TickAll()
		if f.open() != c.want {
			t.Errorf("%s: %d connections are open, want %d", name, f.open(), c.want)
		}
		registry.Close() // Reports the last values.
		counts := map[string]int64{}
		for _, counter := range registry.Snapshot().Counters {
			counts[counter.Name] += counter.Value
		}
		if counts[metrics.TargetConnectionsOpened] != 3 || counts[metrics.TargetConnectionsClosed] != int64(3-c.want) {
			t.Errorf("%s: counted %v", name, counts)
		}
	}
}

// Guards against requests that fail one after the other on idle connections to a target that has restarted.
func TestIdleConnectionsAreClosedAfterALoss(t *testing.T) {
	f := &fakeTarget{}
	p := newHolder(f, 6, 8)
	useAtOnce(t, p, 4)
	l := acquireFor(t, p, "c0")
	f.answer = func(target.Command) (statement.Answer, error) { return statement.Answer{}, io.EOF }
	if _, err := l.Run(soon(), target.Command{}); err == nil {
		t.Fatal("the connection is not lost")
	}
	l.Release()
	if f.closed != 4 {
		t.Fatalf("%d connections were closed", f.closed)
	}
}

// newPools returns the pools of a VM that holds connections to a target, and a function that sets the customers.
func newPools(t *testing.T, f *fakeTarget) (*target.Pools, func([]topology.CustomerID)) {
	d := directory.New(topology.VM{ID: "vm"})
	d.SetVM(topology.VM{ID: "vm", Incarnation: 1})
	d.SetTarget(directory.Target{Target: topology.Target{ID: "t", Group: "g"}})
	pools := target.NewPools(d, f, mono.System{}, slog.New(slog.DiscardHandler))
	return pools, func(ids []topology.CustomerID) {
		var all []customer.Customer
		for _, id := range ids {
			all = append(all, customer.Customer{ID: id, Keys: []customer.Key{customer.KeyOf(string(id))}})
		}
		registry, err := customer.NewRegistry(all)
		if err != nil {
			t.Fatal(err)
		}
		d.SetConfiguration(&directory.Configuration{Version: 1, Connections: map[topology.GroupID]int{"g": 10}, Customers: registry})
		pools.Sync()
	}
}
