package lead

import (
	"context"
	"slices"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// noteUnanswered records an order that was sent and not answered. Whoever holds it up may deliver it after its end, and the
// platform may carry it out after that.
func (l *Lead) noteUnanswered(order Promotion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	orders := l.unanswered[order.Group]
	if orders == nil {
		orders = map[topology.TargetID]mono.Time{}
		l.unanswered[order.Group] = orders
	}
	orders[order.Target] = l.Clock.Now()
}

// unansweredOrders returns the targets that unanswered orders of this VM may still promote.
func (l *Lead) unansweredOrders(group topology.GroupID) []topology.TargetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	var ids []topology.TargetID
	for id, sent := range l.unanswered[group] {
		if now.Sub(sent) < lease.UnsettledLife {
			ids = append(ids, id)
		} else {
			delete(l.unanswered[group], id)
		}
	}
	slices.Sort(ids)
	return ids
}

// checkUnsettled removes the targets from a row that no order can promote any more.
func (l *Lead) checkUnsettled(ctx context.Context, group topology.GroupID, now mono.Time) {
	l.mu.Lock()
	row := l.coordinator.Row(group)
	settled := l.settledTargets(row, group, now)
	busy := len(settled) == 0 || !row.Open() || l.leaving || l.changing[group] || l.ofEarlierEra(row) || l.coordinator.Withdrawn(group)
	l.mu.Unlock()
	if busy {
		return
	}
	l.startChange(group, func() {
		next := row.WithoutUnsettled(settled...)
		err := l.commit(ctx, row, next)
		l.Log.Info("event=orders_settled", "group", group, "version", next.Version, "targets", settled, "error", err)
		if err != nil {
			wait.For(ctx, handoverRetryDelay)
		}
	})
}

// settledTargets returns the row's unsettled targets for which the time of a late order is over. The caller holds the lock.
func (l *Lead) settledTargets(row *lease.Row, group topology.GroupID, now mono.Time) []topology.TargetID {
	if row == nil || len(row.Unsettled) == 0 {
		delete(l.unsettled, group)
		return nil
	}
	since := map[topology.TargetID]mono.Time{}
	var settled []topology.TargetID
	for _, id := range row.Unsettled {
		since[id] = now
		if at, ok := l.unsettled[group][id]; ok {
			since[id] = at
		}
		if sent, ok := l.unanswered[group][id]; ok {
			since[id] = max(since[id], sent)
		}
		if now.Sub(since[id]) >= lease.UnsettledLife {
			settled = append(settled, id)
		}
	}
	l.unsettled[group] = since
	return settled
}
