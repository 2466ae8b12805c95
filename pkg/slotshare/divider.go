package slotshare

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// shortestLoan is the least time for which a loan is worth giving: two renewals.
	shortestLoan = 500 * time.Millisecond
	// silentAfter is how long after its last report a holder counts as using its safe part.
	silentAfter = time.Second
)

// Divider divides a target's total among its holders. It lends what a holder surely doesn't use: one that has confirmed
// a share below its safe part. A holder that may not have received its share counts with the most that it may use,
// and one that hears nothing with its safe part.
type Divider struct {
	total, safe int
	holders     []topology.VMID
	since       mono.Time
	state       map[topology.VMID]*holderState
	// waitedAt is when a holder last reported waiting requests, 0 for never.
	waitedAt mono.Time
}

// holderState is what a coordinator knows of one holder.
type holderState struct {
	incarnation topology.Incarnation
	// sequence is the number of the newest report, received at reportedAt.
	sequence   uint64
	reportedAt mono.Time
	demand     Demand
	// grants are the shares that the holder may keep to, the oldest first. Only the first may be confirmed.
	grants []sentShare
}

// sentShare is a share that was sent in answer to a report.
type sentShare struct {
	sequence  uint64
	allowance int
	confirmed bool
	// until is when the holder surely no longer keeps to it; surelyUntil is until when it surely does if it has
	// received it and no later one.
	until, surelyUntil mono.Time
}

// NewDivider returns a divider of a coordinator that has coordinated the target's group since the given time. It gives
// no shares until those of an earlier coordinator have expired.
func NewDivider(since mono.Time) *Divider {
	return &Divider{since: since, state: map[topology.VMID]*holderState{}}
}

// Configure sets the slots of the target and its holders. After a change it gives no shares until all have expired,
// since the safe parts have changed with which the shares were computed.
func (d *Divider) Configure(slots int, holders []topology.VMID, now mono.Time) {
	if d.total != 0 && (d.total != Total(slots) || !slices.Equal(d.holders, holders)) {
		clear(d.state)
		d.since = now
	}
	d.total, d.safe, d.holders = Total(slots), SafePart(slots, len(holders)), holders
}

// Report records a holder's report with the given number. A report that arrives after a later one is ignored.
func (d *Divider) Report(vm topology.VMID, incarnation topology.Incarnation, sequence uint64, demand Demand, now mono.Time) {
	h := d.state[vm]
	if h == nil || h.incarnation < incarnation {
		h = &holderState{incarnation: incarnation}
		d.state[vm] = h
	}
	if incarnation < h.incarnation || sequence <= h.sequence {
		return
	}
	h.sequence, h.reportedAt, h.demand = sequence, now, demand.bounded()
	h.confirm(demand.Applied)
	if len(h.demand.Waiting) > 0 {
		d.waitedAt = now
	}
}

// confirm drops the shares before the confirmed one, which the holder doesn't keep to any more.
func (h *holderState) confirm(sequence uint64) {
	i := slices.IndexFunc(h.grants, func(g sentShare) bool { return g.sequence == sequence })
	if i < 0 {
		return
	}
	h.grants = h.grants[i:]
	h.grants[0].confirmed = true
}

// Waiting reports whether a holder has reported waiting requests a short time ago. Otherwise no shares are given.
func (d *Divider) Waiting(now mono.Time) bool {
	return d.waitedAt != 0 && now.Sub(d.waitedAt) < reportFor
}

// Expired reports whether all shares have expired and nothing waits, so that the divider may be dropped.
func (d *Divider) Expired(now mono.Time) bool {
	return !d.Waiting(now) && now.Sub(max(d.waitedAt, d.since)) > reportFor+CutLifetime
}

// Answer returns the share that answers the newest report of a holder, or false if it gets none and so keeps to its
// safe part as soon as its present share has expired.
func (d *Divider) Answer(vm topology.VMID, now mono.Time) (Share, bool) {
	h := d.state[vm]
	if h == nil || h.reportedAt != now || now.Sub(d.since) <= CutLifetime || !d.Waiting(now) {
		return Share{}, false
	}
	h.expire(now)
	want := d.wanted(now)[vm]
	n, lifetime := want, CutLifetime
	if base := h.base(d.safe); want > base || want >= d.safe {
		free, until := d.free(vm, now)
		n = min(want, free)
		switch {
		case base < d.safe:
			n = max(n, base)
		case n <= d.safe:
			return Share{}, false
		}
		if n >= d.safe {
			lifetime = until.Sub(now)
		}
	}
	return h.send(n, lifetime, now), true
}

// base returns what the holder may use at present: the highest share that it may keep to, or its safe part.
func (h *holderState) base(safe int) int {
	base := 0
	for _, g := range h.grants {
		base = max(base, g.allowance)
	}
	if base == 0 {
		return safe
	}
	return base
}

func (h *holderState) expire(now mono.Time) {
	h.grants = slices.DeleteFunc(h.grants, func(g sentShare) bool { return !now.Before(g.until) })
}

func (h *holderState) send(n int, lifetime time.Duration, now mono.Time) Share {
	validMS := int(lifetime / time.Millisecond)
	h.grants = append(h.grants, sentShare{
		sequence: h.sequence, allowance: n,
		until: now.Add(lifetime), surelyUntil: now.Add(time.Duration(validMS)*time.Millisecond - answerLimit),
	})
	return Share{Target: h.demand.Target, Allowance: n, ValidMS: validMS}
}

// wanted divides the total by demand. Holders that don't report can't be lowered, so their safe parts are set aside.
func (d *Divider) wanted(now mono.Time) map[topology.VMID]int {
	total, demands := d.total, map[topology.VMID]Demand{}
	for _, vm := range d.holders {
		if h := d.state[vm]; h != nil && now.Sub(h.reportedAt) < silentAfter {
			demands[vm] = h.demand
		} else {
			total -= d.safe
		}
	}
	return divide(total, demands)
}

// free returns how many statements are left for a holder besides those of all others, and until when at least.
func (d *Divider) free(vm topology.VMID, now mono.Time) (n int, until mono.Time) {
	until = now.Add(LoanLifetime)
	for _, other := range d.holders {
		if h := d.state[other]; other != vm && h != nil {
			h.expire(now)
			if e := h.loweredUntil(d.safe); !e.Before(now.Add(shortestLoan)) {
				until = min(until, e)
			}
		}
	}
	n = d.total
	for _, other := range d.holders {
		if other != vm {
			n -= d.most(other, until)
		}
	}
	return n, until
}

// most returns the most statements that a holder may have in flight until a given time.
func (d *Divider) most(vm topology.VMID, until mono.Time) int {
	h := d.state[vm]
	if h == nil {
		return d.safe
	}
	most := 0
	for _, g := range h.grants {
		most = max(most, g.allowance)
	}
	if h.loweredUntil(d.safe).Before(until) {
		most = max(most, d.safe)
	}
	return most
}

// loweredUntil returns until when a holder surely keeps to less than its safe part, or 0 if it may not.
func (h *holderState) loweredUntil(safe int) mono.Time {
	if len(h.grants) == 0 || !h.grants[0].confirmed {
		return 0
	}
	for _, g := range h.grants {
		if g.allowance >= safe {
			return 0
		}
	}
	return h.grants[0].surelyUntil
}
