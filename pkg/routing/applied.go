package routing

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Learn notes that the target reported p. Answers may cross: the highest stays.
func (f *Freshness) Learn(target topology.TargetID, p position.Position, now mono.Time) {
	a, known := f.targets[target]
	if known && !a.Position.Less(p) {
		return
	}
	a.Position, a.Learnt = p, now
	f.targets[target] = a
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
