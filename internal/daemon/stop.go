package daemon

import (
	"context"
	"log/slog"
	"net"
	"time"

	"go.uber.org/fx"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// stopTickPeriod is the interval between the steps of a planned stop.
	stopTickPeriod = 50 * time.Millisecond
	// idleGraceDivisor is the divisor of the drain time that gives the grace period after
	// which idle sessions are closed. A transaction that begins at the end of the
	// grace period has the rest of the drain time.
	idleGraceDivisor = 4
	// stopTimeout limits the whole stop. It is above the largest drain_time, so the
	// plan ends well before it.
	stopTimeout = time.Hour + time.Minute
)

type callerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	Entry     *entry.Server
	View      *view.View
	Registrar *registrar
	Pooler    *pooler.Pooler
	Clock     mono.Clock
	Log       *slog.Logger
}

// serveCallers accepts sessions. A planned stop drains them before the server for
// peers stops, since their last requests may run on targets that this VM pools.
func serveCallers(p callerParams) {
	var l net.Listener
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			l, err = net.Listen("tcp", p.Settings.CallerAddress)
			if err != nil {
				return err
			}
			p.Log.Info("event=callers_served", "address", p.Settings.CallerAddress)
			go func() { _ = p.Entry.Serve(l) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			p.leave(ctx)
			l.Close()
			return nil
		},
	})
}

// leave performs the actions of the stop plan until the plan's exit action.
func (p *callerParams) leave(ctx context.Context) {
	start := time.Now()
	drain := drainTime(p.View.Config())
	plan := membership.NewStop(p.Clock.Now(), drain)
	p.View.Leave()
	p.Log.Info("event=leaving", "sessions", p.Entry.Sessions(), "drain_time", drain)
	ticker := time.NewTicker(stopTickPeriod)
	defer ticker.Stop()
	announced := false
	for ctx.Err() == nil {
		for _, action := range plan.Tick(p.Clock.Now(), p.load(announced)) {
			switch action {
			case membership.Announce:
				announced = p.Registrar.register(ctx)
			case membership.RefuseNewSessions, membership.AskIdleToReconnect:
				p.Entry.Leave(start.Add(drain / idleGraceDivisor))
			case membership.HandOverPoolers, membership.HandOverPromoters:
				// Both follow from the leaving mark, which is part of every message:
				// the other VMs choose poolers without this VM, and the holders of
				// the groups' rights change the lists of promoters.
			case membership.Exit:
				p.Log.Info("event=left", "took", time.Since(start), "left", plan.Remaining())
				return
			}
		}
		p.Pooler.CloseIdle()
		<-ticker.C
	}
}

func drainTime(conf *config.View) time.Duration {
	if conf == nil {
		return config.DefaultDrainTime.Std()
	}
	return conf.Limits().DrainTime.Std()
}

// load returns the work that this VM still has to finish or hand over.
func (p *callerParams) load(announced bool) membership.Load {
	load := membership.Load{
		Announced:    announced,
		IdleSessions: p.Entry.Sessions(),
		Running:      p.Pooler.RunningAll(),
	}
	if len(p.View.LivePeers()) == 0 {
		return load // No other VM is left that could take over.
	}
	load.Poolers = len(p.View.Assignments())
	load.Promoters = p.View.PromoterGroupCount()
	return load
}
