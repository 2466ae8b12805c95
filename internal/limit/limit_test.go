package limit_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/limit"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Customers whose hashes in messages are the same.
const (
	one   topology.CustomerID = "c28300"
	other topology.CustomerID = "c84736"
)

const (
	smallLimit = 10
	largeLimit = 1000
)

type fixture struct {
	*testing.T
	clock     *mono.Manual
	directory *directory.Directory
	limiter   *limit.Limiter
	version   uint64
}

func start(t *testing.T) *fixture {
	d := directory.New(topology.VM{ID: "vm"})
	clock := &mono.Manual{T: 1}
	policy := quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	return &fixture{T: t, clock: clock, directory: d, limiter: limit.NewLimiter(d, clock, policy)}
}

// declare sets the customers' rates; 0 means no limit.
func (f *fixture) declare(rates map[topology.CustomerID]float64) {
	f.Helper()
	var customers []customer.Customer
	for id, rate := range rates {
		customers = append(customers, customer.Customer{ID: id, Limit: customer.Limit{Rate: rate, Burst: rate}})
	}
	r, err := customer.NewRegistry(customers)
	if err != nil {
		f.Fatal(err)
	}
	f.version++
	f.directory.SetConfiguration(&directory.Configuration{Version: f.version, Customers: r})
}

// markNear marks a customer as near its limit, as the allocator does.
func (f *fixture) markNear(id topology.CustomerID) {
	tags := quota.TagsOf(f.directory.Configuration().Customers.IDs())
	f.limiter.Limits()
	f.limiter.Near([]quota.Tag{tags[id]})
}

// admitted returns how many of n operations within a second are admitted.
func (f *fixture) admitted(id topology.CustomerID, n int) int {
	all := 0
	for range n {
		f.clock.T = f.clock.T.Add(time.Second / time.Duration(n))
		if f.limiter.Admit(id, 0) == nil {
			all++
		}
	}
	return all
}

// Guards against a customer that is refused because of another customer's operations.
func TestACustomerIsNotRefusedForAnothersOperations(t *testing.T) {
	f := start(t)
	f.declare(map[topology.CustomerID]float64{one: largeLimit, other: smallLimit})
	f.markNear(other)
	if n := f.admitted(other, largeLimit); n >= largeLimit/2 {
		t.Fatalf("%d operations of the limited customer are admitted", n)
	}
	if n := f.admitted(one, largeLimit/2); n != largeLimit/2 {
		t.Fatalf("%d of %d operations of the customer below its limit are admitted", n, largeLimit/2)
	}
}

// Guards against a customer that is admitted beyond its limit because another customer's is larger, or absent.
func TestACustomerHasItsOwnLimit(t *testing.T) {
	f := start(t)
	f.declare(map[topology.CustomerID]float64{one: smallLimit, other: largeLimit})
	tags, limits := quota.TagsOf([]topology.CustomerID{one, other}), f.limiter.Limits()
	if small, large := limits[tags[one]].Rate, limits[tags[other]].Rate; len(limits) != 2 || small*largeLimit != large*smallLimit {
		t.Errorf("%d limits, of rates %v and %v", len(limits), small, large)
	}
	f = start(t)
	f.declare(map[topology.CustomerID]float64{one: 0, other: smallLimit})
	if n := f.admitted(one, largeLimit); n != largeLimit {
		t.Errorf("%d of %d operations of a customer without a limit are admitted", n, largeLimit)
	}
}

// Guards against usage that is returned to another customer, and against reports and logs that name another one.
func TestUsageIsReportedForItsCustomer(t *testing.T) {
	f := start(t)
	f.declare(map[topology.CustomerID]float64{one: largeLimit, other: largeLimit})
	f.admitted(one, 3)
	f.admitted(other, 5)
	f.limiter.Return(other, 0)
	offered := map[topology.CustomerID]uint32{}
	for _, u := range f.limiter.Report("allocator") {
		offered[f.limiter.Names([]quota.Tag{u.Customer})[0]] += u.Admitted
	}
	if offered[one] != 3 || offered[other] != 4 {
		t.Fatalf("%v", offered)
	}
}

// Guards against a customer that takes over what another one had used, whose tag it gets when that one is removed.
func TestANewOwnerOfATagStartsAnew(t *testing.T) {
	f := start(t)
	f.declare(map[topology.CustomerID]float64{one: smallLimit, other: largeLimit})
	f.admitted(one, smallLimit)
	f.declare(map[topology.CustomerID]float64{other: largeLimit})
	f.admitted(other, 1)
	if usage := f.limiter.Report("allocator"); len(usage) != 1 || usage[0].Offered != 1 {
		t.Fatalf("%+v", usage)
	}
}
