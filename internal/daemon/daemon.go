package daemon

import (
	"log/slog"
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/internal/liveness"
	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/stall"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// New builds the daemon's application from its settings.
func New(s Settings) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.Provide(
			newLog,
			newClock,
			newVM,
			view.New,
			newDialers,
			newPeers,
			newPlatform,
			newSink,
			newRows,
			newRelayServer,
			newPublisher,
			newConfigUpdater,
			newPooler,
			newDriver,
			newFollower,
			newProber,
			newRegistrar,
			newRoles,
			newSwitchovers,
			newOperators,
			newEntry,
			metrics.Provide,
			metrics.NewEntry,
			metrics.NewPooler,
			metrics.NewTraffic,
		),
		fx.Invoke(connectComponents, runBackgroundTasks, serveAdmin, servePeers, serveCallers),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func(log *slog.Logger) fxevent.Logger { return logging.StartFailures{Log: log} }),
	)
}

func newLog(s Settings) *slog.Logger {
	return logging.New(os.Stderr, "bts-proxy", s.LogLevel).With("vm", s.VM)
}

func newClock() mono.Clock { return mono.System{} }

// newVM uses the startup time as the incarnation: it rises with every start, and a
// VM has no disk that could store a counter.
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
	Pooler   pooler.Dialer
	Peers    peers.Dialer
	Platform platformDialer
}

func newDialers(s Settings, t *metrics.Traffic) dialers {
	d := newDialer(s.AddressMap)
	return dialers{
		Pooler:   &countedDialer{d, t, metrics.ServiceTargets},
		Peers:    &countedDialer{d, t, metrics.ServicePeers},
		Platform: &countedDialer{d, t, metrics.ServicePlatform},
	}
}

func newPeers(d peers.Dialer, v *view.View, clock mono.Clock) *peers.Table {
	return peers.NewTable(d, v, clock)
}

func newPlatform(s Settings, d platformDialer) platform.Service {
	silence := s.PlatformTimeout.Std()
	client := &http.Client{Transport: &stall.Transport{
		Base:    &http.Transport{DialContext: d.DialContext},
		Default: stall.Limits{HeaderTimeout: silence, ReadTimeout: silence},
	}}
	return platform.NewRemote(s.PlatformURL, string(s.VM), client)
}

func newSink(v *view.View, log *slog.Logger) *rowSink { return &rowSink{view: v, log: log} }

func newRows(sink *rowSink) *relay.Store { return relay.NewStore(sink.apply) }

func newRelayServer(rows *relay.Store, p platform.Service) *relay.Server {
	return relay.NewServer(rows, p)
}

func newFollower(s Settings, rows *relay.Store, p platform.Service, v *view.View, table *peers.Table, log *slog.Logger) *relay.Follower {
	f := &relay.Follower{Self: v.Self(), Store: rows, Table: p, Directory: v, Peers: table, Log: log}
	for _, address := range s.Peers {
		f.Seeds = append(f.Seeds, table.Seed(address))
	}
	return f
}

func newPooler(s Settings, d pooler.Dialer, v *view.View, prober *liveness.Prober, clock mono.Clock, m *metrics.Pooler, log *slog.Logger) *pooler.Pooler {
	return pooler.New(pooler.Options{
		Dialer:    d,
		Directory: v,
		Entries:   entryLiveness{v, prober},
		Clock:     clock,
		Log:       log,
		FIFO:      s.Baseline != "",
		Metrics:   m,
	})
}

// entryLiveness tells the pooler which entry daemons are gone.
type entryLiveness struct {
	*view.View
	*liveness.Prober
}

func newProber(v *view.View, p *peers.Table) *liveness.Prober { return liveness.New(v, p) }

type driverParams struct {
	fx.In
	Settings Settings
	View     *view.View
	Peers    *peers.Table
	Pooler   *pooler.Pooler
	Dialer   pooler.Dialer
	Platform platform.Service
	Publish  publisher
	Prober   *liveness.Prober
	Clock    mono.Clock
	Log      *slog.Logger
}

func newDriver(p driverParams) *failover.Driver {
	options := authority.DefaultOptions()
	options.CheckInvariants = p.Settings.CheckInvariants
	return failover.New(failover.Options{
		Directory: p.View,
		Peers:     p.Peers,
		Pooler:    p.Pooler,
		Dialer:    p.Dialer,
		Table:     p.Platform,
		Publish:   p.Publish,
		Liveness:  p.Prober,
		Clock:     p.Clock,
		Authority: options,
		Log:       p.Log,
	})
}

type entryParams struct {
	fx.In
	Settings Settings
	View     *view.View
	Peers    *peers.Table
	Clock    mono.Clock
	Metrics  *metrics.Entry
	Log      *slog.Logger
}

func newEntry(p entryParams) (*entry.Server, error) {
	keys, err := p.Settings.keyRing()
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		View:     p.View,
		Peers:    p.Peers,
		Clock:    p.Clock,
		Keys:     keys,
		Baseline: p.Settings.Baseline,
		Metrics:  p.Metrics,
		Log:      p.Log,
	}), nil
}

// connectComponents sets the references between components that depend on each
// other and so can't receive them at construction.
func connectComponents(sink *rowSink, rows *relay.Store, driver *failover.Driver, updater *configUpdater, p *pooler.Pooler, r *roles, e *entry.Server, table *peers.Table, s Settings) {
	table.ServeLocally(s.PeerAddress, p)
	sink.store = rows
	sink.driver = driver
	sink.updater = updater
	sink.entry = e
	p.SetRights(driver, driver)
	driver.OnAssigned(r.tick)
}
