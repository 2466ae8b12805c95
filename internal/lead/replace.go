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
	// rightsPoll and renotify are how often it is looked whether all rights ended,
	// and how often the VMs are told again that they are to.
	rightsPoll = 5 * time.Millisecond
	renotify   = 60 * time.Millisecond
	// longestRenotify is what the time between two reminders doubles up to. Those that
	// don't confirm are mostly cut off, and a coordinator that reminds many VMs without a pause
	// falls silent itself and loses its groups.
	longestRenotify = 250 * time.Millisecond
)

// replacement is the change of one group's primary.
type replacement struct {
	*Lead
	group topology.GroupID
	row   *lease.Row
	began time.Time
}

// replace moves a group to another primary: close the row, wait until all rights
// have ended, choose the candidate, promote it, open the row.
func (l *Lead) replace(ctx context.Context, group topology.GroupID, reason string) {
	r := &replacement{Lead: l, group: group, began: time.Now()}
	err := r.run(ctx, reason)
	registered, staying := l.countTargets(group)
	l.Log.Info("event=primary_replacement", "group", group, "reason", reason, "targets", registered, "staying", staying,
		"error", err, "took", time.Since(r.began))
}

// countTargets counts the group's registered targets, and those of them that have not said that they leave.
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
	r.row = r.owned()
	if r.row == nil {
		return errOvertaken
	}
	if r.row.Open() {
		if err := r.close(ctx, reason); err != nil {
			return err
		}
	}
	if r.row.Handover.Candidate == "" {
		// Both at once: a primary that is cut off costs a connection's whole timeout.
		former := make(chan stepped, 1)
		go func() { former <- r.stepDown(ctx, reason) }()
		if err := r.awaitRightsEnded(ctx); err != nil {
			return err
		}
		if err := r.choose(ctx, <-former); err != nil || r.row.Open() {
			return err
		}
	}
	return r.promote(ctx)
}

// owned returns the row if this VM coordinates the group.
func (r *replacement) owned() *lease.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.Row(r.group)
}

// change commits the row's next version.
func (r *replacement) change(ctx context.Context, next *lease.Row) error {
	if err := r.commit(ctx, next); err != nil {
		return err
	}
	r.row = next
	return nil
}

// close stops promises and commits the closed row. The promises stop before the
// write is sent: its answer may be lost although it took effect.
func (r *replacement) close(ctx context.Context, reason string) error {
	if len(r.statuses(ctx, true)) == 0 {
		return errNoCandidate
	}
	r.mu.Lock()
	r.coordinator.Withdraw(r.group)
	r.mu.Unlock()
	err := r.change(ctx, r.row.Closed(reason))
	if errors.Is(err, errOvertaken) {
		r.mu.Lock()
		r.coordinator.Restore(r.group) // The row was read again, and is another one.
		r.mu.Unlock()
	}
	return err
}

// awaitRightsEnded waits until no VM can acknowledge for the old primary.
func (r *replacement) awaitRightsEnded(ctx context.Context) error {
	registered, err := r.registered(ctx)
	told, pause := r.Clock.Now(), renotify
	for {
		if r.owned() == nil {
			return errOvertaken
		}
		r.mu.Lock()
		ended := r.coordinator.RightsEnded(r.group, registered, r.Clock.Now())
		r.mu.Unlock()
		if ended {
			r.Log.Info("event=rights_ended", "group", r.group, "registered", len(registered), "took", time.Since(r.began))
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if now := r.Clock.Now(); now.Sub(told) >= pause {
			told, pause = now, min(2*pause, longestRenotify)
			r.remind(registered)
			if err != nil {
				registered, err = r.registered(ctx)
			}
		}
		wait.For(ctx, rightsPoll)
	}
}

// remind tells those VMs again that have not confirmed the closed row.
func (r *replacement) remind(registered []topology.VM) {
	r.mu.Lock()
	ids := r.coordinator.Unconfirmed(r.group, registered)
	r.mu.Unlock()
	r.sendToMany(ids, r.noticeOf([]*lease.Row{r.row}))
}

// unlisted stands for VMs that a failed listing did not tell of: it never confirms,
// so rights are waited out.
var unlisted = topology.VM{ID: "", Incarnation: 1}

// registered lists the VMs that may hold a right, after the row was closed.
func (r *replacement) registered(ctx context.Context) ([]topology.VM, error) {
	rows, err := r.Store.List(ctx, Table, metastore.Prefix(vmPrefix))
	if err != nil {
		r.Log.Warn("event=registrations_not_read", "group", r.group, "error", err)
		return []topology.VM{unlisted}, err
	}
	var vms []topology.VM
	for _, row := range rows.Rows {
		var vm topology.VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			r.Log.Error("event=row_malformed", "key", row.Key, "error", err)
			vm = unlisted
		}
		vms = append(vms, vm)
	}
	return vms, nil
}
