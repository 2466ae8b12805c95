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
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// headerTimeout bounds how long a peer may take to send a request's header.
const headerTimeout = 5 * time.Second

// queuePeriod is how late the answer to a request that expires in a queue may be.
const queuePeriod = 20 * time.Millisecond

type systems struct {
	fx.In
	Lifecycle fx.Lifecycle
	Keeper    *configKeeper
	Follower  *relay.Follower
	Driver    *failover.Driver
	Prober    *liveness.Prober
	Lister    *lister
	Leaver    *leaver
	Pooler    *pooler.Pooler
}

// runSystems starts everything that runs by itself.
func runSystems(s systems) {
	ctx, cancel := context.WithCancel(context.Background())
	s.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := s.Keeper.loadFile(); err != nil {
				return err
			}
			go s.Keeper.run(ctx)
			go s.Follower.Run(ctx)
			go s.Driver.Run(ctx)
			go s.Prober.Run(ctx)
			go every(ctx, listPeriod, s.Lister.tick)
			go every(ctx, leaverPeriod, s.Leaver.tick)
			go every(ctx, queuePeriod, func(context.Context) { s.Pooler.Tick() })
			go every(ctx, time.Second, func(context.Context) { s.Pooler.Sweep(time.Now()) })
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

type peerServices struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	View      *view.View
	Clock     mono.Clock
	Pooler    *pooler.Pooler
	Relay     *relay.Server
	Driver    *failover.Driver
	Operators *operators
	Log       *slog.Logger
}

// servePeers answers the other VMs.
func servePeers(s peerServices) {
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
	// Operators ask any daemon here, too: the peers' addresses are known to all.
	mux.Handle(s.Operators.handler(s.Settings.OperatorSecret))
	server := &http.Server{Handler: peers.Handler(mux, s.View, s.Clock), ReadHeaderTimeout: headerTimeout}
	s.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.Settings.PeerAddress)
			if err != nil {
				return err
			}
			s.Log.Info("event=peers_served", "address", s.Settings.PeerAddress)
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			defer s.Pooler.Close()
			return server.Shutdown(ctx)
		},
	})
}
