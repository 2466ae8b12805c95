package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"time"

	"go.uber.org/fx"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Periods of the systems.
const (
	syncPeriod      = 200 * time.Millisecond
	reconcilePeriod = 500 * time.Millisecond
	controlTimeout  = time.Second
)

// rowRights allows what the group's row says; promises replace it.
type rowRights struct{ view *view.View }

// Check implements pooler.Rights.
func (r rowRights) Check(group topology.GroupID, term uint64) *result.Error {
	row := r.view.Group(group)
	if row == nil || row.Term != term {
		return result.New(result.NoRight, "%s term %d", group, term).After(reconcilePeriod)
	}
	return nil
}

// synchronizer keeps the view fresh and brings this VM's targets into the roles
// that the group rows give them.
type synchronizer struct {
	settings Settings
	view     *view.View
	platform platform.Service
	pooler   *pooler.Pooler
	log      *slog.Logger
	revision uint64
}

func newSync(s Settings, v *view.View, p platform.Service, pl *pooler.Pooler, log *slog.Logger) *synchronizer {
	return &synchronizer{settings: s, view: v, platform: p, pooler: pl, log: log}
}

func runSync(lc fx.Lifecycle, s *synchronizer) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := s.loadConfig(); err != nil {
				return err
			}
			go every(ctx, syncPeriod, s.pull)
			go every(ctx, reconcilePeriod, s.reconcile)
			go every(ctx, time.Second, func(context.Context) { s.pooler.Sweep(time.Now()) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// every calls f now and then each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *synchronizer) loadConfig() error {
	raw, err := os.ReadFile(s.settings.ConfigFile)
	if err != nil {
		return result.New(result.ConfigInvalid, "%v", err)
	}
	doc, problems := config.Parse(s.settings.ConfigFile, raw)
	if err := config.Err(problems); err != nil {
		return err
	}
	conf, err := config.Effective(doc, config.OrdinaryPreset)
	if err != nil {
		return err
	}
	s.view.SetConfig(conf)
	return nil
}

// pull reads what has changed in the table, and the VM list.
func (s *synchronizer) pull(ctx context.Context) {
	if err := s.platform.Register(ctx, s.view.Self()); err != nil {
		s.log.Warn("event=platform_unreachable", "error", err)
		return
	}
	rows, revision, err := s.platform.Scan(ctx, "", s.revision)
	if err != nil {
		s.log.Warn("event=scan_failed", "error", err)
		return
	}
	if err := s.view.ApplyRows(rows); err != nil {
		s.log.Error("event=bad_row", "error", err)
	}
	s.revision = revision
	if vms, err := s.platform.List(ctx); err == nil {
		s.view.SetVMs(vms)
	}
}

// reconcile brings every target that this VM pools into its role.
func (s *synchronizer) reconcile(ctx context.Context) {
	conf := s.view.Config()
	for _, id := range conf.TargetsIn(s.view.Self().DataCentre) {
		vm, ok := s.view.PoolerOf(id)
		if !ok || vm.ID != s.view.Self().ID {
			continue
		}
		t, _ := conf.Target(id)
		row := s.view.Group(t.Group)
		if row == nil {
			s.create(ctx, conf, t)
			continue
		}
		s.assign(ctx, conf, row, id)
	}
}

// create writes the first row of a group whose first target this VM pools.
func (s *synchronizer) create(ctx context.Context, conf *config.View, t config.PlacedTarget) {
	g, _ := conf.Group(t.Group)
	if g.Targets[0].ID != t.ID {
		return
	}
	row := topology.Group{ID: t.Group, Version: 1, Term: 1, Primary: t.ID, ChangeID: string(s.view.Self().ID)}
	for _, other := range g.Targets[1:] {
		vm, ok := s.view.PoolerOf(other.ID)
		if !ok {
			continue
		}
		p := topology.Promoter{VM: vm.ID, Incarnation: vm.Incarnation, Replica: other.ID, Synced: true}
		row.Promoters = append(row.Promoters, p)
	}
	if len(row.Promoters) < len(g.Targets)-1 {
		return // The list is never empty, so the group waits for its VMs.
	}
	value, err := json.Marshal(row)
	if err != nil {
		s.log.Error("event=group_create_failed", "group", t.Group, "error", err)
		return
	}
	key := view.GroupPrefix + string(t.Group)
	_, err = s.platform.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	s.log.Info("event=group_created", "group", t.Group, "primary", t.ID, "error", err)
}

// assign gives a target the role that the row has for it.
func (s *synchronizer) assign(ctx context.Context, conf *config.View, row *topology.Group, id topology.TargetID) {
	control, failure := s.pooler.Control(id)
	if failure != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, err := control.Status(ctx)
	if err != nil {
		s.log.Warn("event=target_unreachable", "target", id, "error", err)
		return
	}
	switch {
	case row.Primary == id && (status.Role != pooler.RolePrimary || status.Term < row.Term):
		_, err = control.Promote(ctx, row.Term)
	case row.Primary != id && (status.Role != pooler.RoleReplica || status.Term < row.Term || status.Primary != row.Primary):
		primary, _ := conf.Target(row.Primary)
		_, err = control.Follow(ctx, row.Term, row.Primary, primary.Address)
	default:
		return
	}
	s.log.Info("event=target_assigned", "target", id, "primary", row.Primary, "term", row.Term, "error", err)
}
