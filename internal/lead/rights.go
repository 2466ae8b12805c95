package lead

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Right returns this VM's current right for the group's primary. Where commits wait for replicas, there is none while a
// registered target is not recorded in the row.
func (l *Lead) Right(group topology.GroupID) (lease.Right, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right(group)
}

func (l *Lead) right(group topology.GroupID) (lease.Right, bool) {
	now := l.Clock.Now()
	r, ok := l.holder.Right(group, now)
	ok = ok && l.coversRegistered(group)
	l.want(group, now)
	if !ok {
		l.rightWanted = now
	}
	return r, ok
}

// Confirm reports whether the right is still valid, so that what the primary has answered may be acknowledged. Where
// commits wait for replicas, it waits for at most lease.Duration until the row records all registered targets and the
// right has been renewed under that row.
func (l *Lead) Confirm(r lease.Right) bool {
	var timeout <-chan time.Time
	for {
		l.mu.Lock()
		ok := l.holder.Confirm(r, l.Clock.Now())
		isRecording := l.isRecording(r, ok)
		changed := l.changed
		l.mu.Unlock()
		if !isRecording {
			return ok
		}
		if timeout == nil {
			timeout = time.After(lease.Duration)
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		}
	}
}

var (
	errRightEnded = errors.New("lead: the right has ended")
	errNotKept    = errors.New("lead: an order that was not answered may roll the commit back")
)

// ConfirmCommit returns nil if a commit may be acknowledged under the right. While an order to promote a target was not
// answered, it waits until that target holds the commit, or ctx ends.
func (l *Lead) ConfirmCommit(ctx context.Context, r lease.Right, commit position.Position) error {
	if !l.Confirm(r) {
		return errRightEnded
	}
	keepers := l.keepers(r.Group)
	if len(keepers) == 0 {
		return nil
	}
	for _, id := range keepers {
		if custody := l.logs.await(ctx, r, id, commit); custody != lease.Held {
			l.Log.Info("event=commit_not_kept", "group", r.Group, "primary", r.Primary, "term", r.Term, "commit", commit, "target", id,
				"replaced", custody == lease.Replaced)
			return errNotKept
		}
	}
	if !l.Confirm(r) {
		return errRightEnded
	}
	return nil
}

// keepers returns the registered targets that must hold a commit before it is acknowledged. One that is not registered has
// ended.
func (l *Lead) keepers(group topology.GroupID) []topology.TargetID {
	row := l.Row(group)
	if row == nil || len(row.Unsettled) == 0 {
		return nil
	}
	return slices.DeleteFunc(row.Keepers(), func(id topology.TargetID) bool {
		t, ok := l.Directory.Target(id)
		return !ok || t.Superseded
	})
}

// Row returns the newest known row of a group, or nil.
func (l *Lead) Row(group topology.GroupID) *lease.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Row(group)
}

// Await waits until this VM has the right for the group's primary or ctx ends. It returns at once
// while this VM is cut off.
func (l *Lead) Await(ctx context.Context, group topology.GroupID) (lease.Right, bool) {
	for {
		l.mu.Lock()
		r, ok := l.right(group)
		changed, cut := l.changed, l.isCutOff(l.Clock.Now())
		l.mu.Unlock()
		if ok || cut {
			return r, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lease.Right{}, false
		}
	}
}

// Frozen returns the end of the group's log while its primary is being replaced and no VM has a
// right, and when that was last confirmed: nothing is acknowledged meanwhile. A candidate that
// holds less than the former primary may still be dropped, so its position is not the end of the
// log until it leads.
func (l *Lead) Frozen(group topology.GroupID) (position.Position, mono.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.holder.Row(group)
	at := l.frozen[group]
	if row == nil || row.Open() || !row.Handover.Complete || at.version != row.Version {
		return position.Position{}, 0, false
	}
	return row.Handover.End, at.confirmedAt, true
}

// rowConfirmation is when the coordinator last confirmed a version of a row.
type rowConfirmation struct {
	version     uint64
	confirmedAt mono.Time
}

// wakeWaiters wakes all callers that wait for a right.
func (l *Lead) wakeWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}
