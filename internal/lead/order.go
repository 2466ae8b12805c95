package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/expiring"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// maxOrderReadings is how often the rows are read for one order: each answer may be applied too late.
const maxOrderReadings = 3

var (
	// errNotOrdered marks errors of an order that was not sent.
	errNotOrdered = errors.New("lead: no order was sent")
	// errNotConfirmed is returned if each reading was too old for an order once it was applied.
	errNotConfirmed = errors.New("lead: no recent reading shows the authority for an order")
)

// orderPromotion sends the order if this VM may, judged by what it knows when it sends it. An order for another target
// that is pending would follow this one, so its end is waited for.
func (r *replacement) orderPromotion(ctx context.Context, candidate topology.TargetID) error {
	earlier, isPending := r.pendingOrder()
	if isPending && earlier.Target != candidate {
		r.awaitMoment(ctx, earlier.End())
	}
	order, err := r.authorize(ctx, candidate)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "the duty"), errNotOrdered)
	}
	r.Log.Info("event=promotion_ordered", "group", r.group, "candidate", candidate, "version", r.row.Version, "fence", order.Fence,
		"reading_age", r.Clock.Now().Sub(order.Evidence))
	err = r.Promotions.Promote(ctx, order)
	if err == nil || errors.Is(err, ErrNotPromotable) || errors.Is(err, ErrNotPending) {
		r.noteNotPending(order, earlier)
	} else {
		r.noteUnanswered(order)
	}
	return err
}

// authorize acquires the duty and registers the order as pending.
func (r *replacement) authorize(ctx context.Context, candidate topology.TargetID) (Promotion, error) {
	for range maxOrderReadings {
		if err := r.acquireDuty(ctx, r.mayOrder); err != nil {
			return Promotion{}, err
		}
		order, err := r.registerOrder(candidate)
		if !errors.Is(err, errNotConfirmed) {
			return order, err
		}
		if err := r.readDecisions(ctx); err != nil {
			return Promotion{}, err
		}
	}
	return Promotion{}, errNotConfirmed
}

// registerOrder registers an order as pending if this VM may send it. Both happen under one lock: whoever gives the duty away sees
// the order, or the order sees that the duty is being given away.
func (r *replacement) registerOrder(candidate topology.TargetID) (Promotion, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.givingDuty || !r.holdsDuty() || r.duty.offered || now.Before(r.duty.usableFrom) || !r.mayOrder() {
		return Promotion{}, errSuperseded
	}
	// The order rests on the duty and on the group's row.
	authority := lease.Order{Evidence: min(r.duty.read, r.coordinator.Confirmed(r.group))}
	if !authority.MaySend(now) {
		return Promotion{}, errNotConfirmed
	}
	order := Promotion{Order: authority, Group: r.group, Target: candidate, Holder: r.self.ID, Fence: r.duty.Fence}
	r.pending[r.group] = order
	return order, nil
}

// mayOrder reports whether this VM coordinates the group under the row that the replacement works on, and was
// confirmed as the coordinator recently. The caller holds the lock.
func (r *replacement) mayOrder() bool {
	return r.coordinator.Coordinates(r.row) && r.Clock.Now().Sub(r.coordinator.Confirmed(r.group)) < lease.CoordinatorLimit
}

// noteNotPending records that an order is not in flight any more. One that was sent earlier may still be.
func (r *replacement) noteNotPending(order, earlier Promotion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[r.group] == order {
		r.pending[r.group] = earlier
	}
}

// pendingOrder returns the group's promotion order that may still arrive.
func (r *replacement) pendingOrder() (Promotion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order, ok := r.pending[r.group]
	return order, ok && r.Clock.Now().Before(order.End())
}

// ordersPending reports whether a promotion order of this VM may still arrive. The caller holds the lock.
func (l *Lead) ordersPending(now mono.Time) bool {
	for _, order := range l.pending {
		if now.Before(order.End()) {
			return true
		}
	}
	return false
}

// quietIn reports whether no order of this VM in a group is in flight any more, as long as it sends none. The caller holds the
// lock.
func (l *Lead) quietIn(group topology.GroupID) bool {
	now := l.Clock.Now()
	order, ok := l.pending[group]
	return !l.replacing[group] && (!ok || !now.Before(order.End())) && !now.Before(l.coordinator.OrdersEnd(group))
}

// awaitOrdersEnded waits until no order in the group is in flight any more, neither of this VM nor of an earlier coordinator.
func (r *replacement) awaitOrdersEnded(ctx context.Context) {
	r.mu.Lock()
	end := r.coordinator.OrdersEnd(r.group)
	r.mu.Unlock()
	if pending, ok := r.pendingOrder(); ok {
		end = max(end, pending.End())
	}
	r.awaitMoment(ctx, end)
}

func (l *Lead) awaitMoment(ctx context.Context, moment mono.Time) {
	if left := moment.Sub(l.Clock.Now()); left > 0 {
		wait.For(ctx, left)
	}
}

// command sends a command to a target, unless this VM may have lost the group: the target may be the primary of
// another coordinator's row, or its candidate. The command has ended when this returns.
func (r *replacement) command(ctx context.Context, timeout time.Duration, send func(context.Context) (target.Status, error)) (target.Status, error) {
	authority, err := r.authority(ctx)
	if err != nil {
		return target.Status{}, err
	}
	timeout = min(timeout, authority.End().Sub(r.Clock.Now()))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(expiring.With(ctx, authority.Limits()))
}

// authority returns the authority for a command in the group. The row is read again if the latest reading is too old.
func (r *replacement) authority(ctx context.Context) (lease.Order, error) {
	for range maxOrderReadings {
		if !r.isCurrent() {
			return lease.Order{}, errSuperseded
		}
		r.mu.Lock()
		authority := lease.Order{Evidence: r.coordinator.Confirmed(r.group)}
		r.mu.Unlock()
		if authority.MaySend(r.Clock.Now()) {
			return authority, nil
		}
		if err := r.readDecisions(ctx); err != nil {
			return lease.Order{}, err
		}
	}
	return lease.Order{}, errNotConfirmed
}
