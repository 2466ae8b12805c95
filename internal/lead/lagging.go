package lead

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// replicasLag is the reason to replace a primary that serves all reads of its group
	// because the replicas hold its log but are far behind in applying it.
	replicasLag = "replicas_lag"
	// saturatedShare is the share of the reporting VMs whose statements the primary must refuse. A
	// burst that it refuses to fewer VMs is over sooner than a change of the primary.
	saturatedShare = 0.3
	// minLagForChange is how far behind all replicas must be: more than any class accepts, and
	// several times as long as callers wait for a change of the primary.
	minLagForChange = 4 * time.Second
	// lagCheckPeriod is how often the replicas are queried, and lagChecks how many consecutive
	// checks must find them behind.
	lagCheckPeriod = time.Second
	lagChecks      = 2
	// lagChangePause is the minimum time between two such changes in a group. It doubles with each
	// further change, up to longestLagChangePause: where replicas lag permanently, the new ones
	// soon lag as well, and callers would wait for one change after another.
	lagChangePause        = 20 * time.Second
	longestLagChangePause = 20 * time.Minute
)

// lagState tracks how far a group's replicas lag behind.
type lagState struct {
	asked mono.Time
	// laggingChecks is the number of consecutive checks that found all replicas far behind.
	laggingChecks int
	// changedAt is when the primary was last changed because of the lag, and pause how long it then
	// stays.
	changedAt mono.Time
	pause     time.Duration
}

// checkReplicaLag asks the replicas of a group with a saturated primary how far they are behind. It
// handles a load under which replicas lag for tens of seconds: the primary alone then serves all
// reads and refuses a third of them. A replica that holds the whole log becomes a primary without
// lag, and the present primary a replica that has applied everything, so two of three targets serve
// reads again.
func (l *Lead) checkReplicaLag(ctx context.Context, group topology.GroupID, now mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row, g := l.coordinator.Row(group), l.lagState[group]
	if row == nil || !row.Open() || l.changing[group] || now.Sub(g.asked) < lagCheckPeriod {
		return
	}
	if !l.saturated(group, row.Primary, now) || g.changedAt != 0 && now.Sub(g.changedAt) < g.pause {
		g.laggingChecks = 0
		l.lagState[group] = g
		return
	}
	g.asked = now
	l.lagState[group] = g
	replicas := l.replicasOf(group, row.Primary)
	go func() {
		far := l.allFarBehind(ctx, replicas)
		l.mu.Lock()
		defer l.mu.Unlock()
		g := l.lagState[group]
		g.laggingChecks++
		if !far {
			g.laggingChecks = 0
		}
		l.lagState[group] = g
		l.Log.Info("event=replicas_looked_at", "group", group, "far_behind", far, "checks", g.laggingChecks)
	}()
}

// saturated reports whether the primary refuses statements of enough VMs.
func (l *Lead) saturated(group topology.GroupID, primary topology.TargetID, now mono.Time) bool {
	saturated, all := 0, 0
	for _, r := range l.reports[group] {
		if r.target != primary || now.Sub(r.at) > maxReportAge {
			continue
		}
		all++
		if r.saturated {
			saturated++
		}
	}
	return all > 0 && float64(saturated) >= saturatedShare*float64(all)
}

func (l *Lead) replicasOf(group topology.GroupID, primary topology.TargetID) []topology.Target {
	var replicas []topology.Target
	for _, t := range l.Directory.TargetsOf(group) {
		if t.ID != primary && !t.Leaving {
			replicas = append(replicas, t.Target)
		}
	}
	return replicas
}

// allFarBehind reports whether every replica answers and is far behind.
func (l *Lead) allFarBehind(ctx context.Context, replicas []topology.Target) bool {
	for _, t := range replicas {
		s, err := l.status(ctx, t)
		if err != nil || s.Primary || s.Lag < minLagForChange {
			return false
		}
	}
	return len(replicas) > 0
}

// replicasLag reports whether to change the group's primary because all replicas lag; the caller
// then changes it. While an earlier coordinator's promises may still be valid, the change would
// make callers wait for longer than it is worth.
func (l *Lead) replicasLag(group topology.GroupID, now mono.Time) bool {
	g := l.lagState[group]
	if g.laggingChecks < lagChecks || !l.coordinator.Settled(group, now) {
		return false
	}
	g.laggingChecks, g.changedAt, g.pause = 0, now, min(longestLagChangePause, max(lagChangePause, 2*g.pause))
	l.lagState[group] = g
	return true
}
