package failover

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// groupPrefix begins the keys of group rows.
const groupPrefix = "group/"

// perform carries out one action; holder tells which table asked.
func (d *Driver) perform(ctx context.Context, action authority.Action, holder bool) {
	switch a := action.(type) {
	case authority.SendHeartbeat:
		d.heartbeat(ctx, a)
	case authority.SendWithdraw:
		d.withdraw(ctx, a, holder)
	case authority.SendRelease:
		d.release(ctx, a)
	case authority.CommitRow:
		d.commit(ctx, a.Row, holder)
	case authority.ReadRow:
		d.readRow(ctx, a.Group)
	case authority.FenceReplica:
		d.fence(ctx, a)
	case authority.PromoteReplica:
		d.promote(ctx, a)
	case authority.FollowPrimary:
		d.follow(ctx, a)
	case authority.Probe:
		d.probe(ctx, a)
	case authority.AskWitness:
		d.askWitness(ctx, a.Target)
	case authority.RequestSwitchover:
		d.requestTakeOver(ctx, a)
	default:
		d.o.Log.Error("event=action_unknown", "action", action)
	}
}

// locked runs f on the tables with the present instant.
func (d *Driver) locked(f func(now mono.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.o.Clock.Now())
}

func (d *Driver) heartbeat(ctx context.Context, a authority.SendHeartbeat) {
	vm, ok := d.o.Directory.VM(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := d.o.Peers.Get(vm).Heartbeat(ctx, heartbeatTo(a.Request))
	if err != nil {
		return // Silence counts by itself.
	}
	d.locked(func(now mono.Time) { d.holder.ObserveHeartbeat(a.To, heartbeatAnswerFrom(resp), now) })
}

func (d *Driver) withdraw(ctx context.Context, a authority.SendWithdraw, holder bool) {
	vm, ok := d.o.Directory.VM(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := d.o.Peers.Get(vm).Withdraw(ctx, &peerpb.WithdrawRequest{
		Vm:      string(d.o.Directory.Self().ID),
		Group:   string(a.Request.Group),
		Version: a.Request.Version,
		Row:     encodeRow(a.Request.Row),
	})
	if err != nil {
		return
	}
	answer := withdrawAnswerFrom(a.Request, resp)
	d.locked(func(now mono.Time) {
		if holder {
			d.holder.ObserveWithdraw(answer, now)
			return
		}
		d.promoter.ObserveWithdraw(a.To, answer, now)
	})
}

func (d *Driver) release(ctx context.Context, a authority.SendRelease) {
	vm, ok := d.o.Directory.VM(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := d.o.Peers.Get(vm).ReleaseRight(ctx, &peerpb.ReleaseRightRequest{
		Vm:      string(d.o.Directory.Self().ID),
		Group:   string(a.Request.Group),
		Version: a.Request.Version,
	})
	if err != nil {
		return
	}
	answer := authority.ReleaseRightResponse{Group: a.Request.Group, Version: a.Request.Version, Released: resp.Released}
	d.locked(func(mono.Time) { d.promoter.ObserveRelease(a.To, answer) })
}

// commit replaces the group's row by compare-and-set. The condition is the
// table's revision of the row of the version before, which a read brings.
func (d *Driver) commit(ctx context.Context, row *topology.Group, holder bool) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := d.o.Clock.Now()
	res := d.tryCommit(ctx, row)
	d.locked(func(now mono.Time) {
		if holder {
			d.holder.ObserveCommit(res, now)
		} else {
			d.promoter.ObserveCommit(res, now)
		}
		if res.Status == authority.Committed {
			d.observeRow(authority.RowRead{Row: row, Began: began}, now)
		}
	})
	d.o.Log.Info("event=row_commit", "group", row.ID, "version", row.Version, "term", row.Term,
		"primary", row.Primary, "promoters", len(row.Promoters), "change", row.ChangeID,
		"status", int(res.Status), "took", d.o.Clock.Now().Sub(began))
}

func (d *Driver) tryCommit(ctx context.Context, row *topology.Group) authority.CommitResult {
	res := authority.CommitResult{Group: row.ID, ChangeID: row.ChangeID}
	current, revision, err := d.currentRow(ctx, row.ID)
	if err != nil {
		res.Status = authority.Unavailable
		return res
	}
	if current == nil || current.Version != row.Version-1 {
		res.Status = authority.Conflict
		res.Row = current
		if current != nil && current.ChangeID == row.ChangeID {
			res.Status = authority.Committed
		}
		return res
	}
	key := groupPrefix + string(row.ID)
	value := encodeRow(row)
	out, err := d.o.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		res.Status = authority.Unavailable
	case err != nil:
		res.Status = authority.Unknown
	case !out.Committed:
		res.Status = authority.Conflict
		res.Row = conflictRow(out)
	default:
		res.Status = authority.Committed
		d.o.Publish(platform.Row{Key: key, Value: value, Revision: out.Revision})
	}
	return res
}

func conflictRow(out platform.Outcome) *topology.Group {
	if len(out.Conflicts) == 0 {
		return nil
	}
	return decodeRow(out.Conflicts[0].Value)
}

// currentRow reads the group's row and the table's revision of it.
func (d *Driver) currentRow(ctx context.Context, id topology.GroupID) (*topology.Group, uint64, error) {
	key := groupPrefix + string(id)
	rows, _, err := d.o.Table.Scan(ctx, key, 0)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range rows {
		if r.Key == key && !r.Deleted {
			return decodeRow(r.Value), r.Revision, nil
		}
	}
	return nil, 0, nil
}

func (d *Driver) readRow(ctx context.Context, id topology.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := d.o.Clock.Now()
	row, _, err := d.currentRow(ctx, id)
	if err != nil || row == nil {
		return
	}
	d.locked(func(now mono.Time) { d.observeRow(authority.RowRead{Row: row, Began: began}, now) })
}

// control runs one statement on the target's control connection.
func (d *Driver) control(ctx context.Context, t topology.TargetID, f func(context.Context, *pooler.Control) (pooler.TargetStatus, error)) (pooler.TargetStatus, error) {
	c, failure := d.o.Pooler.Control(t)
	if failure != nil {
		return pooler.TargetStatus{}, failure
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return f(ctx, c)
}

func (d *Driver) fence(ctx context.Context, a authority.FenceReplica) {
	s, err := d.control(ctx, a.Target, func(ctx context.Context, c *pooler.Control) (pooler.TargetStatus, error) {
		return c.Fence(ctx, a.Term)
	})
	d.o.Log.Info("event=fence", "group", a.Group, "target", a.Target, "term", a.Term, "position", s.Position, "error", err)
	if err != nil {
		return
	}
	d.locked(func(now mono.Time) { d.promoter.ObserveFenced(a, s.Position, now) })
}

func (d *Driver) promote(ctx context.Context, a authority.PromoteReplica) {
	_, err := d.control(ctx, a.Target, func(ctx context.Context, c *pooler.Control) (pooler.TargetStatus, error) {
		return c.Promote(ctx, a.Term)
	})
	d.o.Log.Info("event=promote", "group", a.Group, "target", a.Target, "term", a.Term, "error", err)
	if err != nil {
		return
	}
	d.Promoted(a.Group, a.Term)
	d.assign(ctx) // This VM holds the new primary from here on, not from the next period.
}

// Promoted tells that the group's primary confirmed the term.
func (d *Driver) Promoted(group topology.GroupID, term uint64) {
	d.locked(func(mono.Time) { d.holder.ObservePromoted(group, term) })
}

func (d *Driver) follow(ctx context.Context, a authority.FollowPrimary) {
	row := d.o.Directory.Group(a.Group)
	if row == nil {
		return
	}
	primary, ok := d.o.Directory.Target(row.Primary)
	if !ok {
		return
	}
	_, err := d.control(ctx, a.Target, func(ctx context.Context, c *pooler.Control) (pooler.TargetStatus, error) {
		return c.Follow(ctx, row.Term, row.Primary, primary.Address)
	})
	d.o.Log.Info("event=follow", "group", a.Group, "target", a.Target, "primary", row.Primary, "error", err)
}

// probeOutcome tells a refused connection from one that nobody answered.
func probeOutcome(err error) authority.ProbeOutcome {
	var timeout net.Error
	switch {
	case err == nil:
		return authority.ProbeAnswered
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return authority.ProbeTimedOut
	}
	return authority.ProbeRefused
}

func (d *Driver) askWitness(ctx context.Context, target topology.TargetID) {
	vm, ok := d.o.Directory.Witness(target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := d.o.Peers.Get(vm).Witness(ctx, &peerpb.WitnessRequest{Target: string(target)})
	if err != nil || !resp.Known {
		return
	}
	d.locked(func(now mono.Time) { d.detector.ObserveWitness(target, resp.Reachable, now) })
}

func (d *Driver) requestTakeOver(ctx context.Context, a authority.RequestSwitchover) {
	vm, ok := d.o.Directory.VM(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := d.o.Peers.Get(vm).TakeOver(ctx, &peerpb.SwitchoverNotice{
		Vm:    string(d.o.Directory.Self().ID),
		Group: string(a.Group),
	})
	d.o.Log.Info("event=take_over_asked", "group", a.Group, "vm", a.To, "error", err)
}

// askTargets has this VM's targets tell their roles and positions.
func (d *Driver) askTargets(ctx context.Context) {
	d.mu.Lock()
	parts := make([]Part, 0, len(d.parts))
	for _, p := range d.parts {
		parts = append(parts, p)
	}
	d.mu.Unlock()
	for _, part := range parts {
		for _, t := range part.Targets {
			go d.askTarget(ctx, part.Group, t)
		}
	}
}

func (d *Driver) askTarget(ctx context.Context, group topology.GroupID, t topology.TargetID) {
	began := d.o.Clock.Now()
	s, err := d.control(ctx, t, func(ctx context.Context, c *pooler.Control) (pooler.TargetStatus, error) {
		return c.Status(ctx)
	})
	row := d.o.Directory.Group(group)
	if row == nil {
		return
	}
	d.locked(func(now mono.Time) {
		if row.Primary == t {
			d.observePrimary(group, t, s, err, began, now)
			return
		}
		d.promoter.ObserveReplica(group, authority.ReplicaStatus{
			Reachable: err == nil,
			Term:      s.Term,
			Primary:   s.Primary,
			Position:  s.Position,
		})
	})
}

func (d *Driver) observePrimary(group topology.GroupID, t topology.TargetID, s pooler.TargetStatus, err error, began, now mono.Time) {
	if err != nil {
		d.detector.Doubt(t)
		return
	}
	d.detector.ObserveAnswer(t, now.Sub(began), now)
	if s.Role == pooler.RolePrimary {
		d.holder.ObservePromoted(group, s.Term)
		d.holder.ObservePrimary(group, s.Position, began)
	}
}
