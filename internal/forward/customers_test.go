package forward_test

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// Guards against a holder that runs a request on another customer's connection: the other VMs send the requests
// of several customers over one connection to the holder.
func TestAHolderKeepsCustomersApart(t *testing.T) {
	db, pool := startPool(t)
	for _, c := range []topology.CustomerID{"a", "b", "a"} {
		deadline := mono.System{}.Now().Add(2e9)
		l, failure := pool.Acquire(t.Context(), waitlist.Request{Useful: deadline, Deadline: deadline, Customer: c}, nil)
		if failure != nil {
			t.Fatal(failure)
		}
		if a, err := l.Run(soon(), target.Command{ID: "1", Text: "read " + string(c)}); err != nil || a.Failure != nil {
			t.Fatalf("%+v %v", a, err)
		}
		l.Release()
	}
	for i, c := range db.recordedCustomers() {
		if want := []topology.CustomerID{"a", "b", "a"}[i]; c != want {
			t.Fatalf("statement %d ran on a connection of %q, want %q", i, c, want)
		}
	}
}
