package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// saturatedFor is how long a target counts as saturated after it refused a statement for its
// load. A VM of many sends a target a few statements a second, so a shorter time would end
// between two of them.
const saturatedFor = time.Second

// saturation is whether a target refuses statements for its load: its slots are at work, and
// as many statements wait there as it takes.
type saturation struct{ until mono.Time }

func (s *saturation) note(refusal *result.Error, now mono.Time) {
	if refusal != nil && refusal.Code == result.TargetBusy {
		s.until = now.Add(saturatedFor)
	}
}

// saturated reports whether the target can't serve all requests of a priority: it refused one for
// its load, or one that waited here for a connection can't be answered within its objective.
func (p *Pool) saturated(priority int, now mono.Time) bool {
	return now.Before(p.saturation.until) || p.waiting.MissedSince(priority, now.Add(-saturatedFor))
}

// AdmitTransaction refuses a new transaction of a priority while the target is saturated. It answers the
// load that lasts and exceeds what the target can do: a transaction takes the place of as many callers as it
// has statements, and a refusal in its middle wastes what was done for it.
func (p *Pool) AdmitTransaction(priority int) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.saturated(priority, p.clock.Now()) {
		return nil
	}
	return result.New(result.TargetBusy, "%s is saturated, no new transaction", p.target.ID).After(saturatedFor)
}
