package failover

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// How often a target is asked for its status.
const (
	// statusTick is the finest of them.
	statusTick = 25 * time.Millisecond
	// statusHurried: no replica is synced, and classes that wait are refused until
	// one is seen to have caught up.
	statusHurried = 40 * time.Millisecond
	// statusBusy: writes wait for replicas, or some replica or list is to be
	// marked, and each needs positions that are not old.
	statusBusy = 100 * time.Millisecond
	// statusAtRest keeps the detector and the views of replicas alive.
	statusAtRest = 250 * time.Millisecond
	// hurryFor bounds the hurry after a row: with no replica alive it would last.
	hurryFor = 3 * time.Second
	// waitedFor is how long a write that waited for a replica keeps a group busy.
	waitedFor = time.Second
)

// asking is one target's status requests.
type asking struct {
	last mono.Time
	open bool
}

// pace is what a group's status period rests on.
type pace struct {
	version uint64
	// since is when the version was first seen here.
	since mono.Time
	// waited is when a write last waited for replicas.
	waited mono.Time
}

// period returns how often the targets of a group are asked.
func (p pace) period(row *topology.Group, now mono.Time) time.Duration {
	if row == nil {
		return statusAtRest
	}
	synced := len(authority.Synced(row.Promoters))
	switch {
	case synced == 0 && now.Sub(p.since) < hurryFor:
		return statusHurried
	case synced < len(row.Promoters), len(row.Unsettled) > 0:
		return statusBusy
	case p.waited != 0 && now.Sub(p.waited) < waitedFor:
		return statusBusy
	}
	return statusAtRest
}

// askTargets asks the targets that are due for their roles and positions. Each
// has one request under way at most: a target that hangs would else gather them
// on its control connection, and a fence would wait behind all.
func (d *Driver) askTargets(ctx context.Context) {
	for _, due := range d.dueTargets() {
		go d.askTarget(ctx, due.group, due.target)
	}
}

// dueTarget is a target that is to be asked now.
type dueTarget struct {
	group  topology.GroupID
	target topology.TargetID
}

func (d *Driver) dueTargets() (due []dueTarget) {
	d.locked(func(now mono.Time) {
		for id, part := range d.parts {
			period := d.paceOf(id, now)
			for _, t := range part.Targets {
				if d.mayAsk(t, period, now) {
					due = append(due, dueTarget{group: id, target: t})
				}
			}
		}
	})
	return due
}

// paceOf works out a group's period; the caller holds the lock.
func (d *Driver) paceOf(id topology.GroupID, now mono.Time) time.Duration {
	row := d.o.Directory.Group(id)
	p := d.paces[id]
	if row != nil && (p.version != row.Version || p.since == 0) {
		p.version = row.Version
		p.since = now
		d.paces[id] = p
	}
	return p.period(row, now)
}

// mayAsk notes a request that is due; the caller holds the lock. A tick may come
// a little early, so half of one is let pass.
func (d *Driver) mayAsk(t topology.TargetID, period time.Duration, now mono.Time) bool {
	a := d.asking[t]
	if a.open || (a.last != 0 && now.Sub(a.last) < period-statusTick/2) {
		return false
	}
	d.asking[t] = asking{last: now, open: true}
	return true
}

// noteWaited keeps the group's status fresh; the caller holds the lock.
func (d *Driver) noteWaited(id topology.GroupID, now mono.Time) {
	p := d.paces[id]
	p.waited = now
	d.paces[id] = p
}

func (d *Driver) askTarget(ctx context.Context, group topology.GroupID, t topology.TargetID) {
	began := d.o.Clock.Now()
	s, err := d.control(ctx, t, func(ctx context.Context, c *pooler.Control) (pooler.TargetStatus, error) {
		return c.Status(ctx)
	})
	row := d.o.Directory.Group(group)
	d.locked(func(now mono.Time) {
		if _, ok := d.asking[t]; ok {
			d.asking[t] = asking{last: began}
		}
		if row == nil {
			return
		}
		if row.Primary == t {
			d.observePrimary(row, s, err, began, now)
			return
		}
		d.promoter.ObserveReplica(group, t, authority.ReplicaStatus{
			Reachable: err == nil && rewound(s),
			Term:      s.Term,
			Primary:   s.Primary,
			Position:  s.Position,
		})
	})
	if err == nil && d.isBehind(row, t, s) {
		d.followRow(ctx, row, t, s)
	}
}

// isBehind reports whether a replica has yet to hear of the row's term. The VM
// that pools it tells it, too; but it may have died, or not know of its part.
func (d *Driver) isBehind(row *topology.Group, t topology.TargetID, s pooler.TargetStatus) bool {
	return row != nil && row.Primary != t && s.Term < row.Term && !d.Attempting(row.ID)
}

// followRow has a replica follow the row's primary, and tells what it cuts off.
func (d *Driver) followRow(ctx context.Context, row *topology.Group, t topology.TargetID, s pooler.TargetStatus) {
	if surplus, lost := authority.SurplusOf(row, s.Position); lost {
		d.o.Log.Warn("event=writes_lost", "group", row.ID, "target", t, "after", surplus.From, "to", surplus.To)
	}
	a := authority.FollowPrimary{Group: row.ID, Target: t}
	d.lanes.run(t, step{kind: "follow", do: func() { d.follow(ctx, a) }})
}

// observePrimary takes the primary's status; the caller holds the lock. A target
// that is primary in another term than the row's tells nothing of the row's log.
func (d *Driver) observePrimary(row *topology.Group, s pooler.TargetStatus, err error, began, now mono.Time) {
	if err != nil {
		d.detector.Doubt(row.Primary)
		return
	}
	d.detector.ObserveAnswer(row.Primary, now.Sub(began), now)
	if s.Role != pooler.RolePrimary {
		return
	}
	d.holder.ObservePromoted(row.ID, s.Term)
	if known := d.holder.Row(row.ID); known != nil && known.Term == s.Term {
		d.holder.ObservePrimary(row.ID, s.Position, began)
	}
}

// rewound reports whether the target's log is a part of its primary's. Failure: a
// returning primary holds entries that the new one does not, and its position
// counts as caught up until they are cut off. Each primary begins its term with
// an entry, and whoever holds one of the term has cut off what does not fit.
func rewound(s pooler.TargetStatus) bool { return s.Position.Term == s.Term }
