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
	// stopPeriod of the planned stop's steps.
	stopPeriod = 50 * time.Millisecond
	// graceParts: idle sessions are ended after one part of the drain time in so
	// many, so that a transaction begun at the last moment has the others.
	graceParts = 4
	// longestStop is above the greatest drain_time; the plan ends well before.
	longestStop = time.Hour + time.Minute
)

type callerParts struct {
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

// serveCallers accepts sessions; a planned stop drains them before the peers'
// server goes, since their last requests may run on this VM's own targets.
func serveCallers(p callerParts) {
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

// leave carries out the plan of a planned stop until it says to exit.
func (p *callerParts) leave(ctx context.Context) {
	begun := time.Now()
	drain := drainTime(p.View.Config())
	plan := membership.NewStop(p.Clock.Now(), drain)
	p.View.Leave()
	p.Log.Info("event=leaving", "sessions", p.Entry.Sessions(), "drain_time", drain)
	ticker := time.NewTicker(stopPeriod)
	defer ticker.Stop()
	announced := false
	for ctx.Err() == nil {
		for _, action := range plan.Tick(p.Clock.Now(), p.load(announced)) {
			switch action {
			case membership.Announce:
				announced = p.Registrar.register(ctx)
			case membership.RefuseNewSessions, membership.AskIdleToReconnect:
				p.Entry.Leave(begun.Add(drain / graceParts))
			case membership.HandOverPoolers, membership.HandOverPromoters:
				// Both follow from the mark, which rides on every message: the
				// others choose without this VM and the holders change their lists.
			case membership.Exit:
				p.Log.Info("event=left", "took", time.Since(begun), "left", plan.Left())
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

// load is what this VM still holds.
func (p *callerParts) load(announced bool) membership.Load {
	load := membership.Load{
		Announced:    announced,
		IdleSessions: p.Entry.Sessions(),
		Running:      p.Pooler.RunningAll(),
	}
	if len(p.View.LivePeers()) == 0 {
		return load // Nobody is left to take anything over.
	}
	load.Poolers = len(p.View.Assignments())
	load.Promoters = p.View.PromoterGroupCount()
	return load
}
