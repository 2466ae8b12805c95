package gatewayd

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/forward"
	"github.com/buckthornshore/buckthornshore/internal/gateway"
	"github.com/buckthornshore/buckthornshore/internal/lead"
	"github.com/buckthornshore/buckthornshore/internal/limit"
	kvlog "github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/platform"
)

// memoryShare of the process's limit that the garbage collector may use: buffers of
// the kernel count as well.
const memoryShare = 0.7

// New wires the daemon.
func New(path string, s Settings) *fx.App {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	}
	return fx.New(
		fx.WithLogger(func(l *logging) fxevent.Logger { return kvlog.StartFailures{Log: l.log, Flush: l.flush} }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Grace.Std()),
		fx.Supply(s, settingsFile(path)),
		fx.Provide(
			newLogging,
			func(l *logging) *slog.Logger { return l.log },
			func() mono.Clock { return mono.System{} },
			metrics.Provide,
			metrics.NewEntry,
			metrics.NewStore,
			metrics.NewPeers,
			metrics.NewCustomers,
			newStore,
			platform.NewDriver,
			register,
			newDirectory,
			newPools,
			newKeeper,
			newLead,
			newServer,
			newLifecycle,
			newMalformed,
		),
		fx.Invoke(run),
	)
}

// startTimeout is long: a daemon that starts during an outage of the store waits for it.
const startTimeout = time.Hour

type settingsFile string

func newStore(s Settings, m *metrics.Store) metastore.Store {
	return meteredStore{platform.NewStore(s.StoreAddress), m}
}

// register takes this start's incarnation from the store.
func register(s Settings, store metastore.Store, log *slog.Logger) (topology.VM, error) {
	vm := topology.VM{ID: s.VM, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: s.PeerAddress, Cores: s.CPUShare * s.CPUSpeed}
	return lead.Register(context.Background(), store, vm, log)
}

func newDirectory(vm topology.VM) *directory.Directory { return directory.New(vm) }

func newPools(s Settings, d *directory.Directory, driver *platform.Driver, clock mono.Clock, log *slog.Logger) *target.Pools {
	pools := target.NewPools(d, forward.NewDriver(d, driver), clock, log)
	pools.Drain = s.Drain.Std()
	return pools
}

type leadParts struct {
	fx.In
	Settings  Settings
	Directory *directory.Directory
	Store     metastore.Store
	Driver    *platform.Driver
	Pools     *target.Pools
	Limits    *limit.Keeper
	Clock     mono.Clock
	Log       *slog.Logger
	Metrics   *metrics.Peers
}

func newLead(p leadParts) (*lead.Lead, error) {
	transport, err := lead.Listen(p.Settings.PeerAddress, p.Log)
	if err != nil {
		return nil, err
	}
	transport.Metrics = p.Metrics
	return lead.New(lead.Options{
		Directory: p.Directory, Store: p.Store, Control: p.Driver, Health: p.Pools,
		Promotions: platform.NewPromotions(p.Settings.PromotionAddress),
		Limits:     p.Limits,
		Transport:  transport, Clock: p.Clock, Log: p.Log,
	}), nil
}

func newKeeper(s Settings, d *directory.Directory, clock mono.Clock) *limit.Keeper {
	policy := quota.Policy{Window: s.QuotaWindow.Std(), Excess: s.QuotaExcess, Slack: s.QuotaSlack}
	return limit.NewKeeper(d, clock, policy)
}

func newServer(s Settings, d *directory.Directory, pools *target.Pools, l *lead.Lead, limits *limit.Keeper, clock mono.Clock, log *slog.Logger, m *metrics.Entry, customers *metrics.Customers) *gateway.Server {
	return gateway.NewServer(gateway.Options{
		Directory: d, Pools: pools, Rights: l, Limits: limits, Clock: clock, Log: log, Metrics: m, Customers: customers, MaxSessions: s.MaxSessions,
		Codec: func(nc net.Conn) gateway.Caller { return platform.NewCaller(nc) },
	})
}

// lifecycle is what the daemon's start and stop share.
type lifecycle struct {
	leaving atomic.Bool
	context context.Context
	cancel  context.CancelFunc
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

type parts struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	File      settingsFile
	Life      *lifecycle
	Directory *directory.Directory
	Store     metastore.Store
	Pools     *target.Pools
	Lead      *lead.Lead
	Server    *gateway.Server
	Clock     mono.Clock
	Logging   *logging
	Log       *slog.Logger
	Registry  *metrics.Registry
	Malformed *malformed
	Metrics   *metrics.Store
	Customers *metrics.Customers
}

func run(p parts) {
	p.Lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

func (p *parts) start(context.Context) error {
	ctx := p.Life.context
	p.Lead.Share(p.Server.Positions())
	go p.configurationWatcher().Run(ctx)
	go p.targetWatcher().Run(ctx)
	go p.Pools.Run(ctx)
	go p.Lead.Run(ctx)
	go p.reloads(ctx)
	go p.shedWhileOutOfTouch(ctx)
	go p.Logging.run(ctx)
	callers, err := net.Listen("tcp", p.Settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", p.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", p.Settings.PeerAddress)
	if err != nil {
		return err
	}
	forwarded := &forward.Server{Directory: p.Directory, Pools: p.Pools, Clock: p.Clock, Log: p.Log}
	go forwarded.Serve(ctx, peers)
	go p.Server.Serve(ctx, callers)
	go p.serveHTTP(ready, platform.ReadyHandler(p.ready))
	if err := p.serveAdmin(); err != nil {
		return err
	}
	p.Log.Info("event=started", "vm", p.Settings.VM, "data_centre", p.Settings.DataCentre, "caller_address", p.Settings.CallerAddress,
		"pid", os.Getpid())
	return nil
}

func (p *parts) serveAdmin() error {
	if p.Settings.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", p.Settings.AdminAddress)
	if err != nil {
		return err
	}
	go p.serveHTTP(l, metrics.Handler(p.Registry, p.whyNotReady))
	return nil
}

// headerTimeout bounds how long a request's header may take.
const headerTimeout = 5 * time.Second

func (p *parts) serveHTTP(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	if err := server.Serve(l); err != nil && p.Life.context.Err() == nil {
		p.Log.Error("event=http_server_ended", "address", l.Addr(), "error", err)
	}
}

func (p *parts) ready() bool { return p.whyNotReady() == "" }

// whyNotReady returns why the balancer is to send no connections here, or "".
func (p *parts) whyNotReady() string {
	switch {
	case p.Life.leaving.Load():
		return "leaving"
	case p.Directory.Configuration() == nil:
		return "no configuration"
	case len(p.Directory.Targets()) == 0:
		return "no target is registered"
	case p.Lead.OutOfTouch():
		return "out of touch"
	}
	return ""
}

// shedAfter is how long a VM must be out of touch before it sends its sessions away. The
// balancer takes it out of rotation after one to two seconds; a caller that comes back
// sooner meets the same refusals as before, and those that come back later are served
// elsewhere with their next request.
const shedAfter = 1300 * time.Millisecond

// touchPeriod is how often it is looked whether this VM is in touch.
const touchPeriod = 100 * time.Millisecond

// shedWhileOutOfTouch sends sessions away about when the balancer brings no new ones.
func (p *parts) shedWhileOutOfTouch(ctx context.Context) {
	ticker := time.NewTicker(touchPeriod)
	defer ticker.Stop()
	since := time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		switch {
		case !p.Lead.OutOfTouch():
			since = time.Time{}
			p.Server.Keep()
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > shedAfter:
			p.Server.Shed()
		}
	}
}

// The parts of the grace in which a daemon that leaves goes on.
const (
	// rotationTime is how long the balancer may send new connections after the
	// VM said that it is not ready: it asks each second, and twice.
	rotationTime = 2200 * time.Millisecond
	// transactionShare of the grace is left to open transactions.
	transactionShare = 0.5
	// lastShare of the grace is when the last request is taken. What is left of the usual
	// grace is longer than a statement may take, so none is cut off.
	lastShare = 0.6
	// endShare of the grace is when the process ends in any case.
	endShare = 0.93
)

// stop leaves in order: say not ready, hand over the groups that this VM coordinates,
// answer what comes, close idle sessions once the balancer sends none, and end.
func (p *parts) stop(ctx context.Context) error {
	p.Life.leaving.Store(true)
	p.Log.Info("event=stopping", "sessions", p.Server.Sessions())
	now := time.Now()
	grace := float64(p.Settings.Grace)
	plan := gateway.LeavePlan{
		Idle:         now.Add(min(rotationTime, time.Duration(transactionShare*grace))),
		Transactions: now.Add(time.Duration(transactionShare * grace)),
		All:          now.Add(time.Duration(lastShare * grace)),
	}
	p.Server.Leave(plan)
	handing, cancel := context.WithDeadline(ctx, plan.Transactions)
	p.Lead.Leave(handing)
	cancel()
	time.Sleep(time.Until(plan.Idle))
	waiting, cancel := context.WithDeadline(ctx, now.Add(time.Duration(endShare*grace)))
	defer cancel()
	p.Server.Wait(waiting)
	p.Log.Info("event=stopped", "sessions", p.Server.Sessions(), "took", time.Since(now))
	p.Life.cancel()
	p.Logging.flush()
	return nil
}
