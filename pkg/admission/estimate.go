package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// defaultService is the service time assumed before any measurement.
	defaultService = 5 * time.Millisecond
	// sampleWeight is the weight of the newest measurement in an average.
	sampleWeight = 0.1
	// reserveThreshold is the number of urgent requests expected to arrive while a
	// less urgent one holds a slot, at or above which slots are reserved.
	reserveThreshold = 0.25
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
	a.value += time.Duration(sampleWeight * float64(d-a.value))
}

// estimates holds the queue's measurements of its target.
type estimates struct {
	classes map[string]*average
	// lowerService is the service time of priorities below Urgent.
	lowerService average
	// urgentGap is the time between urgent arrivals, the last of which was at
	// lastUrgent.
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
	return defaultService
}

// ran records that a request held a slot for d.
func (s *estimates) ran(r *Request, d time.Duration) {
	a, ok := s.classes[r.Class]
	if !ok {
		a = &average{}
		s.classes[r.Class] = a
	}
	a.add(d)
	if r.Priority != Urgent {
		s.lowerService.add(d)
	}
}

// arrived records the arrival of a request.
func (s *estimates) arrived(r *Request, now mono.Time) {
	if r.Priority != Urgent {
		return
	}
	if s.urgentSeen {
		s.urgentGap.add(now.Sub(s.lastUrgent))
	}
	s.lastUrgent, s.urgentSeen = now, true
}

// urgentFrequent reports whether a less urgent request that takes a slot is likely
// to make an urgent one wait. The time since the last urgent arrival counts as a
// gap, so that the reservation ends when urgent requests stop.
func (s *estimates) urgentFrequent(now mono.Time) bool {
	if !s.urgentGap.known {
		return false
	}
	lowerService := defaultService
	if s.lowerService.known {
		lowerService = s.lowerService.value
	}
	gap := max(s.urgentGap.value, now.Sub(s.lastUrgent))
	return float64(lowerService) >= reserveThreshold*float64(gap)
}
