package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// controlTimeout limits one control statement.
const controlTimeout = time.Second

// roles assigns the targets that this VM pools the roles that the group rows
// specify, and writes the first row of a group that has none.
type roles struct {
	view     *view.View
	platform platform.Service
	pooler   *pooler.Pooler
	driver   *failover.Driver
	publish  publisher
	started  time.Time
	log      *slog.Logger

	mu        sync.Mutex
	confirmed map[topology.TargetID]confirmedRole
}

// confirmedRole is the row that a target was last found to match, and the time of
// that check.
type confirmedRole struct {
	row *topology.Group
	at  time.Time
}

// roleCheckPeriod is how often the role of a target that matches its row is checked
// again, since a target that restarts may have lost its role.
const roleCheckPeriod = time.Second

func newRoles(v *view.View, p platform.Service, pl *pooler.Pooler, d *failover.Driver, pub publisher, log *slog.Logger) *roles {
	return &roles{
		view:      v,
		platform:  p,
		pooler:    pl,
		driver:    d,
		publish:   pub,
		started:   time.Now(),
		log:       log,
		confirmed: map[topology.TargetID]confirmedRole{},
	}
}

// tick checks every target that this VM pools.
func (r *roles) tick(ctx context.Context) {
	conf := r.view.Config()
	if conf == nil {
		return
	}
	for _, part := range r.view.Assignments() {
		row := r.view.Group(part.Group)
		if row == nil {
			r.create(ctx, conf, part)
			continue
		}
		for _, id := range part.Targets {
			if r.due(row, id) {
				go r.assign(ctx, conf, row, id)
			}
		}
	}
}

// due reports whether a target's role must be checked, which is the case after
// every change of the row and when the last check is too old.
func (r *roles) due(row *topology.Group, id topology.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.confirmed[id]
	return s.row != row || time.Since(s.at) >= roleCheckPeriod
}

func (r *roles) confirm(row *topology.Group, id topology.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[id] = confirmedRole{row: row, at: time.Now()}
}

// create writes the first row of a group whose first target this VM pools. The
// write is conditional on the row being absent, so only one of several concurrent
// writers succeeds.
func (r *roles) create(ctx context.Context, conf *config.View, part failover.Assignment) {
	g, _ := conf.Group(part.Group)
	staying := slices.DeleteFunc(slices.Clone(g.Targets), func(t config.Target) bool { return t.Leaving })
	first := staying[0].ID // A document in which all targets of a group are leaving is rejected.
	if !slices.Contains(part.Targets, first) {
		return
	}
	row := topology.Group{ID: part.Group, Version: 1, Term: 1, Primary: first, ChangeID: "create/" + string(r.view.Self().ID)}
	for _, c := range part.Candidates {
		if c.Replica != first {
			c.Synced = true // No write has been acknowledged yet, so the replica lacks none.
			row.Promoters = append(row.Promoters, c)
		}
	}
	if len(row.Promoters) < len(staying)-1 || !r.hasLocalPoolers(conf, part.Candidates) {
		return // Promoters may never be empty, so the group waits for its VMs.
	}
	value, err := json.Marshal(row)
	if err != nil {
		r.log.Error("event=group_create_failed", "group", part.Group, "error", err)
		return
	}
	key := view.GroupPrefix + string(part.Group)
	out, err := r.platform.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if err == nil && out.Committed {
		r.publish(platform.Row{Key: key, Value: value, Revision: out.Revision})
	}
	r.log.Info("event=group_created", "group", part.Group, "primary", first, "committed", out.Committed, "error", err)
}

// placementTimeout is how long the first row of a group is postponed while a target
// has no pooler in its own data centre.
const placementTimeout = 10 * time.Second

// hasLocalPoolers reports whether each target has a pooler in its own data centre, or
// the wait for that has timed out. VMs discover each other one by one at startup. A
// VM that has not discovered any other would list itself for every replica, and the
// group could fail over only while that VM is alive.
func (r *roles) hasLocalPoolers(conf *config.View, poolers []topology.Promoter) bool {
	if time.Since(r.started) > placementTimeout {
		return true
	}
	for _, p := range poolers {
		vm, ok := r.view.VM(p.VM)
		t, known := conf.Target(p.Replica)
		if !ok || !known || vm.DataCentre != t.DataCentre {
			return false
		}
	}
	return true
}

// assign sets a target to the role that the row specifies. It does nothing while
// this VM is promoting a replica of the group, because the replica is fenced on
// purpose then.
func (r *roles) assign(ctx context.Context, conf *config.View, row *topology.Group, id topology.TargetID) {
	control, failure := r.pooler.Control(id)
	if failure != nil || r.driver.Promoting(row.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, err := control.Status(ctx)
	if err != nil {
		return // The failure detector handles targets that do not answer.
	}
	switch {
	case status.Term > row.Term:
		return // This row is outdated; a newer one has not arrived yet.
	case row.Primary == id && (status.Role != pooler.RolePrimary || status.Term < row.Term):
		_, err = control.Promote(ctx, row.Term)
	case row.Primary != id && (status.Role != pooler.RoleReplica || status.Term < row.Term || status.Primary != row.Primary):
		r.reportSurplus(row, id, status)
		primary, _ := conf.Target(row.Primary)
		_, err = control.Follow(ctx, row.Term, row.Primary, primary.Address)
	default:
		r.confirm(row, id)
		return
	}
	r.log.Info("event=target_assigned", "target", id, "role_before", status.Role, "primary", row.Primary, "term", row.Term, "error", err)
}

// reportSurplus logs which writes of a former primary are lost: those that the new
// primary does not have are discarded when the former one follows it.
func (r *roles) reportSurplus(row *topology.Group, id topology.TargetID, status pooler.TargetStatus) {
	surplus, lost := authority.SurplusOf(row, status.Position)
	if !lost {
		return
	}
	r.log.Warn("event=writes_lost", "group", row.ID, "target", id, "after", surplus.From, "to", surplus.To)
}
