package target

import (
	"log/slog"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// fairReportInterval is the least time between two log lines about refusals at a target.
const fairReportInterval = time.Second

// fairness is the state of a pool whose requests wait in fair order. The zero value stands for a pool without it.
type fairness struct {
	enabled bool
	metrics *metrics.FairQueue
	// refused counts the refused requests by customer since the last report, at reported.
	refused  map[topology.CustomerID]int
	reported mono.Time
	// waiting is the number of waiting requests by priority, as last recorded.
	waiting map[int]int
}

// enableFairQueue has waiting requests ordered fairly. It must be called before the first request.
func (p *Pool) enableFairQueue(weight func(topology.CustomerID) float64, m *metrics.FairQueue) {
	p.waiting.Fair(weight)
	p.fair = fairness{enabled: true, metrics: m, refused: map[topology.CustomerID]int{}, waiting: map[int]int{}}
}

// weightOf returns a customer's weight: the rate of its limit in the configuration in force, in operations per
// second, or 1 if it has none.
func weightOf(d *directory.Directory, id topology.CustomerID) float64 {
	c := d.Configuration()
	if c == nil {
		return 1
	}
	if l, ok := c.Customers.Limit(id); ok && l.Rate > 0 {
		return l.Rate
	}
	return 1
}

// refuse returns the error for a request that would wait for longer than it may.
func (p *Pool) refuse(r *waitlist.Request, wait time.Duration, now mono.Time) *result.Error {
	p.waiting.RecordMiss(r.Priority, now)
	hold, connections := p.holdTime, p.grantable()
	if p.slots != nil {
		hold, connections = p.slots.useTime, p.slots.limit.Allowance(now)
	}
	wait = p.waiting.RetryAfter(*r, wait, now, hold, connections)
	p.fair.noteRefusal(r, wait, now, p.waiting.Len(), p.log, p.target.ID)
	return result.New(result.QueueFull, "%s: a connection is expected in %v", p.target.ID, wait.Round(time.Millisecond)).After(wait)
}

// noteRefusal counts a refusal and logs the refusals, at most one line each fairReportInterval.
func (f *fairness) noteRefusal(r *waitlist.Request, wait time.Duration, now mono.Time, waiting int, log *slog.Logger, id topology.TargetID) {
	if !f.enabled {
		return
	}
	f.metrics.Refused(string(id), r.Priority)
	f.refused[r.Customer]++
	if f.reported != 0 && now.Sub(f.reported) < fairReportInterval {
		return
	}
	most, total := f.mostRefused()
	log.Info("event=fair_queue_refused", "target", id, "refused", total, "customer", most, "of_customer", f.refused[most],
		"priority", r.Priority, "waiting", waiting, "expected_wait", wait.Round(time.Millisecond))
	f.reported = now
	clear(f.refused)
}

// mostRefused returns the customer with the most refusals since the last report, and the number of all refusals.
func (f *fairness) mostRefused() (most topology.CustomerID, total int) {
	for id, n := range f.refused {
		total += n
		if n > f.refused[most] || n == f.refused[most] && id < most {
			most = id
		}
	}
	return most, total
}

// noteGrant records how long a request waited for its connection.
func (p *Pool) noteGrant(r *waitlist.Request, waited time.Duration) {
	if p.fair.enabled {
		p.fair.metrics.Granted(string(p.target.ID), r.Priority, waited)
	}
}

// noteWaiting records the number of waiting requests of each priority.
func (p *Pool) noteWaiting() {
	if !p.fair.enabled || p.waiting.Len() == 0 && len(p.fair.waiting) == 0 {
		return
	}
	counts := map[int]int{}
	for priority := range p.fair.waiting {
		counts[priority] = 0
	}
	p.waiting.Each(func(r *waitlist.Request) { counts[r.Priority]++ })
	for priority, n := range counts {
		p.fair.metrics.Waiting(string(p.target.ID), priority, n)
		if n == 0 {
			delete(counts, priority) // Recorded once.
		}
	}
	p.fair.waiting = counts
}

// noteHold records for how long a request held its connection. The proxy's own requests are not charged, since they
// take no slot of the target.
func (p *Pool) noteHold(l *Link, hold time.Duration) {
	p.noteHoldTime(hold)
	if !l.request.Anyone {
		p.waiting.Charge(l.request.Customer, l.request.Priority, hold)
	}
}
