package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// drainTime bounds a planned stop.
const drainTime = 30 * time.Second

// New builds the daemon's application from its settings.
func New(s Settings) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.Provide(
			newLog,
			newVM,
			view.New,
			newDialers,
			newPlatform,
			newPooler,
			newEntry,
			peers.NewTable,
			newSync,
			metrics.Provide,
			metrics.NewEntry,
			metrics.NewPooler,
		),
		fx.Invoke(serveAdmin, servePeers, serveCallers, runSync),
		fx.StopTimeout(drainTime+time.Second),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
}

func newLog(s Settings) *slog.Logger {
	return logging.New(os.Stderr, "bts-proxy", s.LogLevel).With("vm", s.VM)
}

// newVM takes the start-up time as the incarnation: it rises with every start,
// and a VM has no disk that could keep a counter.
func newVM(s Settings) topology.VM {
	return topology.VM{
		ID:          s.VM,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		PeerAddress: s.PeerAddress,
		Incarnation: topology.Incarnation(time.Now().UnixNano()),
	}
}

type dialers struct {
	fx.Out
	Pooler pooler.Dialer
	Peers  peers.Dialer
}

func newDialers(s Settings) dialers {
	d := newDialer(s.AddressMap)
	return dialers{Pooler: d, Peers: d}
}

func newPlatform(s Settings, d peers.Dialer) platform.Service {
	client := &http.Client{
		Transport: &http.Transport{DialContext: d.DialContext},
		Timeout:   s.PlatformTimeout.Std(),
	}
	return platform.NewRemote(s.PlatformURL, string(s.VM), client)
}

// Defaults of the pooler until the configuration says otherwise.
const (
	transactionIdle = 10 * time.Second
	maxResult       = 8 << 20
)

func newPooler(d pooler.Dialer, v *view.View, m *metrics.Pooler, log *slog.Logger) *pooler.Pooler {
	return pooler.New(pooler.Options{
		Dialer:          d,
		Rights:          rowRights{v},
		Directory:       v,
		Log:             log,
		TransactionIdle: transactionIdle,
		MaxResult:       maxResult,
		Metrics:         m,
	})
}

func newEntry(v *view.View, p *peers.Table, m *metrics.Entry, log *slog.Logger) *entry.Server {
	return entry.New(entry.Options{View: v, Peers: p, Metrics: m, Log: log})
}

// servePeers answers the other VMs.
func servePeers(lc fx.Lifecycle, s Settings, p *pooler.Pooler, log *slog.Logger) {
	mux := http.NewServeMux()
	handler := peerpb.NewPoolerServer(p)
	mux.Handle(handler.PathPrefix(), handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.PeerAddress)
			if err != nil {
				return err
			}
			log.Info("event=peers_served", "address", s.PeerAddress)
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			defer p.Close()
			return server.Shutdown(ctx)
		},
	})
}

// headerTimeout bounds how long a peer may take to send a request's header.
const headerTimeout = 5 * time.Second

// serveCallers accepts sessions; a planned stop drains them before the peers'
// server goes, since their last requests may run on this VM's own targets.
func serveCallers(lc fx.Lifecycle, s Settings, e *entry.Server, log *slog.Logger) {
	var l net.Listener
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			l, err = net.Listen("tcp", s.CallerAddress)
			if err != nil {
				return err
			}
			log.Info("event=callers_served", "address", s.CallerAddress)
			go func() { _ = e.Serve(l) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			l.Close()
			e.Drain(ctx)
			return nil
		},
	})
}

var _ mono.Clock = mono.System{}
