package routing

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// RecordPosition records that the target reported position p. Answers may arrive out of
// order, so the highest position is kept.
func (f *Freshness) RecordPosition(target topology.TargetID, p position.Position, now mono.Time) {
	a, known := f.targets[target]
	if known && !a.Position.Less(p) {
		if a.Position == p {
			a.lastReport = max(a.lastReport, now)
			f.targets[target] = a
		}
		return
	}
	a.Position, a.RecordedAt, a.lastReport = p, now, now
	f.targets[target] = a
}

// MarkRefused records that the target refused a read because it lacks the position:
// as far as is known, the target still holds no more than it last reported.
func (f *Freshness) MarkRefused(target topology.TargetID, now mono.Time) {
	a, known := f.targets[target]
	if known {
		a.lastReport = max(a.lastReport, now)
		f.targets[target] = a
	}
}

// CatchUp estimates how long the target takes to hold the floor; 0 when nothing
// is known. The lag is the time between the primary's writes of the target's
// position and of the floor. It is counted from the target's last report, and the
// target is assumed to apply the log as fast as the primary wrote it. A target
// that makes no progress doesn't get a shorter estimate: each refusal is a report
// and restarts the count.
func (f *Freshness) CatchUp(target topology.TargetID, floor position.Position, now mono.Time) time.Duration {
	a, known := f.targets[target]
	if !known || len(f.samples) == 0 || f.Holds(a.Position, floor) {
		return 0
	}
	floorSample := len(f.samples) - 1
	for i := floorSample; i >= 0 && f.Holds(f.samples[i].Position, floor); i-- {
		floorSample = i
	}
	behind := f.samples[floorSample].Begun.Sub(f.writtenAt(a.Position))
	return max(0, behind-now.Sub(a.lastReport))
}

// writtenAt estimates when the primary's newest position was p, by linear
// interpolation between the samples around p, which may be some 100 ms apart.
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
	fraction := float64(p.Index-before.Position.Index) / float64(after.Position.Index-before.Position.Index)
	return before.Begun.Add(time.Duration(fraction * float64(after.Begun.Sub(before.Begun))))
}

// MarkBehind records that the target answered ReplicaBehind at position p. The
// target is avoided until its position advances: asking it earlier would only
// repeat the bounded wait.
func (f *Freshness) MarkBehind(target topology.TargetID, p position.Position, now mono.Time) {
	f.RecordPosition(target, p, now)
	a := f.targets[target]
	a.behindAt, a.behindSet = p, true
	f.targets[target] = a
}

// Behind reports whether the target is avoided because its position has not
// advanced since MarkBehind.
func (f *Freshness) Behind(target topology.TargetID) bool {
	a := f.targets[target]
	return a.behindSet && !a.behindAt.Less(a.Position)
}

// Applied returns the highest position that the target is known to hold, and
// false when none is known.
func (f *Freshness) Applied(target topology.TargetID) (Applied, bool) {
	a, ok := f.targets[target]
	return a, ok
}

// Forget drops what is known of a target that was rebuilt and may hold less.
func (f *Freshness) Forget(target topology.TargetID) { delete(f.targets, target) }
