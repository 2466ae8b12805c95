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
	// Length of the longest time without a completed write that ends after the fault.
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

// measureGap looks at the completed and refused writes of a group from start,
// when measuring begins, to end, when the load stops.
func measureGap(completed, refused []time.Duration, start, at, end time.Duration) Gap {
	completed, refused = slices.Sorted(slices.Values(completed)), slices.Sorted(slices.Values(refused))
	g := Gap{At: at, FirstRefusal: firstAfter(refused, at), FirstSuccess: firstAfter(completed, at)}
	last := start
	for _, done := range completed {
		length := done - last
		switch {
		case done < start:
			continue
		case done < at:
			g.Usual = max(g.Usual, length)
		default:
			g.Length = max(g.Length, length)
		}
		last = done
	}
	if rest := end - last; rest > max(g.Length, g.Usual) {
		g.Length, g.Open = rest, true
	}
	return g
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
