package routing

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Learn notes that the target reported p. Answers may cross: the highest stays.
func (f *Freshness) Learn(target topology.TargetID, p position.Position, now mono.Time) {
	a, known := f.targets[target]
	if known && !a.Position.Less(p) {
		if a.Position == p {
			a.seen = max(a.seen, now)
			f.targets[target] = a
		}
		return
	}
	a.Position, a.Learnt, a.seen = p, now, now
	f.targets[target] = a
}

// Refused notes that the target refused a position that it does not hold: it holds no more than
// what is known of it, as far as anybody can tell.
func (f *Freshness) Refused(target topology.TargetID, now mono.Time) {
	a, known := f.targets[target]
	if known {
		a.seen = max(a.seen, now)
		f.targets[target] = a
	}
}

// CatchUp is in how long the target is expected to hold the floor. It was seen as far behind as
// lies between the samples of the two positions, and is taken to apply the log as fast as the
// primary has written it; one that stands still is seen further behind with each refusal.
func (f *Freshness) CatchUp(target topology.TargetID, floor position.Position, now mono.Time) time.Duration {
	a, known := f.targets[target]
	if !known || len(f.samples) == 0 || f.Holds(a.Position, floor) {
		return 0
	}
	wanted := len(f.samples) - 1
	for i := wanted; i >= 0 && f.Holds(f.samples[i].Position, floor); i-- {
		wanted = i
	}
	behind := f.samples[wanted].Begun.Sub(f.writtenAt(a.Position))
	return max(0, behind-now.Sub(a.seen))
}

// writtenAt is about when the primary's newest position was p: drawn straight between the
// samples around it, which may be some 100 ms apart.
func (f *Freshness) writtenAt(p position.Position) mono.Time {
	next := 0
	for next < len(f.samples) && f.Holds(p, f.samples[next].Position) {
		next++
	}
	switch next {
	case 0:
		return f.samples[0].Begun
	case len(f.samples):
		return f.samples[next-1].Begun
	}
	before, after := f.samples[next-1], f.samples[next]
	if before.Position.Term != p.Term || after.Position.Term != p.Term {
		return before.Begun
	}
	part := float64(p.Index-before.Position.Index) / float64(after.Position.Index-before.Position.Index)
	return before.Begun.Add(time.Duration(part * float64(after.Begun.Sub(before.Begun))))
}

// MarkBehind notes that the target answered ReplicaBehind at position p. It is
// avoided until its position moves: asking it again before would only repeat the
// bounded wait.
func (f *Freshness) MarkBehind(target topology.TargetID, p position.Position, now mono.Time) {
	f.Learn(target, p, now)
	a := f.targets[target]
	a.behind, a.hasBehind = p, true
	f.targets[target] = a
}

// Behind reports whether the target is avoided since MarkBehind.
func (f *Freshness) Behind(target topology.TargetID) bool {
	a := f.targets[target]
	return a.hasBehind && !a.behind.Less(a.Position)
}

// Applied returns what the target is known to hold.
func (f *Freshness) Applied(target topology.TargetID) (Applied, bool) {
	a, ok := f.targets[target]
	return a, ok
}

// Forget drops what is known of a target: it was rebuilt, and may hold less.
func (f *Freshness) Forget(target topology.TargetID) { delete(f.targets, target) }
