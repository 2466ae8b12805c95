package lead

import (
	"context"
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// maxReportAge is how long a report is valid: a few renewals.
	maxReportAge = 1200 * time.Millisecond
	// maxAnswerAge is how recently the primary must have answered a VM for the VM to report it as
	// reached: about the time another VM needs to detect that it does not answer. Where many VMs
	// send it few requests each, most of them would otherwise still report a primary as reached
	// that has just failed.
	maxAnswerAge = 400 * time.Millisecond
	// failedAfter is how long a VM must have been unable to reach the primary before the primary
	// counts as failing for it: longer than it takes to lose a connection and open a new one behind
	// a full queue.
	failedAfter = 300 * time.Millisecond
	// failedShare is the share of the reporting VMs for which the primary must fail. A primary that
	// is cut off from fewer VMs serves most callers better than a replacement would.
	failedShare = 0.4
	// minFailingVMs is the number of VMs for which the primary must fail if there are many VMs.
	// Before any callers connect, and in groups with little use, the fault may be in the only VM
	// that reports.
	minFailingVMs = 3
	// missingAfter is how long a primary's registration may be absent, while the store answers,
	// before the primary counts as gone. A registration that expired during an outage is back
	// within two seconds.
	missingAfter = 2500 * time.Millisecond
	// handoverRetryDelay is the pause after an attempt to change a row before the next one, which
	// would likely fail as well if made at once.
	handoverRetryDelay = 500 * time.Millisecond
)

// checkPrimaries replaces primaries that fail or leave in the groups that this VM coordinates, and
// completes handovers that were started.
func (l *Lead) checkPrimaries(ctx context.Context, now mono.Time) {
	l.mu.Lock()
	groups := l.coordinator.Groups()
	l.mu.Unlock()
	var moving []topology.GroupID
	var newCoordinator topology.VM
	for _, group := range groups {
		l.checkReplicaLag(ctx, group, now)
		l.checkMembers(ctx, group, now)
		l.checkUnsettled(ctx, group, now)
		l.checkLeader(ctx, group, now)
		l.mu.Lock()
		if row := l.coordinator.Row(group); row == nil || l.ofEarlierEra(row) {
			l.mu.Unlock()
			continue
		}
		reason := l.reasonToReplace(group, now)
		resume := reason == "" && !l.changing[group] && l.coordinator.Withdrawn(group)
		holder, move := l.dutyHolderFor(group, now)
		l.mu.Unlock()
		switch {
		case reason != "":
			l.startChange(group, func() {
				l.replace(ctx, group, reason)
				wait.For(ctx, handoverRetryDelay)
			})
		case resume:
			l.startChange(group, func() { l.resume(ctx, group) })
		case move:
			moving, newCoordinator = append(moving, group), holder
		}
	}
	if started, end := l.startChanges(moving); len(started) > 0 {
		go func() {
			defer end()
			l.handOver(ctx, started, newCoordinator)
		}()
	}
	l.relocate(ctx, now)
}

// resume resumes promises after a change of the primary whose outcome was never known, once
// the primary has recovered by itself.
func (l *Lead) resume(ctx context.Context, group topology.GroupID) {
	row := l.Row(group)
	if row == nil || row.Coordinator != l.self.ID {
		return
	}
	err := l.commit(ctx, row, row.Resumed())
	l.Log.Info("event=replacement_given_up", "group", group, "error", err)
	if err != nil {
		wait.For(ctx, handoverRetryDelay)
	}
}

// primaryFailed is the reason to replace a primary that enough VMs report as failing.
const primaryFailed = "primary_failed"

// reasonToReplace returns the reason to replace the group's primary, or "".
func (l *Lead) reasonToReplace(group topology.GroupID, now mono.Time) string {
	row := l.coordinator.Row(group)
	if row == nil || l.changing[group] {
		return ""
	}
	if !row.Open() {
		return row.Handover.Reason
	}
	if l.leaving {
		return ""
	}
	if l.leaderChecks[group].superseded == row.Version {
		return primarySuperseded
	}
	if l.hasFailed(row, now) {
		return primaryFailed
	}
	if l.replicasLag(group, now) {
		return replicasLag
	}
	t, ok := l.Directory.Target(row.Primary)
	switch {
	case ok && t.Superseded:
		return "primary_restarted"
	case ok:
		delete(l.primaryMissingSince, group)
		// It keeps serving for some seconds: while an earlier coordinator's promises may still be
		// valid, stopping it has no benefit.
		if t.Leaving && l.coordinator.Settled(group, now) {
			return "primary_leaving"
		}
	case l.primaryMissingSince[group] == 0:
		l.primaryMissingSince[group] = now
	case now.Sub(l.primaryMissingSince[group]) > missingAfter && !l.storeLost(now):
		return "primary_gone"
	}
	return ""
}

// hasFailed evaluates the VMs' reports about the primary.
func (l *Lead) hasFailed(row *lease.Row, now mono.Time) bool {
	failing, reaching := 0, 0
	for _, r := range l.reports[row.Group] {
		switch {
		case r.target != row.Primary || now.Sub(r.at) > maxReportAge:
		case r.failing >= failedAfter:
			failing++
		case r.reached:
			reaching++
		}
	}
	needed := min(minFailingVMs, int(math.Ceil(failedShare*float64(len(l.Directory.VMs())))))
	return failing >= max(1, needed) && float64(failing) >= failedShare*float64(failing+reaching)
}
