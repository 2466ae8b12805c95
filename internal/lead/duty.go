package lead

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// dutyKey is the key of the row that records which VM may order promotions.
const dutyKey = "duty/promotion"

// maxDutyAge is the age of a reading of the duty from which it is read again before an order.
const maxDutyAge = 300 * time.Millisecond

// duty is the right to order promotions for all groups. One VM holds it at a time, and its fencing
// token increases with each holder. The platform does not check the token, so a late order of a
// former holder would still take effect.
type duty struct {
	Holder      topology.VMID        `json:"holder"`
	Incarnation topology.Incarnation `json:"incarnation"`
	Fence       uint64               `json:"fence"`
	// Quiet is set if no order of an earlier holder was in flight any more when the holder was given the duty.
	Quiet bool `json:"quiet,omitempty"`
}

// fencesPerEra is the number of fencing tokens in each era of the store.
const fencesPerEra = 1 << 20

// nextFence returns the token of the next holder. In a later era it is above every token of an earlier
// one, of which the store may have lost the latest.
func (d *dutyState) nextFence(era uint64) uint64 {
	return max(d.Fence+1, era*fencesPerEra)
}

// dutyState is this VM's knowledge of the duty.
type dutyState struct {
	duty
	version metastore.Version
	// read is when the newest read of the duty and the groups' rows began, and seen is when this VM learned of the duty.
	read, seen mono.Time
	// usableFrom is when this VM may start to send orders, provided that it holds the duty.
	usableFrom mono.Time
	// offered is set if it is not known whether this VM has given the duty away. The change may take effect late, so the
	// duty must be claimed again before an order.
	offered bool
}

// namedByDuty reports whether the duty's row names this incarnation of this VM.
func (l *Lead) namedByDuty() bool {
	return l.duty.Holder == l.self.ID && l.duty.Incarnation == l.self.Incarnation
}

// holdsDuty reports whether this incarnation of this VM holds the duty. With a token of an earlier era
// it may have had a successor that the store has lost.
func (l *Lead) holdsDuty() bool {
	return l.namedByDuty() && l.duty.Fence >= l.era*fencesPerEra
}

// applyDuty applies the duty's row as read from the store.
func (l *Lead) applyDuty(r metastore.Row, began mono.Time) {
	var d duty
	if err := json.Unmarshal(r.Value, &d); err != nil {
		l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.duty.version.After(r.Version) {
		return
	}
	held, fence := l.holdsDuty(), l.duty.Fence
	if r.Version.After(l.duty.version) {
		l.duty.seen = l.Clock.Now()
		l.duty.offered = false
	}
	l.duty.duty, l.duty.version = d, r.Version
	l.duty.read = max(l.duty.read, began)
	if l.holdsDuty() && (!held || l.duty.Fence != fence) {
		// The former holder gave it to this VM, perhaps after this VM had lost it without reading so. An order that
		// the former holder sent just before may still be in flight, and would arrive with a lower fence after an
		// order of this VM.
		l.duty.usableFrom = l.Clock.Now()
		if !d.Quiet {
			l.duty.usableFrom = l.Clock.Now().Add(lease.OrderLife)
		}
	}
}

// acquireDuty makes this VM the holder of the duty and returns once this VM may send orders.
//
// entitled reports whether this VM still has a reason to hold the duty, such as a group that it coordinates. It is
// called under the lock, after each call to the store and each wait: while this VM was cut off another one may
// have taken the group over, and a reading of the duty shows that too.
func (l *Lead) acquireDuty(ctx context.Context, entitled func() bool) error {
	if err := l.readDuty(ctx); err != nil {
		return err
	}
	state, err := l.checkDuty(entitled)
	if err != nil {
		return err
	}
	if !state.held || state.offered {
		if err := l.claimDuty(ctx, state.dutyState); err != nil {
			return err
		}
	}
	return l.confirmDuty(ctx, entitled)
}

// confirmDuty waits until the duty has settled, and reports whether this VM still holds it by a reading that is recent
// enough for an order. The age is judged once the reading has been applied: this VM may have been paused since the reading
// was sent.
func (l *Lead) confirmDuty(ctx context.Context, entitled func() bool) error {
	for range maxOrderReadings {
		l.awaitDutySettled(ctx)
		state, err := l.checkDuty(entitled)
		now := l.Clock.Now()
		switch {
		case err != nil:
			return err
		case !state.held:
			// Claiming it back at once would make two VMs take it from each other forever.
			return errSuperseded
		case !now.Before(state.usableFrom) && state.authority().MaySend(now):
			return nil
		}
		if err := l.readDecisions(ctx); err != nil {
			return err
		}
	}
	return errNotConfirmed
}

// checkedDuty is the known duty, and whether this VM holds it.
type checkedDuty struct {
	dutyState
	held bool
}

// authority returns the authority for an order that the reading of the duty gives to its holder.
func (d *dutyState) authority() lease.Order { return lease.Order{Evidence: d.read} }

// checkDuty returns the known duty if this VM may hold it.
func (l *Lead) checkDuty(entitled func() bool) (checkedDuty, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.givingDuty || !entitled() {
		return checkedDuty{}, errSuperseded
	}
	return checkedDuty{dutyState: l.duty, held: l.holdsDuty()}, nil
}

// awaitDutySettled waits until no order of a former holder can be in flight.
func (l *Lead) awaitDutySettled(ctx context.Context) {
	l.mu.Lock()
	settling := l.duty.usableFrom.Sub(l.Clock.Now())
	l.mu.Unlock()
	if settling > 0 {
		wait.For(ctx, settling)
	}
}

// readDuty reads the row unless it was read within maxDutyAge.
func (l *Lead) readDuty(ctx context.Context) error {
	l.mu.Lock()
	fresh := l.holdsDuty() && l.Clock.Now().Sub(l.duty.read) < maxDutyAge
	l.mu.Unlock()
	if fresh {
		return nil
	}
	return l.readDecisions(ctx)
}

// giveDuty passes the duty on to another VM, also if nobody holds it. This VM sends no order meanwhile. Before a later
// order the duty is claimed again if the answer was lost, as the change may have taken effect or still may.
func (l *Lead) giveDuty(ctx context.Context, to topology.VM) {
	l.mu.Lock()
	state := l.duty
	may := (l.holdsDuty() || state.Holder == "") && !l.givingDuty && to.ID != ""
	quiet := l.dutyQuiet()
	l.givingDuty = l.givingDuty || may
	l.mu.Unlock()
	if !may {
		return
	}
	next := duty{Holder: to.ID, Incarnation: to.Incarnation, Fence: state.nextFence(l.latestEra()), Quiet: quiet}
	raw, err := json.Marshal(next)
	var version metastore.Version
	if err == nil {
		version, err = l.Store.Put(ctx, Table, dutyKey, raw, state.version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.givingDuty = false
	switch {
	case err != nil:
		l.duty.read, l.duty.offered = 0, true
	case version.After(l.duty.version):
		l.duty = dutyState{duty: next, version: version}
	}
	l.Log.Info("event=duty_given", "to", to.ID, "data_centre", to.DataCentre, "fence", next.Fence, "quiet", quiet, "error", err)
}

// dutyQuiet reports whether no order of this VM or of an earlier holder of the duty is in flight any more, as long as this VM sends
// none. The caller holds the lock.
func (l *Lead) dutyQuiet() bool {
	now := l.Clock.Now()
	lost := l.duty.Fence < l.era*fencesPerEra // The store may have lost a later holder.
	return !lost && !now.Before(l.duty.usableFrom) && !l.ordersPending(now)
}

func (l *Lead) claimDuty(ctx context.Context, former dutyState) error {
	era := l.latestEra()
	lost := former.Fence < era*fencesPerEra // The store may have lost a later holder.
	// An earlier incarnation of this VM has ended, and its orders with it.
	own := former.Holder == l.self.ID && !lost
	quiet := former.Holder == "" && !lost || own && former.Quiet
	next := duty{Holder: l.self.ID, Incarnation: l.self.Incarnation, Fence: former.nextFence(era), Quiet: quiet}
	raw, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := l.Store.Put(ctx, Table, dutyKey, raw, former.version)
	if errors.Is(err, metastore.ErrConflict) {
		return errSuperseded // It is read again before the next attempt: this VM may hold it after all.
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	// The write shows nothing of the groups' rows, so the age remains that of the reading before it.
	l.duty = dutyState{duty: next, version: version, read: former.read, usableFrom: former.usableFrom}
	switch {
	case quiet:
	case own:
		l.duty.usableFrom = max(former.usableFrom, l.started.Add(lease.OrderLife))
	default:
		l.duty.usableFrom = now.Add(lease.OrderLife)
	}
	l.Log.Info("event=duty_claimed", "fence", next.Fence, "from", former.Holder)
	return nil
}
