// Package limit enforces the customers' limits on this VM: it applies pkg/quota to the configuration in force.
package limit

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Limiter decides whether operations of customers may begin. It is safe for concurrent use.
type Limiter struct {
	directory *directory.Directory
	clock     mono.Clock
	policy    quota.Policy

	mu    sync.Mutex
	meter *quota.Meter
	// urgent gets a value when a report should be sent to the allocator at once.
	urgent chan struct{}
	// version is that of the configuration from which limits and names were derived.
	version uint64
	limits  quota.Limits
	names   map[quota.Tag]topology.CustomerID
}

// NewLimiter returns a limiter for a VM that has just started.
func NewLimiter(d *directory.Directory, clock mono.Clock, policy quota.Policy) *Limiter {
	return &Limiter{directory: d, clock: clock, policy: policy, meter: quota.NewMeter(), urgent: make(chan struct{}, 1)}
}

// updateConfiguration applies the configuration in force if it has changed.
func (k *Limiter) updateConfiguration() {
	c := k.directory.Configuration()
	if c == nil || c.Version == k.version {
		return
	}
	k.version = c.Version
	k.limits = k.policy.LimitsOf(c.Customers)
	k.names = map[quota.Tag]topology.CustomerID{}
	for _, id := range c.Customers.IDs() {
		k.names[quota.TagOf(id)] = id
	}
	k.meter.Forget(k.limits)
}

// Admit returns an error for an operation that would exceed its customer's limit. An admitted operation that
// is known not to have run is given back with Return.
func (k *Limiter) Admit(id topology.CustomerID) *result.Error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateConfiguration()
	tag := quota.TagOf(id)
	l, ok := k.limits[tag]
	if !ok {
		return nil
	}
	k.meter.SetVMs(len(k.directory.VMs()))
	wait, ok := k.meter.Admit(tag, l, k.clock.Now())
	if k.meter.Urgent() {
		k.signalUrgent()
	}
	if ok {
		return nil
	}
	return result.New(result.MemberLimit, "%s: its limit is reached", id).After(wait.Round(time.Millisecond))
}

func (k *Limiter) signalUrgent() {
	select {
	case k.urgent <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that gets a value when a report should be sent to the allocator at once.
func (k *Limiter) Urgent() <-chan struct{} { return k.urgent }

// Return gives back an operation that was admitted and is known not to have run.
func (k *Limiter) Return(id topology.CustomerID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.limits[quota.TagOf(id)]; ok {
		k.meter.Return(quota.TagOf(id))
	}
}

// Limits returns the limits in force. The map must not be changed.
func (k *Limiter) Limits() quota.Limits {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateConfiguration()
	return k.limits
}

// Names returns the customers' names, for logs.
func (k *Limiter) Names(tags []quota.Tag) []topology.CustomerID {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]topology.CustomerID, 0, len(tags))
	for _, t := range tags {
		names = append(names, k.names[t])
	}
	return names
}

// Report returns the usage since the last report.
func (k *Limiter) Report() []quota.Usage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.meter.Report()
}

// ApplyAnswer applies the allocator's answer to a report that was sent at sent.
func (k *Limiter) ApplyAnswer(a *quota.Answer, sent mono.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.meter.ApplyAnswer(a, sent)
}

// Near marks customers that have just come near their limits.
func (k *Limiter) Near(tags []quota.Tag) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.meter.Near(tags)
}
