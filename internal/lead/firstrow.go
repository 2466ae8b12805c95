package lead

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// firstDelay lets the first listing, and the other VMs' registrations, come.
	firstDelay = 300 * time.Millisecond
	// firstSettle is how long registrations that go on coming are waited for at most.
	firstSettle = 2 * time.Second
	// firstGrace is how long the holder of the duty is waited for to write first rows.
	firstGrace = 2 * time.Second
)

// firstRows writes the rows of groups that have none.
func (l *Lead) firstRows(ctx context.Context, now mono.Time) {
	l.mu.Lock()
	due, fence := l.dueFirstRows(now), l.duty.Fence
	if len(due) == 0 || l.writingFirst {
		l.mu.Unlock()
		return
	}
	l.writingFirst = true
	l.mu.Unlock()
	go func() {
		l.writeFirstRows(ctx, due, fence)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.writingFirst = false
	}()
}

// dueFirstRows lists the groups without a row whose row this VM is to write now.
func (l *Lead) dueFirstRows(now mono.Time) []topology.GroupID {
	if n := len(l.Directory.VMs()); n != l.vmsKnown {
		l.vmsKnown, l.vmsChanged = n, now
	}
	if l.leaving || l.storeSeen == 0 {
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
			wait = l.firstWait()
		}
		seen := l.firstSeen[group]
		settled := min(max(seen, l.vmsChanged), seen.Add(firstSettle))
		if now.Sub(max(settled, l.duty.seen)) >= wait {
			due = append(due, group)
		}
	}
	return due
}

// firstWait is how long this VM waits before it writes first rows. The holder of the duty
// writes them; while nobody has the duty, the first VM by rank takes it.
func (l *Lead) firstWait() time.Duration {
	switch {
	case l.duty.Holder == l.self.ID: // Also if an earlier start of this VM has it.
		return firstDelay
	case l.duty.Holder != "":
		return firstDelay + firstGrace + l.delay("")
	}
	return firstDelay + l.delay("")
}

// writeFirstRows writes rows under the duty to promote, so that one VM writes them all: groups of several
// coordinators would go from one to the other until all are at one.
func (l *Lead) writeFirstRows(ctx context.Context, groups []topology.GroupID, fence uint64) {
	if !l.takeDutyForFirstRows(ctx, fence) {
		wait.For(ctx, firstDelay)
		return
	}
	rows := make([]*lease.Row, len(groups))
	var done sync.WaitGroup
	for i, group := range groups {
		primary, ok := l.selfStyledPrimary(group)
		if !ok {
			continue
		}
		done.Add(1)
		if !l.start(group, func() {
			defer done.Done()
			rows[i] = l.firstRow(ctx, group, primary)
		}) {
			done.Done()
		}
	}
	done.Wait()
	var written []*lease.Row
	for _, row := range rows {
		if row != nil {
			written = append(written, row)
		}
	}
	l.notify(written...) // One message of all: each is answered by all VMs.
	if len(written) == 0 {
		wait.For(ctx, firstDelay)
	}
}

// takeDutyForFirstRows reports whether this VM has the duty, and takes it if it is still as it was when
// this VM's turn came: nobody's, or of a VM that has left the first rows unwritten.
//
// A holder that has just got it is left alone, or the VMs would claim the duty from each other for good.
func (l *Lead) takeDutyForFirstRows(ctx context.Context, fence uint64) bool {
	if err := l.readDecisions(ctx); err != nil {
		l.Log.Info("event=duty_not_claimed", "error", err)
		return false
	}
	l.mu.Lock()
	ours, present := l.dutyIsOurs(), l.duty
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

func (l *Lead) selfStyledPrimary(group topology.GroupID) (topology.Target, bool) {
	for _, t := range l.Directory.TargetsOf(group) {
		if t.ReportsPrimary {
			return t.Target, true
		}
	}
	return topology.Target{}, false
}

// firstRow writes a group's first row and returns it, or nil.
func (l *Lead) firstRow(ctx context.Context, group topology.GroupID, primary topology.Target) *lease.Row {
	status, err := l.status(ctx, primary)
	if err != nil || !status.Primary {
		l.Log.Info("event=first_row_put_off", "group", group, "primary", primary.ID, "error", err)
		return nil
	}
	row := &lease.Row{
		Group: group, Version: 1, Term: status.Term, Primary: primary.ID,
		Coordinator: l.self.ID, Incarnation: l.self.Incarnation, Fence: 1, Witnesses: l.witnesses(),
	}
	err = l.write(ctx, row)
	l.Log.Info("event=first_row", "group", group, "primary", primary.ID, "term", status.Term, "error", err)
	if err != nil {
		return nil
	}
	return row
}
