package load

import (
	"slices"
	"time"
)

// Gap is a group's time without completed writes around a fault.
type Gap struct {
	Group string `json:"group"`
	// Fault that it is counted from, and when it came.
	Fault string        `json:"fault"`
	At    time.Duration `json:"at_ns"`
	// Length of the longest time without a completed write that ends after the
	// fault and began before the next one.
	Length time.Duration `json:"length_ns"`
	// Open: no write completed any more, so the length is a lower bound.
	Open bool `json:"open"`
	// Usual is the longest such time before the fault, for comparison.
	Usual time.Duration `json:"usual_ns"`
	// FirstRefusal and FirstSuccess after the fault, counted from it; nil when
	// there was none.
	FirstRefusal *time.Duration `json:"first_refusal_ns,omitempty"`
	FirstSuccess *time.Duration `json:"first_success_ns,omitempty"`
}

// span is when a fault counts: from start, when measuring begins, over the fault
// itself and until the next one, to end, when the load stops.
type span struct{ start, at, next, end time.Duration }

// measureGap looks at the completed and refused writes of a group.
func measureGap(completed, refused []time.Duration, s span) Gap {
	completed, refused = slices.Sorted(slices.Values(completed)), slices.Sorted(slices.Values(refused))
	g := Gap{At: s.at, FirstRefusal: firstAfter(refused, s.at), FirstSuccess: firstAfter(completed, s.at)}
	last := s.start
	for _, done := range completed {
		if done < s.start {
			continue
		}
		if s.leftToNext(last, done, g.Usual) {
			return g
		}
		if done < s.at {
			g.Usual = max(g.Usual, done-last)
		} else {
			g.Length = max(g.Length, done-last)
		}
		last = done
	}
	if rest := s.end - last; rest > max(g.Length, g.Usual) && !s.leftToNext(last, s.end, g.Usual) {
		g.Length, g.Open = rest, true
	}
	return g
}

// leftToNext: the time from one completed write to the other is the next fault's,
// since it was no longer than usual when that fault came.
func (s span) leftToNext(last, done, usual time.Duration) bool {
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
