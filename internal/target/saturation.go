package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// saturatedFor is how long a target counts as saturated after it refused a statement because of
// its load. With many VMs, each sends a target only a few statements a second, so a shorter time
// would end between two of them.
const saturatedFor = time.Second

// saturation records that a target refuses statements because of its load: all of its slots are
// busy and its queue is full.
type saturation struct{ until mono.Time }

func (s *saturation) note(refusal *result.Error, now mono.Time) {
	if refusal != nil && refusal.Code == result.TargetBusy {
		s.until = now.Add(saturatedFor)
	}
}

// saturated reports whether the target can't serve all requests of a priority: it refused a
// statement because of its load, or a request that waited here for a connection can't be answered
// within its objective.
func (p *Pool) saturated(priority int, now mono.Time) bool {
	return now.Before(p.saturation.until) || p.waiting.MissedSince(priority, now.Add(-saturatedFor))
}

// AdmitTransaction refuses a new transaction of a priority while the target is saturated. Under a lasting
// overload a transaction displaces as many requests as it has statements, and a refusal within it wastes the
// work already done for it. With fair queueing, a customer that uses less than its share is admitted while requests
// that wait here miss their objective, which may be due to the load of another customer alone.
func (p *Pool) AdmitTransaction(priority int, customer topology.CustomerID) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.saturated(priority, now) || !now.Before(p.saturation.until) && p.waiting.WithinShare(customer, priority) {
		return nil
	}
	return result.New(result.TargetBusy, "%s is saturated, no new transaction", p.target.ID).After(saturatedFor)
}
