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

// controlTimeout of one control statement.
const controlTimeout = time.Second

// roles brings the targets that this VM pools into the roles that the group rows
// give them, and writes the first row of a group that has none.
type roles struct {
	view     *view.View
	platform platform.Service
	pooler   *pooler.Pooler
	driver   *failover.Driver
	publish  publisher
	started  time.Time
	log      *slog.Logger

	mu      sync.Mutex
	settled map[topology.TargetID]settledRole
}

// settledRole is a row that a target was found to obey, and when.
type settledRole struct {
	row *topology.Group
	at  time.Time
}

// checkAgain is how often a target that obeys its row is asked whether it still
// does: one that restarts may have lost its role.
const checkAgain = time.Second

func newRoles(v *view.View, p platform.Service, pl *pooler.Pooler, d *failover.Driver, pub publisher, log *slog.Logger) *roles {
	return &roles{
		view:     v,
		platform: p,
		pooler:   pl,
		driver:   d,
		publish:  pub,
		started:  time.Now(),
		log:      log,
		settled:  map[topology.TargetID]settledRole{},
	}
}

// tick looks at every target that this VM pools.
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

// due reports whether a target has to be asked for its role: with every new row,
// and from time to time.
func (r *roles) due(row *topology.Group, id topology.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.settled[id]
	return s.row != row || time.Since(s.at) >= checkAgain
}

func (r *roles) settle(row *topology.Group, id topology.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled[id] = settledRole{row: row, at: time.Now()}
}

// create writes the first row of a group whose first target this VM pools. The
// condition that there is none makes a second writer lose.
func (r *roles) create(ctx context.Context, conf *config.View, part failover.Assignment) {
	g, _ := conf.Group(part.Group)
	staying := slices.DeleteFunc(slices.Clone(g.Targets), func(t config.Target) bool { return t.Leaving })
	first := staying[0].ID // A document whose targets all leave is refused.
	if !slices.Contains(part.Targets, first) {
		return
	}
	row := topology.Group{ID: part.Group, Version: 1, Term: 1, Primary: first, ChangeID: "create/" + string(r.view.Self().ID)}
	for _, c := range part.Candidates {
		if c.Replica != first {
			c.Synced = true // Nothing was acknowledged yet, so nothing is missing.
			row.Promoters = append(row.Promoters, c)
		}
	}
	if len(row.Promoters) < len(staying)-1 || !r.placed(conf, part.Candidates) {
		return // The list is never empty, so the group waits for its VMs.
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

// patience is how long a group without a row waits for VMs in all places.
const patience = 10 * time.Second

// placed reports whether each target has a pooler in its own data centre. At a
// start VMs hear of each other one by one; one that knew nobody yet would list
// itself for every replica, and the group could fail over only while it lives.
func (r *roles) placed(conf *config.View, poolers []topology.Promoter) bool {
	if time.Since(r.started) > patience {
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

// assign gives a target the role that the row has for it. A replica that this VM
// is promoting is left alone: it is fenced on purpose.
func (r *roles) assign(ctx context.Context, conf *config.View, row *topology.Group, id topology.TargetID) {
	control, failure := r.pooler.Control(id)
	if failure != nil || r.driver.Attempting(row.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, err := control.Status(ctx)
	if err != nil {
		return // The detector looks after targets that do not answer.
	}
	switch {
	case status.Term > row.Term:
		return // A row newer than this one is on its way.
	case row.Primary == id && (status.Role != pooler.RolePrimary || status.Term < row.Term):
		_, err = control.Promote(ctx, row.Term)
	case row.Primary != id && (status.Role != pooler.RoleReplica || status.Term < row.Term || status.Primary != row.Primary):
		r.reportSurplus(row, id, status)
		primary, _ := conf.Target(row.Primary)
		_, err = control.Follow(ctx, row.Term, row.Primary, primary.Address)
	default:
		r.settle(row, id)
		return
	}
	r.log.Info("event=target_assigned", "target", id, "role_before", status.Role, "primary", row.Primary, "term", row.Term, "error", err)
}

// reportSurplus tells which writes of a returning primary are lost: its new
// primary cuts them off.
func (r *roles) reportSurplus(row *topology.Group, id topology.TargetID, status pooler.TargetStatus) {
	surplus, lost := authority.SurplusOf(row, status.Position)
	if !lost {
		return
	}
	r.log.Warn("event=writes_lost", "group", row.ID, "target", id, "after", surplus.From, "to", surplus.To)
}
