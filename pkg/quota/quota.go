// Package quota enforces customers' limits, which apply to all VMs together, without a call to another VM
// before an operation begins.
//
// While a customer is well below its limit, each VM admits its operations, up to a few beyond the VM's share,
// and reports how many it has admitted. The VM that collects the reports, the allocator, counts them against
// the limit. When a customer comes near its limit the allocator informs all VMs. From then on each VM admits
// only its share of the limit, which depends on the VM's recent demand. A VM that gets no answers from the
// allocator keeps its last share for a while.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Tag identifies a customer in messages; see TagsOf.
type Tag uint32

// TagOf returns the hash of a customer's ID, which is its tag unless another customer's is the same.
func TagOf(id topology.CustomerID) Tag { return Tag(xxhash.Sum64String(string(id))) } //nolint:gosec // Truncated on purpose.

// Policy defines how limits are counted. In any Window a customer may begin its rate times the window plus its
// burst, and at most the fraction Excess of that plus Slack operations more.
type Policy struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Limit is a customer's limit in the form that the meters and the allocator use.
type Limit struct {
	// Rate is the sustained rate in operations per second; the burst of each window is part of it.
	Rate float64
	// Room is how many operations beyond the rate may be admitted in a window.
	Room float64
	// Window is the time over which the limit is counted.
	Window time.Duration
}

// LimitOf converts a declared limit.
func (p Policy) LimitOf(l customer.Limit) Limit {
	allowed := l.Rate*p.Window.Seconds() + l.Burst
	return Limit{Rate: allowed / p.Window.Seconds(), Room: p.Excess*allowed + p.Slack, Window: p.Window}
}

// Limits are the customers' limits in force, by tag. A customer that is absent has no limit.
type Limits map[Tag]Limit

// LimitsOf returns the limits of a configuration's customers, which have the given tags.
func (p Policy) LimitsOf(r *customer.Registry, tags Tags) Limits {
	limits := Limits{}
	for id, tag := range tags {
		if l, ok := r.Limit(id); ok && l.Rate > 0 {
			limits[tag] = p.LimitOf(l)
		}
	}
	return limits
}

// Usage is how many operations of one customer were offered to a VM, and how many it admitted, since its last
// report.
type Usage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	Customer Tag
	Offered  uint32
	Admitted uint32
	// Near is set if the VM knows from the allocator that the customer is near its limit.
	Near bool
	// Fraction, Demand and Since are set in reports to an allocator that has not answered the VM yet: the VM's fraction of
	// the customer's demand, as the last allocator computed it, in units of 1/fractionUnits, and the VM's recent
	// demand in operations per minute. They are encoded apart from the other fields, since earlier builds refuse
	// entries of another length.
	Fraction uint16 `msgpack:"-"`
	Demand   uint32 `msgpack:"-"`
	// Since is the time in milliseconds for which no report had been answered. Admitted then includes what
	// unanswered reports contained.
	Since uint32 `msgpack:"-"`
}

// Share is the rate at which a VM may admit a customer's operations.
type Share struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	Customer Tag
	// Rate is in operations per minute.
	Rate uint32
	// Fraction is the VM's fraction of the customer's demand in units of 1/fractionUnits, or 0 if the VM keeps the
	// one that it has. It is encoded apart from the other fields.
	Fraction uint16 `msgpack:"-"`
}

// fractionUnits is the value that stands for the whole demand in messages.
const fractionUnits = 10_000

// fractionTime is the time over which the demand is averaged from which fractions are computed. VMs have only a few
// operations a minute of a small customer.
const fractionTime = 10 * time.Second

// decayed returns the value of an exponential moving average after a time without demand.
func decayed(value float64, passed, averaging time.Duration) float64 {
	return value * math.Exp(-passed.Seconds()/averaging.Seconds())
}

// Answer is the allocator's answer to a report.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	// Near are all customers that are near their limits; a VM admits no more than its share of their operations.
	Near []Tag
	// Shares are the VM's shares for the customers in its report and for those near their limits.
	Shares []Share
}

const (
	// shareLifetime is how long a VM keeps a share if it gets no answers from the allocator, and how long
	// the allocator counts a silent VM as using its share. A failed coordinator is replaced sooner.
	shareLifetime = 2 * time.Second
	// fractionLifetime is how long a VM without an allocator keeps its fraction for the next one. All VMs may have to
	// wait for a takeover after their shares have ended.
	fractionLifetime = 2 * shareLifetime
	// answerTimeout is for how long after its last answered report a VM uses its share for a customer that was not
	// near its limit, and its fraction from then on. It allows for a late answer.
	answerTimeout = 400 * time.Millisecond
	// silentAfter is the time without a report after which the allocator counts a VM as silent.
	silentAfter = 600 * time.Millisecond
)
