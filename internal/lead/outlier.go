package lead

import (
	"context"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// primaryOutlier is the reason to replace a primary that answers much more slowly than the replicas.
	primaryOutlier = "primary_outlier"
	// outlierChecks is how many consecutive checks must find the primary an outlier. They take longer than a burst
	// of load, which is over sooner than the pause that a change of the primary causes has paid off.
	outlierChecks = 15
)

// outlierState tracks for how long a group's primary has been an outlier.
type outlierState struct {
	primary topology.TargetID
	asked   mono.Time
	// checks is the number of consecutive checks that found it an outlier, while a replica held all that is known to
	// be acknowledged.
	checks int
}

// ReplaceSlow makes this VM replace primaries that are slow in the groups that it coordinates. isSlow reports whether
// this VM's own statements show a group's primary as much slower than the replicas. It must be called before Run.
//
// A primary that fails statements is not replaced for that reason: it may not answer the order to step down, and what
// only it holds would be lost.
func (l *Lead) ReplaceSlow(isSlow func(topology.GroupID, topology.TargetID) bool) { l.isSlow = isSlow }

// checkOutlier checks whether a group's primary is an outlier that a replica could replace without loss. isSlow
// and the positions must not be called while mu is held, since the gateway asks for rows under its own lock.
func (l *Lead) checkOutlier(ctx context.Context, group topology.GroupID, now mono.Time) {
	if l.isSlow == nil || l.positions == nil {
		return
	}
	l.mu.Lock()
	row := l.coordinator.Row(group)
	due := row != nil && row.Open() && !l.changing[group] && l.startOutlierCheck(row, now)
	l.mu.Unlock()
	if !due {
		return
	}
	newest, known := l.positions.Newest(group)
	if !known || !l.isSlow(group, row.Primary) {
		l.countOutlierCheck(group, false)
		return
	}
	go func() {
		complete := l.anyHolds(ctx, l.replicasOf(group, row.Primary), newest.Position)
		checks := l.countOutlierCheck(group, complete)
		l.Log.Info("event=primary_outlier", "group", group, "target", row.Primary, "replica_complete", complete, "checks", checks)
	}()
}

// startOutlierCheck reports whether a check of the row's primary is due, and records its time.
func (l *Lead) startOutlierCheck(row *lease.Row, now mono.Time) bool {
	o := l.outlierState[row.Group]
	if o.primary == row.Primary && now.Sub(o.asked) < lagCheckPeriod {
		return false
	}
	if o.primary != row.Primary {
		o = outlierState{primary: row.Primary}
	}
	o.asked = now
	l.outlierState[row.Group] = o
	return true
}

// countOutlierCheck records the result of a check and returns the number of consecutive ones that found an outlier.
func (l *Lead) countOutlierCheck(group topology.GroupID, found bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.outlierState[group]
	o.checks++
	if !found {
		o.checks = 0
	}
	l.outlierState[group] = o
	return o.checks
}

// anyHolds reports whether a replica has received the position and is not far behind in applying it.
func (l *Lead) anyHolds(ctx context.Context, replicas []topology.Target, p position.Position) bool {
	for _, t := range replicas {
		s, err := l.status(ctx, t)
		if err == nil && !s.Primary && !s.Received.Less(p) && s.Lag < minLagForChange {
			return true
		}
	}
	return false
}

// outlierLasts reports whether to change the row's primary because it is an outlier; the caller then changes it. The
// pause after a change is shared with changes because of lag, so that the two reasons don't take turns.
func (l *Lead) outlierLasts(row *lease.Row, now mono.Time) bool {
	o, g := l.outlierState[row.Group], l.lagState[row.Group]
	if o.primary != row.Primary || o.checks < outlierChecks || !l.coordinator.Settled(row.Group, now) {
		return false
	}
	if g.changedAt != 0 && now.Sub(g.changedAt) < g.pause {
		return false
	}
	delete(l.outlierState, row.Group)
	g.laggingChecks = 0
	g.primaryChanged(now)
	l.lagState[row.Group] = g
	return true
}
