package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// firstService is taken before anything was measured.
	firstService = 5 * time.Millisecond
	// newWeight is the weight of the newest measurement in an average.
	newWeight = 0.1
	// reserveAt: slots are reserved while at least this many urgent requests
	// arrive in the time that a less urgent one holds a slot.
	reserveAt = 0.25
)

// average is an exponentially weighted moving average.
type average struct {
	value time.Duration
	known bool
}

func (a *average) add(d time.Duration) {
	if !a.known {
		a.value, a.known = d, true
		return
	}
	a.value += time.Duration(newWeight * float64(d-a.value))
}

// estimates are what the queue measured of its target.
type estimates struct {
	classes map[string]*average
	// low is the service time below Urgent.
	low average
	// urgentGap is the time between urgent arrivals, the last one at lastUrgent.
	urgentGap  average
	lastUrgent mono.Time
	urgentSeen bool
}

func (s *estimates) service(r *Request) time.Duration {
	if a, ok := s.classes[r.Class]; ok {
		return a.value
	}
	if r.Service > 0 {
		return r.Service
	}
	return firstService
}

func (s *estimates) ran(r *Request, d time.Duration) {
	a, ok := s.classes[r.Class]
	if !ok {
		a = &average{}
		s.classes[r.Class] = a
	}
	a.add(d)
	if r.Priority != Urgent {
		s.low.add(d)
	}
}

func (s *estimates) arrived(r *Request, now mono.Time) {
	if r.Priority != Urgent {
		return
	}
	if s.urgentSeen {
		s.urgentGap.add(now.Sub(s.lastUrgent))
	}
	s.lastUrgent, s.urgentSeen = now, true
}

// urgentOften reports whether a less urgent request that takes a slot is likely
// to make an urgent one wait. Silence counts: it ends the reservation.
func (s *estimates) urgentOften(now mono.Time) bool {
	if !s.urgentGap.known {
		return false
	}
	low := firstService
	if s.low.known {
		low = s.low.value
	}
	gap := max(s.urgentGap.value, now.Sub(s.lastUrgent))
	return float64(low) >= reserveAt*float64(gap)
}
