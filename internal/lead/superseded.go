package lead

import (
	"context"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// primarySuperseded is the reason to replace a primary in whose place the platform has promoted another target, by an order
// that arrived late or that is not this system's. The row then follows the target that leads.
const primarySuperseded = "primary_superseded"

// leaderCheckPeriod is how often targets that may lead in place of the primary are asked. Each question takes a slot.
const leaderCheckPeriod = 500 * time.Millisecond

// leaderCheck is what a coordinator knows of targets that lead in place of a row's primary.
type leaderCheck struct {
	// asked is when targets were last asked.
	asked mono.Time
	// superseded is the version of the row under which one answered that it leads a later term.
	superseded uint64
}

// checkLeader finds out whether another target than the primary leads a later term. It asks those that say so in their
// registration, and those that a late order may promote.
func (l *Lead) checkLeader(ctx context.Context, group topology.GroupID, now mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row, check := l.coordinator.Row(group), l.leaderChecks[group]
	if row == nil || !row.Open() || l.changing[group] || l.ofEarlierEra(row) || now.Sub(check.asked) < leaderCheckPeriod {
		return
	}
	targets := l.otherLeaders(row)
	if len(targets) == 0 {
		return
	}
	check.asked = now
	l.leaderChecks[group] = check
	go l.askLeaders(ctx, row, targets)
}

// otherLeaders returns the targets that may lead in place of the row's primary.
func (l *Lead) otherLeaders(row *lease.Row) []topology.Target {
	keepers := row.Keepers()
	var targets []topology.Target
	all := l.Directory.TargetsOf(row.Group)
	for i := range all {
		t := &all[i]
		if t.ID != row.Primary && !t.Superseded && (t.ClaimsPrimary || slices.Contains(keepers, t.ID)) {
			targets = append(targets, t.Target)
		}
	}
	return targets
}

func (l *Lead) askLeaders(ctx context.Context, row *lease.Row, targets []topology.Target) {
	for _, s := range l.statuses(ctx, targets) {
		if !s.status.Primary || s.status.Term <= row.Term {
			continue
		}
		l.Log.Warn("event=primary_superseded", "group", row.Group, "version", row.Version, "primary", row.Primary, "term", row.Term,
			"leader", s.target.ID, "leader_term", s.status.Term)
		l.mu.Lock()
		check := l.leaderChecks[row.Group]
		check.superseded = row.Version
		l.leaderChecks[row.Group] = check
		l.mu.Unlock()
	}
}
