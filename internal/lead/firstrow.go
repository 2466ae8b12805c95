package lead

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// firstRowDelay leaves time for the first listing and for the other VMs' registrations to
	// arrive.
	firstRowDelay = 300 * time.Millisecond
	// firstRowSettleTime is the longest wait for further registrations.
	firstRowSettleTime = 2 * time.Second
	// dutyHolderGrace is how long the other VMs wait for the holder of the duty to write first
	// rows.
	dutyHolderGrace = 2 * time.Second
)

// firstRows writes the rows of groups that have none, in the background.
func (l *Lead) firstRows(ctx context.Context, now mono.Time) {
	l.mu.Lock()
	due, fence := l.dueFirstRows(now), l.duty.Fence
	if len(due) == 0 || l.writingFirstRows {
		l.mu.Unlock()
		return
	}
	l.writingFirstRows = true
	l.mu.Unlock()
	go func() {
		l.writeFirstRows(ctx, due, fence)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.writingFirstRows = false
	}()
}

// dueFirstRows lists the groups without a row for which this VM should write one now.
func (l *Lead) dueFirstRows(now mono.Time) []topology.GroupID {
	if n := len(l.Directory.VMs()); n != l.vmCount {
		l.vmCount, l.vmCountChanged = n, now
	}
	if l.leaving || l.storeSeen == 0 && l.lastRead == 0 {
		return nil
	}
	var due []topology.GroupID
	wait := time.Duration(-1)
	for _, group := range l.groups() {
		if l.firstSeen[group] == 0 {
			l.firstSeen[group] = now
		}
		if l.holder.Row(group) != nil {
			continue
		}
		if wait < 0 {
			wait = l.firstRowWait()
		}
		seen := l.firstSeen[group]
		settled := min(max(seen, l.vmCountChanged), seen.Add(firstRowSettleTime))
		if now.Sub(max(settled, l.duty.seen)) >= wait {
			due = append(due, group)
		}
	}
	return due
}

// firstRowWait returns how long this VM waits before it writes first rows. The holder of the duty
// writes them; while nobody holds the duty, the first VM by rank claims it.
func (l *Lead) firstRowWait() time.Duration {
	switch {
	case l.duty.Holder == l.self.ID: // Also if an earlier incarnation of this VM holds it.
		return firstRowDelay
	case l.duty.Holder != "":
		return firstRowDelay + dutyHolderGrace + l.takeoverDelay("")
	}
	return firstRowDelay + l.takeoverDelay("")
}

// writeFirstRows writes rows as the holder of the promotion duty, so that one VM writes them all:
// groups with different coordinators would be handed over until one VM coordinates them all.
func (l *Lead) writeFirstRows(ctx context.Context, groups []topology.GroupID, fence uint64) {
	if !l.claimDutyForFirstRows(ctx, fence) {
		wait.For(ctx, firstRowDelay)
		return
	}
	started, end := l.startChanges(groups)
	defer end()
	written := l.writeAll(ctx, l.firstRowsOf(ctx, started))
	l.Log.Info("event=first_rows", "groups", len(groups), "written", len(written))
	l.notify(written...) // Few messages for all groups, as every VM answers each message.
	if len(written) == 0 {
		wait.For(ctx, firstRowDelay)
	}
}

// statusesAtOnce bounds the targets that are asked for their status at the same time: each takes a
// new connection, and on a small VM hundreds at once would all exceed their time limit.
const statusesAtOnce = 64

// firstRowsOf returns the first rows of those groups whose primary answers that it leads.
func (l *Lead) firstRowsOf(ctx context.Context, groups []topology.GroupID) []rowChange {
	rows := make([]*lease.Row, len(groups))
	var asking errgroup.Group
	asking.SetLimit(statusesAtOnce)
	witnesses := l.witnesses()
	for i, group := range groups {
		primary, ok := l.selfReportedPrimary(group)
		if !ok {
			continue
		}
		asking.Go(func() error {
			rows[i] = l.firstRow(ctx, group, primary, witnesses)
			return nil
		})
	}
	_ = asking.Wait() // No call returns an error.
	var changes []rowChange
	for _, row := range rows {
		if row != nil {
			changes = append(changes, rowChange{to: row})
		}
	}
	return changes
}

// claimDutyForFirstRows reports whether this VM holds the duty. It claims the duty if the fence has
// not changed since this VM's turn came, that is, if nobody held it or its holder left the first
// rows unwritten.
//
// The duty is not taken from a VM that has just received it, or the VMs would claim it from each
// other forever.
func (l *Lead) claimDutyForFirstRows(ctx context.Context, fence uint64) bool {
	if err := l.readDecisions(ctx); err != nil {
		l.Log.Info("event=duty_not_claimed", "error", err)
		return false
	}
	l.mu.Lock()
	ours, present := l.holdsDuty(), l.duty
	l.mu.Unlock()
	switch {
	case ours:
		return true
	case present.Fence != fence:
		return false
	}
	if err := l.claimDuty(ctx, present); err != nil {
		l.Log.Info("event=duty_not_claimed", "error", err)
		return false
	}
	return true
}

func (l *Lead) selfReportedPrimary(group topology.GroupID) (topology.Target, bool) {
	for _, t := range l.Directory.TargetsOf(group) {
		if t.ClaimsPrimary {
			return t.Target, true
		}
	}
	return topology.Target{}, false
}

// firstRow returns a group's first row, or nil if its primary does not answer that it leads.
func (l *Lead) firstRow(ctx context.Context, group topology.GroupID, primary topology.Target, witnesses []topology.VMID) *lease.Row {
	status, err := l.status(ctx, primary)
	if err != nil || !status.Primary {
		l.Log.Info("event=first_row_deferred", "group", group, "primary", primary.ID, "error", err)
		return nil
	}
	era := l.latestEra()
	row := &lease.Row{
		Group: group, Version: lease.FirstVersion(era), Term: status.Term, Primary: primary.ID,
		Coordinator: l.self.ID, Incarnation: l.self.Incarnation, Fence: 1, Witnesses: witnesses,
	}
	if c := l.Directory.Configuration(); c != nil {
		row.Quorum = l.newQuorum(group, primary.ID, c.SyncReplicas[group])
	}
	if era > 0 {
		row = row.FirstAfterRestoration()
	}
	return row
}
