package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/internal/liveness"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// headerTimeout bounds how long a peer may take to send a request's header.
const headerTimeout = 5 * time.Second

// queueTickPeriod is how often queues are checked for expired requests, so it bounds how
// late such a request is answered.
const queueTickPeriod = 20 * time.Millisecond

type backgroundParams struct {
	fx.In
	Lifecycle   fx.Lifecycle
	Updater     *configUpdater
	Follower    *relay.Follower
	Driver      *failover.Driver
	Prober      *liveness.Prober
	Registrar   *registrar
	Switchovers *switchovers
	Pooler      *pooler.Pooler
}

// runBackgroundTasks starts the background tasks.
func runBackgroundTasks(s backgroundParams) {
	ctx, cancel := context.WithCancel(context.Background())
	s.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := s.Updater.loadFile(); err != nil {
				return err
			}
			go s.Updater.run(ctx)
			go s.Follower.Run(ctx)
			go s.Driver.Run(ctx)
			go s.Prober.Run(ctx)
			go every(ctx, registerPeriod, s.Registrar.tick)
			go every(ctx, prunePeriod, s.Registrar.prune)
			go every(ctx, leavingCheckPeriod, s.Switchovers.tick)
			go every(ctx, queueTickPeriod, func(context.Context) { s.Pooler.Tick() })
			go every(ctx, time.Second, func(context.Context) { s.Pooler.Sweep(time.Now()) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// every calls f immediately and then once per period until ctx ends.
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

type peerServerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	View      *view.View
	Clock     mono.Clock
	Pooler    *pooler.Pooler
	Relay     *relay.Server
	Driver    *failover.Driver
	Traffic   *metrics.Traffic
	Operators *operators
	Log       *slog.Logger
}

// servePeers serves the requests of other VMs.
func servePeers(s peerServerParams) {
	mux := http.NewServeMux()
	for _, handler := range []interface {
		http.Handler
		PathPrefix() string
	}{
		peerpb.NewPoolerServer(s.Pooler),
		peerpb.NewRelayServer(s.Relay),
		peerpb.NewFailoverServer(failover.NewServer(s.Driver)),
	} {
		mux.Handle(handler.PathPrefix(), handler)
	}
	// Operators' requests are served here too, since every daemon knows the peer
	// addresses.
	mux.Handle(s.Operators.handler(s.Settings.OperatorSecret))
	server := &http.Server{Handler: peers.Handler(mux, s.View, s.Clock), ReadHeaderTimeout: headerTimeout}
	s.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.Settings.PeerAddress)
			if err != nil {
				return err
			}
			s.Log.Info("event=peers_served", "address", s.Settings.PeerAddress)
			counted := s.Traffic.Listener(metrics.ServicePeers, l)
			go func() { _ = server.Serve(counted) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			defer s.Pooler.Close()
			return server.Shutdown(ctx)
		},
	})
}
