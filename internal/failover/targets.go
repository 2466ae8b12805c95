package failover

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

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
	d.withLock(func(now mono.Time) { d.promoter.ObserveFenced(a, s.Position, now) })
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
	d.assign(ctx) // This VM becomes the holder at once, not after the next period.
}

// Promoted records that the group's primary confirmed the term.
func (d *Driver) Promoted(group topology.GroupID, term uint64) {
	d.withLock(func(mono.Time) { d.holder.ObservePromoted(group, term) })
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

// readReplica reads the position of a target of the group on a connection of its
// own: a cached status, or one from the VM that pools it, might be older than the end
// of the rights.
func (d *Driver) readReplica(ctx context.Context, a authority.ReadReplica) {
	t, ok := d.o.Directory.Target(a.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, authority.ProbeTimeout)
	defer cancel()
	s, _, err := pooler.Probe(ctx, d.o.Dialer, t.Address)
	if err != nil {
		return
	}
	d.withLock(func(mono.Time) { d.promoter.ObservePosition(a, s.Position) })
}

// probeOutcome distinguishes a refused connection from one that timed out.
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
