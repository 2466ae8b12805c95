package lead

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// rightsPollPeriod is how often to check whether all rights have ended, and reminderPeriod how
	// often the VMs that have not confirmed it are notified again.
	rightsPollPeriod = 5 * time.Millisecond
	reminderPeriod   = 60 * time.Millisecond
	// longestReminderPeriod is the limit up to which the time between two reminders doubles. The
	// VMs that do not confirm are mostly cut off, and a coordinator that reminds many VMs without a
	// pause becomes silent itself and loses its groups.
	longestReminderPeriod = 250 * time.Millisecond
)

// replacement is the replacement of one group's primary.
type replacement struct {
	*Lead
	group topology.GroupID
	row   *lease.Row
	began time.Time
}

// replace moves a group to another primary: it closes the row, waits until all rights have ended,
// chooses the candidate, promotes it, and opens the row.
func (l *Lead) replace(ctx context.Context, group topology.GroupID, reason string) {
	r := &replacement{Lead: l, group: group, began: time.Now()}
	r.setReplacing(true)
	defer r.setReplacing(false)
	err := r.run(ctx, reason)
	registered, staying := l.countTargets(group)
	l.Log.Info("event=primary_replacement", "group", group, "reason", reason, "targets", registered, "staying", staying,
		"error", err, "took", time.Since(r.began))
}

// setReplacing records whether the replacement is in progress and may send commands to targets.
func (r *replacement) setReplacing(replacing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replacing[r.group] = replacing
}

// countTargets counts the group's registered targets, and how many of them have not announced that
// they are leaving.
func (l *Lead) countTargets(group topology.GroupID) (registered, staying int) {
	targets := l.Directory.TargetsOf(group)
	for i := range targets {
		if !targets[i].Leaving {
			staying++
		}
	}
	return len(targets), staying
}

func (r *replacement) run(ctx context.Context, reason string) error {
	r.row = r.coordinatedRow()
	if r.row == nil {
		return errSuperseded
	}
	isNew := r.row.Open()
	if isNew {
		if err := r.close(ctx, reason); err != nil {
			return err
		}
	}
	if r.row.Handover.Candidate == "" {
		if err := r.nominate(ctx, reason, isNew); err != nil || r.row.Open() {
			return err
		}
	}
	return r.promote(ctx)
}

// nominate chooses the candidate, or opens the row for a target that leads already. isNew is set if the row has just been
// closed, as there was a replica to promote.
func (r *replacement) nominate(ctx context.Context, reason string, isNew bool) error {
	if r.row.Handover.Reason == lease.RestoredReason || r.row.Handover.Reason == primarySuperseded {
		if err := r.reopenForLeader(ctx); !errors.Is(err, errNoLeader) {
			return err
		}
	}
	if !isNew && r.row.Quorum != nil {
		if err := r.awaitSuccessor(ctx); err != nil {
			return r.keepPrimary(ctx, err)
		}
	}
	// Both run in parallel: a primary that is cut off takes the whole timeout of a connection.
	stepDown := make(chan stepDownResult, 1)
	go func() { stepDown <- r.stepDown(ctx, reason) }()
	err := r.awaitRightsEnded(ctx)
	former := <-stepDown // Also after an error: the command must not arrive during a later attempt.
	if err != nil {
		return err
	}
	return r.choose(ctx, former)
}

// keepPrimary opens the row for the present primary, if it still leads. reason is why no replica can be promoted.
func (r *replacement) keepPrimary(ctx context.Context, reason error) error {
	t, ok := r.targetOf(r.row, r.row.Primary)
	if !ok || !errors.Is(reason, lease.ErrCommitsMissing) {
		return reason
	}
	if err := r.awaitRightsEnded(ctx); err != nil {
		return err
	}
	s, err := r.status(ctx, t)
	if err != nil || !r.leadsAlready(s) {
		return errors.CombineErrors(reason, err)
	}
	return r.reopenFor(ctx, targetStatus{target: t, status: s})
}

// coordinatedRow returns the row if this VM coordinates the group, or nil.
func (r *replacement) coordinatedRow() *lease.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.Row(r.group)
}

// isCurrent reports whether this VM still coordinates the group under the row that the replacement works on.
func (r *replacement) isCurrent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.Coordinates(r.row)
}

// change commits the next version of the row, with the targets of this VM's unanswered orders.
func (r *replacement) change(ctx context.Context, next *lease.Row) error {
	next = next.WithUnsettled(r.unansweredOrders(r.group)...)
	if err := r.commit(ctx, r.row, next); err != nil {
		return err
	}
	r.row = next
	return nil
}

// close stops promises and commits the closed row. Promises stop before the write is sent, because
// its answer may be lost although it took effect.
func (r *replacement) close(ctx context.Context, reason string) error {
	if err := r.awaitSuccessor(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	r.coordinator.Withdraw(r.group)
	r.mu.Unlock()
	err := r.change(ctx, r.row.Closed(reason))
	if errors.Is(err, errSuperseded) {
		r.mu.Lock()
		r.coordinator.Restore(r.group) // The row was read again and has been changed by another VM.
		r.mu.Unlock()
	}
	return err
}

// awaitRightsEnded waits until no VM can acknowledge writes for the old primary any more, and no order of an earlier attempt
// to replace it can arrive.
func (r *replacement) awaitRightsEnded(ctx context.Context) error {
	registered, err := r.registered(ctx)
	remindedAt, pause := r.Clock.Now(), reminderPeriod
	for {
		if !r.isCurrent() {
			return errSuperseded
		}
		r.mu.Lock()
		ended := r.coordinator.RightsEnded(r.group, registered, r.Clock.Now())
		r.mu.Unlock()
		if ended {
			r.Log.Info("event=rights_ended", "group", r.group, "registered", len(registered), "took", time.Since(r.began))
			r.awaitOrdersEnded(ctx)
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if now := r.Clock.Now(); now.Sub(remindedAt) >= pause {
			remindedAt, pause = now, min(2*pause, longestReminderPeriod)
			r.remind(registered)
			if err != nil {
				registered, err = r.registered(ctx)
			}
		}
		wait.For(ctx, rightsPollPeriod)
	}
}

// remind notifies the VMs again that have not confirmed the closed row.
func (r *replacement) remind(registered []topology.VM) {
	r.mu.Lock()
	ids := r.coordinator.Unconfirmed(r.group, registered)
	r.mu.Unlock()
	if len(registered) == 1 && registered[0] == unlistedVM {
		ids = r.followersOf([]*lease.Row{r.row})
	}
	r.sendToMany(ids, r.newNotice([]*lease.Row{r.row}))
}

// unlistedVM stands for the VMs that a failed listing did not return. It never confirms, so the
// coordinator waits until the rights expire.
var unlistedVM = topology.VM{ID: "", Incarnation: 1}

// registered lists the VMs that may hold a right, read after the row was closed.
//
// A VM that does not follow the group confirms nothing, so with many groups nobody needs to be listed.
func (r *replacement) registered(ctx context.Context) ([]topology.VM, error) {
	r.mu.Lock()
	all := r.followsAll()
	r.mu.Unlock()
	if !all {
		return []topology.VM{unlistedVM}, nil
	}
	rows, err := r.Store.List(ctx, Table, metastore.Prefix(vmPrefix))
	if err != nil {
		r.Log.Warn("event=registrations_not_read", "group", r.group, "error", err)
		return []topology.VM{unlistedVM}, err
	}
	var vms []topology.VM
	for _, row := range rows.Rows {
		var vm topology.VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			r.Log.Error("event=row_malformed", "key", row.Key, "error", err)
			vm = unlistedVM
		}
		vms = append(vms, vm)
	}
	return vms, nil
}
