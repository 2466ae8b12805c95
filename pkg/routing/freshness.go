// Package routing decides which target runs a request, by the position that each
// target is known to hold, the maximum age of its data, and the request's needs.
//
// It does no I/O, reads no clock and draws no random numbers of its own. Its types
// are not safe for concurrent use; callers must lock.
package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Sample is the primary's newest position, as returned by a fetch or request that
// began at Begun on the local clock. It must come from a pooler that held the
// right to acknowledge, else a replaced primary would make old data look new.
type Sample struct {
	Begun    mono.Time
	Position position.Position
}

// Applied is the highest position a target is known to hold.
type Applied struct {
	Position position.Position
	// RecordedAt is when the target first reported Position.
	RecordedAt mono.Time
	// lastReport is when the target last indicated that it holds no more than
	// Position.
	lastReport mono.Time
	// behindAt is the position at which the target answered ReplicaBehind. It is
	// valid if behindSet.
	behindAt  position.Position
	behindSet bool
}

// Freshness bounds the age of the data of each target of one group.
type Freshness struct {
	maxAge     time.Duration
	resolution time.Duration
	version    uint64
	terms      terms
	// samples ascend in both start time and position. A sample that began no later
	// than another one and has no lower position bounds no age any tighter, so it
	// is not kept.
	samples []Sample
	targets map[topology.TargetID]Applied
}

// NewFreshness returns a Freshness that keeps samples up to maxAge old, thinned so
// that a shown age exceeds the one that all samples would show by at most
// resolution. It holds fewer than 4*maxAge/resolution+4 samples: two neighbouring
// gaps together exceed the resolution, except around a late sample, which itself
// must follow a gap of more than the resolution.
func NewFreshness(maxAge, resolution time.Duration) *Freshness {
	return &Freshness{maxAge: maxAge, resolution: resolution, targets: make(map[topology.TargetID]Applied)}
}

// SetGroup applies the term and the history of the group's row, and drops the
// samples of lost positions. A row older than the last one is ignored.
func (f *Freshness) SetGroup(g *topology.Group) {
	if g.Version < f.version {
		return
	}
	f.version = g.Version
	f.terms = terms{current: g.Term, history: append(f.terms.history[:0], g.History...)}
	kept := f.samples[:0]
	for _, s := range f.samples {
		if f.terms.survives(s.Position) {
			kept = append(kept, s)
		}
	}
	f.samples = kept
}

// Holds reports whether a target at p is known to hold all of the log up to want,
// according to the row passed to SetGroup.
func (f *Freshness) Holds(p, want position.Position) bool { return f.terms.holds(p, want) }

// AddSample records a sample of the primary's newest position. Samples may arrive
// in any order.
func (f *Freshness) AddSample(s Sample) {
	if !f.terms.survives(s.Position) || s.Position.Term < f.terms.current {
		return
	}
	i := sort.Search(len(f.samples), func(i int) bool { return f.samples[i].Begun >= s.Begun })
	if i < len(f.samples) && !s.Position.Less(f.samples[i].Position) {
		return // A later fetch returned the same or a lower position.
	}
	from := i
	for from > 0 && !f.samples[from-1].Position.Less(s.Position) {
		from-- // An earlier fetch returned the same or a higher position.
	}
	if i < len(f.samples) && f.samples[i].Begun == s.Begun {
		i++ // Of two fetches that began at the same time, this one returned the lower position.
	}
	late := i < len(f.samples)
	if late && from == i && from > 0 && s.Begun.Sub(f.samples[from-1].Begun) <= f.resolution {
		return // The preceding sample shows the same age within the resolution.
	}
	f.samples = slices.Replace(f.samples, from, i, s)
	f.thin()
	f.expire()
	f.check()
}

// thin drops the second newest sample if the third newest shows its age within
// the resolution. The third newest is never dropped because of a later sample, so
// the errors do not accumulate.
func (f *Freshness) thin() {
	n := len(f.samples)
	if n < 3 || f.samples[n-1].Begun.Sub(f.samples[n-3].Begun) > f.resolution {
		return
	}
	f.samples = append(f.samples[:n-2], f.samples[n-1])
}

func (f *Freshness) expire() {
	oldest := f.samples[len(f.samples)-1].Begun.Add(-f.maxAge)
	n := 0
	for n < len(f.samples)-1 && f.samples[n].Begun.Before(oldest) {
		n++
	}
	f.samples = slices.Delete(f.samples, 0, n)
}

func (f *Freshness) check() {
	if !invariant.Enabled() {
		return
	}
	for i := 1; i < len(f.samples); i++ {
		a, b := f.samples[i-1], f.samples[i]
		if a.Begun < b.Begun && a.Position.Less(b.Position) {
			continue
		}
		invariant.Check(false, "samples %v and %v out of order", a, b)
	}
}

// ShownAge returns an upper bound on the age of the target's data, and false if no
// sample shows one. A target that holds a sample's position holds all that was
// committed when the sample's fetch began.
func (f *Freshness) ShownAge(target topology.TargetID, now mono.Time) (time.Duration, bool) {
	applied, ok := f.targets[target]
	if !ok {
		return 0, false
	}
	for i := len(f.samples) - 1; i >= 0; i-- {
		if f.Holds(applied.Position, f.samples[i].Position) {
			return now.Sub(f.samples[i].Begun), true
		}
	}
	return 0, false
}

// AgeFloor converts an age into a position: the data of a target that holds the
// position is at most staleness old. It returns false when no sample is recent
// enough.
func (f *Freshness) AgeFloor(staleness time.Duration, now mono.Time) (position.Position, bool) {
	i := sort.Search(len(f.samples), func(i int) bool { return now.Sub(f.samples[i].Begun) <= staleness })
	if i == len(f.samples) {
		return position.Position{}, false
	}
	return f.samples[i].Position, true
}

// Newest returns the newest position that the primary is known to have held, or
// the zero position if none is known.
func (f *Freshness) Newest() position.Position {
	if len(f.samples) == 0 {
		return position.Position{}
	}
	return f.samples[len(f.samples)-1].Position
}

// NewestSample returns the sample whose fetch began last, and false if there is
// none.
func (f *Freshness) NewestSample() (Sample, bool) {
	if len(f.samples) == 0 {
		return Sample{}, false
	}
	return f.samples[len(f.samples)-1], true
}

// Samples returns the number of samples held.
func (f *Freshness) Samples() int { return len(f.samples) }
