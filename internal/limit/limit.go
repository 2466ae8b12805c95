// Package limit enforces the customers' limits on this VM: it applies pkg/quota to the configuration in force.
package limit

import (
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Limiter decides whether operations of customers may begin. It is safe for concurrent use.
type Limiter struct {
	// ByPriority admits the more urgent classes of a customer near its limit first. It must be set before use.
	ByPriority bool
	// Metrics and Log, which may be nil, must be set before use as well.
	Metrics *metrics.Limits
	Log     *slog.Logger

	directory *directory.Directory
	clock     mono.Clock
	policy    quota.Policy

	mu    sync.Mutex
	meter *quota.Meter
	// urgent gets a value when a report should be sent to the allocator at once.
	urgent chan struct{}
	// version is that of the configuration from which limits, tags and names were derived.
	version uint64
	limits  quota.Limits
	tags    quota.Tags
	names   map[quota.Tag]topology.CustomerID
	// refused holds, by customer, what has been refused since its last line in the log.
	refused map[topology.CustomerID]*refusals
}

// refusals are operations of one customer that its limit has refused.
type refusals struct {
	count  int
	logged mono.Time
}

// refusalLogPeriod is the least time between two lines in the log for one customer.
const refusalLogPeriod = time.Second

// NewLimiter returns a limiter for a VM that has just started.
func NewLimiter(d *directory.Directory, clock mono.Clock, policy quota.Policy) *Limiter {
	return &Limiter{directory: d, clock: clock, policy: policy, meter: quota.NewMeter(), urgent: make(chan struct{}, 1), refused: map[topology.CustomerID]*refusals{}}
}

// updateConfiguration applies the configuration in force if it has changed.
func (l *Limiter) updateConfiguration() {
	c := l.directory.Configuration()
	if c == nil || c.Version == l.version {
		return
	}
	l.version = c.Version
	l.tags = quota.TagsOf(c.Customers.IDs())
	l.limits = l.policy.LimitsOf(c.Customers, l.tags)
	names := make(map[quota.Tag]topology.CustomerID, len(l.tags))
	kept := make(quota.Limits, len(l.limits))
	for id, tag := range l.tags {
		names[tag] = id
		if limit, ok := l.limits[tag]; ok && l.names[tag] == id {
			kept[tag] = limit
		}
	}
	l.names = names
	l.meter.Forget(kept)
	clear(l.refused)
}

// Admit returns an error for an operation that would exceed its customer's limit. An admitted operation that
// is known not to have run is given back with Return. A lower priority is more urgent.
func (l *Limiter) Admit(id topology.CustomerID, priority int) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateConfiguration()
	tag, limit, ok := l.limitOf(id)
	if !ok {
		return nil
	}
	l.meter.SetVMs(len(l.directory.VMs()))
	wait, ok := l.meter.Admit(tag, limit, l.levelOf(priority), l.clock.Now())
	if l.meter.Urgent() {
		l.signalUrgent()
	}
	if ok {
		return nil
	}
	l.noteRefusal(id, priority)
	return result.New(result.MemberLimit, "%s: its limit is reached", id).After(wait.Round(time.Millisecond))
}

// noteRefusal counts and logs a refused operation.
func (l *Limiter) noteRefusal(id topology.CustomerID, priority int) {
	l.Metrics.Refused(strconv.Itoa(priority))
	r := l.refused[id]
	if r == nil {
		r = &refusals{}
		l.refused[id] = r
	}
	r.count++
	now := l.clock.Now()
	if l.Log == nil || r.logged != 0 && now.Sub(r.logged) < refusalLogPeriod {
		return
	}
	l.Log.Info("event=limit_reached", "customer", id, "refused", r.count, "priority", priority, "by_priority", l.ByPriority)
	r.count, r.logged = 0, now
}

// levelOf returns the priority that the meter gets. All classes have the same one unless ByPriority is set.
func (l *Limiter) levelOf(priority int) int {
	if !l.ByPriority {
		return 0
	}
	return priority
}

func (l *Limiter) signalUrgent() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that gets a value when a report should be sent to the allocator at once.
func (l *Limiter) Urgent() <-chan struct{} { return l.urgent }

// Return gives back an operation that was admitted and is known not to have run.
func (l *Limiter) Return(id topology.CustomerID, priority int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tag, _, ok := l.limitOf(id); ok {
		l.meter.Return(tag, l.levelOf(priority))
	}
}

// limitOf returns a customer's tag and limit, and false if it has no limit.
func (l *Limiter) limitOf(id topology.CustomerID) (quota.Tag, quota.Limit, bool) {
	tag, ok := l.tags[id]
	if !ok {
		return 0, quota.Limit{}, false
	}
	limit, ok := l.limits[tag]
	return tag, limit, ok
}

// Limits returns the limits in force. The map must not be changed.
func (l *Limiter) Limits() quota.Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateConfiguration()
	return l.limits
}

// Names returns the customers' names, for logs.
func (l *Limiter) Names(tags []quota.Tag) []topology.CustomerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]topology.CustomerID, 0, len(tags))
	for _, t := range tags {
		names = append(names, l.names[t])
	}
	return names
}

// Report returns the usage since the last report, for the allocator.
func (l *Limiter) Report(allocator topology.VMID) []quota.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.meter.SetAllocator(allocator) {
		l.Metrics.AllocatorChanged()
	}
	return l.meter.Report(l.clock.Now())
}

// ApplyAnswer applies the allocator's answer to a report that was sent at sent.
func (l *Limiter) ApplyAnswer(a *quota.Answer, sent mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.ApplyAnswer(a, sent)
	l.Metrics.Near(l.meter.CountNear())
}

// Near marks customers that have just come near their limits.
func (l *Limiter) Near(tags []quota.Tag) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Near(tags)
}
