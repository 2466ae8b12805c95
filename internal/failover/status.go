package failover

import (
	"context"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

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
			Reachable: err == nil && rewound(s),
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

// rewound reports whether the target's log is a part of its primary's. Failure: a
// returning primary holds entries that the new one does not, and its position
// counts as caught up until they are cut off. Each primary begins its term with
// an entry, and whoever holds one of the term has cut off what does not fit.
func rewound(s pooler.TargetStatus) bool { return s.Position.Term == s.Term }
