package lead

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// firstDelay lets the first listing, and the other VMs' registrations, come.
const firstDelay = 300 * time.Millisecond

// firstRows writes the row of a group that has none.
func (l *Lead) firstRows(ctx context.Context, now mono.Time) {
	for _, group := range l.groups() {
		l.mu.Lock()
		seen := l.firstSeen[group]
		if seen == 0 {
			l.firstSeen[group], seen = now, now
		}
		known := l.holder.Row(group) != nil || l.leaving || l.storeSeen == 0
		l.mu.Unlock()
		if known {
			continue
		}
		l.mu.Lock()
		wait := firstDelay + l.delay("")
		l.mu.Unlock()
		primary, ok := l.selfStyledPrimary(group)
		if ok && now.Sub(seen) >= wait {
			l.start(group, func() { l.firstRow(ctx, group, primary) })
		}
	}
}

func (l *Lead) selfStyledPrimary(group topology.GroupID) (topology.Target, bool) {
	for _, t := range l.Directory.TargetsOf(group) {
		if t.SaysPrimary {
			return t.Target, true
		}
	}
	return topology.Target{}, false
}

func (l *Lead) firstRow(ctx context.Context, group topology.GroupID, primary topology.Target) {
	status, err := l.status(ctx, primary)
	if err != nil || !status.Primary {
		l.Log.Info("event=first_row_put_off", "group", group, "primary", primary.ID, "error", err)
		wait.For(ctx, firstDelay)
		return
	}
	row := &lease.Row{
		Group: group, Version: 1, Term: status.Term, Primary: primary.ID,
		Coordinator: l.self.ID, Incarnation: l.self.Incarnation, Fence: 1, Witnesses: l.witnesses(),
	}
	err = l.commit(ctx, row)
	l.Log.Info("event=first_row", "group", group, "primary", primary.ID, "term", status.Term, "error", err)
}
