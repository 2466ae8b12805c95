package failover

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Periods and limits of the polling of targets for their status.
const (
	// statusTick is how often the targets that are due are polled.
	statusTick = 25 * time.Millisecond
	// unsyncedStatusPeriod applies while no replica is synced: requests of classes
	// that wait for replicas are refused until one is seen to have caught up.
	unsyncedStatusPeriod = 40 * time.Millisecond
	// busyStatusPeriod applies while writes wait for replicas, or a replica is to be
	// marked as synced or a list as settled: each needs recent positions.
	busyStatusPeriod = 100 * time.Millisecond
	// idleStatusPeriod applies otherwise and keeps the detector and the known state of
	// replicas up to date.
	idleStatusPeriod = 250 * time.Millisecond
	// maxUnsyncedPolling limits unsyncedStatusPeriod after a new version of the row:
	// with no live replica it would otherwise apply indefinitely.
	maxUnsyncedPolling = 3 * time.Second
	// busyAfterWait is how long a group counts as busy after a write that waited for a
	// replica.
	busyAfterWait = time.Second
)

// polling is the state of one target's status requests.
type polling struct {
	last     mono.Time
	inFlight bool
}

// pollState is the state that determines a group's status period.
type pollState struct {
	version uint64
	// since is when the version was first seen here.
	since mono.Time
	// lastWait is when a write last waited for replicas.
	lastWait mono.Time
}

// period returns how often the targets of a group are polled.
func (p pollState) period(row *topology.Group, now mono.Time) time.Duration {
	if row == nil {
		return idleStatusPeriod
	}
	synced := len(authority.Synced(row.Promoters))
	switch {
	case synced == 0 && now.Sub(p.since) < maxUnsyncedPolling:
		return unsyncedStatusPeriod
	case synced < len(row.Promoters), len(row.Unsettled) > 0:
		return busyStatusPeriod
	case p.lastWait != 0 && now.Sub(p.lastWait) < busyAfterWait:
		return busyStatusPeriod
	}
	return idleStatusPeriod
}

// pollTargets requests the roles and positions of the targets that are due. Each
// target has at most one request in flight: otherwise the requests to a target that
// hangs would queue on its control connection, and a fence would wait behind them.
func (d *Driver) pollTargets(ctx context.Context) {
	for _, due := range d.dueTargets() {
		go d.pollTarget(ctx, due.group, due.target)
	}
}

// dueTarget is a target that is to be polled now.
type dueTarget struct {
	group  topology.GroupID
	target topology.TargetID
}

func (d *Driver) dueTargets() (due []dueTarget) {
	d.withLock(func(now mono.Time) {
		for id, assignment := range d.assignments {
			period := d.statusPeriod(id, now)
			for _, t := range assignment.Targets {
				if d.startIfDue(t, period, now) {
					due = append(due, dueTarget{group: id, target: t})
				}
			}
		}
	})
	return due
}

// statusPeriod returns a group's status period; the caller holds the lock.
func (d *Driver) statusPeriod(id topology.GroupID, now mono.Time) time.Duration {
	row := d.o.Directory.Group(id)
	p := d.pollStates[id]
	if row != nil && (p.version != row.Version || p.since == 0) {
		p.version = row.Version
		p.since = now
		d.pollStates[id] = p
	}
	return p.period(row, now)
}

// startIfDue reports whether a target is due and, if so, marks its request as in
// flight; the caller holds the lock. A tick may come slightly early, so a target is
// due half a tick before its period ends.
func (d *Driver) startIfDue(t topology.TargetID, period time.Duration, now mono.Time) bool {
	p := d.polling[t]
	if p.inFlight || (p.last != 0 && now.Sub(p.last) < period-statusTick/2) {
		return false
	}
	d.polling[t] = polling{last: now, inFlight: true}
	return true
}

// recordWait records that a write waited for replicas, which keeps the group's
// status period short for a while; the caller holds the lock.
func (d *Driver) recordWait(id topology.GroupID, now mono.Time) {
	p := d.pollStates[id]
	p.lastWait = now
	d.pollStates[id] = p
}

func (d *Driver) pollTarget(ctx context.Context, group topology.GroupID, t topology.TargetID) {
	began := d.o.Clock.Now()
	s, err := d.control(ctx, t, func(ctx context.Context, c *pooler.Control) (pooler.TargetStatus, error) {
		return c.Status(ctx)
	})
	row := d.o.Directory.Group(group)
	d.withLock(func(now mono.Time) {
		if _, ok := d.polling[t]; ok {
			d.polling[t] = polling{last: began}
		}
		if row == nil {
			return
		}
		if row.Primary == t {
			d.observePrimary(row, s, err, began, now)
			return
		}
		d.promoter.ObserveReplica(group, t, authority.ReplicaStatus{
			Reachable: err == nil && logMatchesPrimary(s),
			Term:      s.Term,
			Primary:   s.Primary,
			Position:  s.Position,
		})
	})
	if err == nil && d.isBehind(row, t, s) {
		d.followRow(ctx, row, t, s)
	}
}

// isBehind reports whether a replica has not been told of the row's term yet. The
// VM that pools it tells it, too, but may have died or not know of its assignment.
func (d *Driver) isBehind(row *topology.Group, t topology.TargetID, s pooler.TargetStatus) bool {
	return row != nil && row.Primary != t && s.Term < row.Term && !d.Promoting(row.ID)
}

// followRow makes a replica follow the row's primary and logs the entries that the
// replica cuts off.
func (d *Driver) followRow(ctx context.Context, row *topology.Group, t topology.TargetID, s pooler.TargetStatus) {
	if surplus, lost := authority.SurplusOf(row, s.Position); lost {
		d.o.Log.Warn("event=writes_lost", "group", row.ID, "target", t, "after", surplus.From, "to", surplus.To)
	}
	a := authority.FollowPrimary{Group: row.ID, Target: t}
	d.actionQueues.enqueue(t, queuedAction{kind: "follow", do: func() { d.follow(ctx, a) }})
}

// observePrimary takes in the primary's status; the caller holds the lock. The
// position of a target that is primary in another term than the row's is ignored: it
// isn't a position in the row's log.
func (d *Driver) observePrimary(row *topology.Group, s pooler.TargetStatus, err error, began, now mono.Time) {
	if err != nil {
		d.detector.RequestProbe(row.Primary)
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

// logMatchesPrimary reports whether the target's log is a prefix of its primary's.
// Failure: a returning primary holds entries that the new one does not, and its
// position counts as caught up until they are cut off. Each primary begins its term
// with an entry, and a target that holds an entry of the term has cut off all
// entries that conflict with it.
func logMatchesPrimary(s pooler.TargetStatus) bool { return s.Position.Term == s.Term }
