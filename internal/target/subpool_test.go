package target_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

func acquireFor(t *testing.T, p *target.Pool, customer topology.CustomerID) *target.Link {
	t.Helper()
	l, failure := tryFor(p, customer, time.Second)
	if failure != nil {
		t.Fatal(failure)
	}
	return l
}

func tryFor(p *target.Pool, customer topology.CustomerID, timeout time.Duration) (*target.Link, *result.Error) {
	r := until(mono.System{}.Now().Add(timeout))
	r.Customer = customer
	return p.Acquire(context.Background(), r, nil)
}

// Guards against a statement that runs on a connection that was opened for another customer.
func TestAConnectionServesOneCustomer(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 4)
	acquireFor(t, p, "a").Release()
	acquireFor(t, p, "b").Release()
	acquireFor(t, p, "a").Release()
	acquireFor(t, p, "").Release()
	if got := fmt.Sprint(f.customers); got != "[a b ]" {
		t.Fatalf("connections opened for %s", got)
	}
}

// Guards against idle connections of customers that send nothing any more and keep others from connecting: the
// least recently used connection is closed to make room for another customer's.
func TestAnIdleConnectionIsReplacedByAnotherCustomers(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 2)
	acquireFor(t, p, "a").Release()
	acquireFor(t, p, "b").Release()
	acquireFor(t, p, "a").Release()
	acquireFor(t, p, "c").Release() // In place of b's.
	acquireFor(t, p, "a").Release()
	if got := fmt.Sprint(f.customers); got != "[a b c]" {
		t.Fatalf("connections opened for %s", got)
	}
	if f.open() != 2 {
		t.Fatalf("%d connections are open", f.open())
	}
}

// Guards against a customer whose continuous requests keep the only connection, so that another customer's
// request never gets one.
func TestABusyCustomerDoesNotKeepAllConnections(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 1)
	stop := make(chan struct{})
	defer close(stop)
	for range 3 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if l, failure := tryFor(p, "busy", time.Second); failure == nil {
					time.Sleep(2 * time.Millisecond)
					l.Release()
				}
			}
		}()
	}
	time.Sleep(20 * time.Millisecond)
	for range 3 {
		acquireFor(t, p, "other").Release()
	}
}

// Guards against direct connections that serve several customers because the pool counts as indirect while the
// driver connects directly: after a restart of all VMs, statements ran on other customers' connections.
func TestADirectConnectionOfAnIndirectPoolServesOneCustomer(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 4)
	p.SetShare(target.Share{Connections: 4, Indirect: true})
	acquireFor(t, p, "a").Release()
	acquireFor(t, p, "b").Release()
	if got := fmt.Sprint(f.customers); got != "[a b]" {
		t.Fatalf("connections opened for %s", got)
	}
}

// Guards against connections that are opened for the proxy's own requests while others are idle.
func TestAProxyRequestTakesAnyConnection(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 2)
	acquireFor(t, p, "a").Release()
	l, failure := p.Acquire(context.Background(), waitlist.Request{Deadline: mono.System{}.Now().Add(time.Second), Anyone: true}, nil)
	if failure != nil {
		t.Fatal(failure)
	}
	l.Release()
	if got := fmt.Sprint(f.customers); got != "[a]" {
		t.Fatalf("connections opened for %s", got)
	}
}
