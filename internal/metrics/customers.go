package metrics

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Names of the per-customer metrics and their tag.
const (
	CustomerRequests = "customer_requests"
	CustomerLatency  = "customer_latency"
	CustomerSessions = "customer_sessions"

	TagCustomer = "customer"
	// OtherCustomers is the tag value for all customers without metrics of their own.
	OtherCustomers = "others"
)

// MaxNamedCustomers is the largest number of customers with metrics of their own.
// All others are counted together.
const MaxNamedCustomers = 30

// Customers records the requests and sessions of customers. A nil Customers records nothing.
type Customers struct {
	scopes scopes

	mu       sync.Mutex
	named    map[topology.CustomerID]bool
	sessions map[string]int
}

// NewCustomers returns a recorder that reports to the registry. Until SetNamed is
// called, all customers are counted together.
func NewCustomers(r *Registry) *Customers {
	return &Customers{scopes: scopes{root: r.scope}, sessions: map[string]int{}}
}

// SetNamed sets the customers that have metrics of their own.
func (c *Customers) SetNamed(ids []topology.CustomerID) {
	if c == nil {
		return
	}
	named := make(map[topology.CustomerID]bool, len(ids))
	for _, id := range ids {
		named[id] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.named = named
}

func (c *Customers) label(id topology.CustomerID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.named[id] {
		return string(id)
	}
	return OtherCustomers
}

// Request counts an answered request and its latency.
func (c *Customers) Request(id topology.CustomerID, failure *result.Error, took time.Duration) {
	if c == nil || id == "" {
		return
	}
	label, code := c.label(id), ResultOK
	if failure != nil {
		code = failure.Code.Name()
	}
	c.scopes.get(scopeKey{customer: label, extraName: TagResult, extra: code}).Counter(CustomerRequests).Inc(1)
	c.scopes.get(scopeKey{customer: label}).Histogram(CustomerLatency, latencyBuckets).RecordDuration(took)
}

// Session counts an opened session and returns the function that counts its end.
func (c *Customers) Session(id topology.CustomerID) (ended func()) {
	if c == nil || id == "" {
		return func() {}
	}
	label := c.label(id) // Kept until the end, since a new configuration may change the customer's label.
	c.addSessions(label, 1)
	return func() { c.addSessions(label, -1) }
}

func (c *Customers) addSessions(label string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[label] += delta
	c.scopes.get(scopeKey{customer: label}).Gauge(CustomerSessions).Update(float64(c.sessions[label]))
}
