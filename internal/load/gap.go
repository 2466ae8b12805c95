package load

import (
	"slices"
	"time"
)

// Gap is the time without completed writes of a group around a fault.
type Gap struct {
	Group string `json:"group"`
	// Fault is the fault that the gap is attributed to, At when it was injected.
	Fault string        `json:"fault"`
	At    time.Duration `json:"at_ns"`
	// Length is the longest time without a completed write that ended after the
	// fault and began before the next one.
	Length time.Duration `json:"length_ns"`
	// Open is set when no write completed until the end of the load, so that
	// Length is a lower bound.
	Open bool `json:"open"`
	// Usual is the longest time without a completed write before the fault.
	Usual time.Duration `json:"usual_ns"`
	// FirstRefusal and FirstSuccess are the times from the fault to the first
	// refused and the first completed write after it; nil when there was none.
	FirstRefusal *time.Duration `json:"first_refusal_ns,omitempty"`
	FirstSuccess *time.Duration `json:"first_success_ns,omitempty"`
}

// faultWindow holds the times around a fault: start is when measuring begins, at
// is the fault, next is the next fault and end is when the load stops.
type faultWindow struct{ start, at, next, end time.Duration }

// measureGap computes a group's gap from the times of its completed and refused
// writes.
func measureGap(completed, refused []time.Duration, s faultWindow) Gap {
	completed, refused = slices.Sorted(slices.Values(completed)), slices.Sorted(slices.Values(refused))
	g := Gap{At: s.at, FirstRefusal: firstAfter(refused, s.at), FirstSuccess: firstAfter(completed, s.at)}
	last := s.start
	for _, done := range completed {
		if done < s.start {
			continue
		}
		if s.belongsToNextFault(last, done, g.Usual) {
			return g
		}
		if done < s.at {
			g.Usual = max(g.Usual, done-last)
		} else {
			g.Length = max(g.Length, done-last)
		}
		last = done
	}
	if rest := s.end - last; rest > max(g.Length, g.Usual) && !s.belongsToNextFault(last, s.end, g.Usual) {
		g.Length, g.Open = rest, true
	}
	return g
}

// belongsToNextFault reports whether the time between two completed writes is
// attributed to the next fault: when that fault was injected, the time was no
// longer than usual.
func (s faultWindow) belongsToNextFault(last, done, usual time.Duration) bool {
	return done >= s.next && s.next-last <= usual
}

func firstAfter(times []time.Duration, at time.Duration) *time.Duration {
	for _, t := range times {
		if t >= at {
			after := t - at
			return &after
		}
	}
	return nil
}
