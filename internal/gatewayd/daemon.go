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
	"github.com/buckthornshore/buckthornshore/internal/seed"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/platform"
)

// memoryShare is the share of the process's memory limit that the Go runtime may use:
// buffers of the kernel count towards the limit as well.
const memoryShare = 0.7

// New returns the daemon as an fx application. path is the file that the settings were loaded from.
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
			metrics.NewRefusals,
			metrics.NewConnections,
			metrics.NewSlots,
			metrics.NewFairQueue,
			metrics.NewOutliers,
			metrics.NewLimits,
			newStore,
			platform.NewDriver,
			register,
			newDirectory,
			newSeeds,
			newPools,
			newLimiter,
			newLead,
			newServer,
			newRunState,
			newMalformed,
			newKeptConfiguration,
			newUnconfirmedEntries,
		),
		fx.Invoke(run),
	)
}

// startTimeout is long, because a daemon that starts during an outage of the store waits for the store.
const startTimeout = time.Hour

type settingsFile string

func newStore(s Settings, m *metrics.Store) metastore.Store {
	return meteredStore{platform.NewStore(s.StoreAddress), m}
}

// register registers the VM in the store and returns it with the incarnation of this start.
func register(s Settings, store metastore.Store, log *slog.Logger) (topology.VM, error) {
	vm := topology.VM{ID: s.VM, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: s.PeerAddress, Cores: s.CPUShare * s.CPUSpeed}
	return lead.Register(context.Background(), store, vm, log)
}

// newSeeds returns the VMs of the data centre from which this VM gets the rows of the store.
func newSeeds(vm topology.VM, store metastore.Store, log *slog.Logger) *seed.Seeds {
	fetch := func(ctx context.Context, address string, f directory.Feed) (directory.Snapshot, []string, error) {
		return forward.FetchAll(ctx, address, f, vm.PeerAddress)
	}
	return seed.New(vm, store, fetch, log)
}

func newDirectory(vm topology.VM) *directory.Directory { return directory.New(vm) }

// poolMetrics are the recorders of the pools.
type poolMetrics struct {
	fx.In
	Connections *metrics.Connections
	Slots       *metrics.Slots
	FairQueue   *metrics.FairQueue
}

func newPools(s Settings, d *directory.Directory, driver *platform.Driver, clock mono.Clock, log *slog.Logger, m poolMetrics) *target.Pools {
	pools := target.NewPools(d, forward.NewDriver(d, driver), clock, log)
	pools.Drain = s.Drain.Std()
	pools.Options = s.Overload.targetOptions()
	pools.Metrics, pools.SlotMetrics, pools.FairQueueMetrics = m.Connections, m.Slots, m.FairQueue
	return pools
}

type leadDependencies struct {
	fx.In
	Settings  Settings
	Directory *directory.Directory
	Store     metastore.Store
	Driver    *platform.Driver
	Pools     *target.Pools
	Limits    *limit.Limiter
	Seeds     *seed.Seeds
	Clock     mono.Clock
	Log       *slog.Logger
	Metrics   *metrics.Peers
}

func newLead(p leadDependencies) (*lead.Lead, error) {
	transport, err := lead.Listen(p.Settings.PeerAddress, p.Log)
	if err != nil {
		return nil, err
	}
	transport.Metrics = p.Metrics
	return lead.New(lead.Options{
		Directory: p.Directory, Store: p.Store, Control: p.Driver, Health: p.Pools,
		Promotions: platform.NewPromotions(p.Settings.PromotionAddress, p.Clock),
		Limits:     p.Limits,
		Peers:      p.Seeds,
		Transport:  transport, Clock: p.Clock, Log: p.Log,
	}), nil
}

func newLimiter(s Settings, d *directory.Directory, clock mono.Clock, log *slog.Logger, m *metrics.Limits) *limit.Limiter {
	policy := quota.Policy{Window: s.QuotaWindow.Std(), Excess: s.QuotaExcess, Slack: s.QuotaSlack}
	limits := limit.NewLimiter(d, clock, policy)
	limits.ByPriority, limits.Metrics, limits.Log = s.Overload.PriorityLimits, m, log
	return limits
}

// serverMetrics are the recorders of the server.
type serverMetrics struct {
	fx.In
	Entry     *metrics.Entry
	Customers *metrics.Customers
	Refusals  *metrics.Refusals
	Outliers  *metrics.Outliers
}

func newServer(s Settings, d *directory.Directory, pools *target.Pools, l *lead.Lead, limits *limit.Limiter, clock mono.Clock, log *slog.Logger, m serverMetrics) *gateway.Server {
	return gateway.NewServer(gateway.Options{
		Directory: d, Pools: pools, Rights: l, Limits: limits, Clock: clock, Log: log, Metrics: m.Entry, Customers: m.Customers, Refusals: m.Refusals, MaxSessions: s.MaxSessions,
		AvoidOutliers: s.Overload.AvoidOutliers, Outliers: m.Outliers,
		Codec: func(nc net.Conn) gateway.Caller { return platform.NewCaller(nc) },
	})
}

// runState is the state that the daemon's start and stop share.
type runState struct {
	leaving atomic.Bool
	context context.Context
	cancel  context.CancelFunc
}

func newRunState() *runState {
	l := &runState{}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

type daemon struct {
	fx.In
	Lifecycle   fx.Lifecycle
	Settings    Settings
	File        settingsFile
	State       *runState
	Directory   *directory.Directory
	Store       metastore.Store
	Seeds       *seed.Seeds
	Pools       *target.Pools
	Lead        *lead.Lead
	Server      *gateway.Server
	Clock       mono.Clock
	Logging     *logging
	Log         *slog.Logger
	Registry    *metrics.Registry
	Malformed   *malformed
	Kept        *keptConfiguration
	Unconfirmed *unconfirmedEntries
	Metrics     *metrics.Store
	Peers       *metrics.Peers
	Customers   *metrics.Customers
}

func run(d daemon) {
	d.Lifecycle.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
}

func (d *daemon) start(context.Context) error {
	ctx := d.State.context
	d.Lead.SharePositions(d.Server.Positions())
	go d.configurationWatcher().Run(ctx)
	go d.followKept(ctx)
	go d.targetWatcher().Run(ctx)
	go d.Pools.Run(ctx)
	go d.Lead.Run(ctx)
	go d.reloadOnSignal(ctx)
	go d.shedWhileOutOfTouch(ctx)
	go d.Logging.run(ctx)
	callers, err := net.Listen("tcp", d.Settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", d.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", d.Settings.PeerAddress)
	if err != nil {
		return err
	}
	forwarded := &forward.Server{Directory: d.Directory, Pools: d.Pools, Clock: d.Clock, Log: d.Log, Metrics: d.Peers, Newest: d.Lead.Newest}
	go forwarded.Serve(ctx, peers)
	go d.Server.Serve(ctx, callers)
	go d.serveHTTP(ready, platform.ReadyHandler(d.ready))
	if err := d.serveAdmin(); err != nil {
		return err
	}
	d.Log.Info("event=started", "vm", d.Settings.VM, "data_centre", d.Settings.DataCentre, "caller_address", d.Settings.CallerAddress,
		"pid", os.Getpid())
	return nil
}

func (d *daemon) serveAdmin() error {
	if d.Settings.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", d.Settings.AdminAddress)
	if err != nil {
		return err
	}
	go d.serveHTTP(l, metrics.Handler(d.Registry, d.notReadyReason))
	return nil
}

// headerTimeout bounds how long a request's header may take.
const headerTimeout = 5 * time.Second

func (d *daemon) serveHTTP(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	if err := server.Serve(l); err != nil && d.State.context.Err() == nil {
		d.Log.Error("event=http_server_ended", "address", l.Addr(), "error", err)
	}
}

func (d *daemon) ready() bool { return d.notReadyReason() == "" }

// notReadyReason returns why the balancer must send no connections to this VM, or "" if it may. A VM
// that is out of touch still serves requests until its rights expire and it is cut off, but the
// balancer must react before that.
func (d *daemon) notReadyReason() string {
	switch {
	case d.State.leaving.Load():
		return "leaving"
	case d.Directory.Configuration() == nil:
		return "no configuration"
	case len(d.Directory.Targets()) == 0:
		return "no target is registered"
	case d.Lead.OutOfTouch():
		return "out of touch"
	}
	return ""
}

// shedAfter is how long a VM must be out of touch before it sheds its sessions. If its rights are not
// renewed, they have expired by then, so that it is cut off and refuses requests. The balancer takes
// it out of rotation after one to two seconds. A caller that reconnects sooner is refused as before;
// one that reconnects later is served by another VM with its next request.
const shedAfter = 1300 * time.Millisecond

// touchCheckInterval is how often the daemon checks whether this VM is out of touch.
const touchCheckInterval = 100 * time.Millisecond

// shedWhileOutOfTouch sheds the sessions while this VM is out of touch, from about when the balancer
// sends no new ones.
func (d *daemon) shedWhileOutOfTouch(ctx context.Context) {
	ticker := wait.NewTicker(ctx, touchCheckInterval)
	defer ticker.Stop()
	since := time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		switch {
		case !d.Lead.OutOfTouch():
			since = time.Time{}
			d.Server.StopShedding()
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > shedAfter:
			d.Server.Shed()
		}
	}
}

// Times of the steps by which the daemon stops. The shares are shares of Settings.Grace.
const (
	// rotationTime is how long the balancer may send new connections after the VM is
	// no longer ready: it checks each second, and stops after two failed checks.
	rotationTime = 2200 * time.Millisecond
	// transactionShare is the share of the grace that open transactions have to end.
	transactionShare = 0.5
	// lastRequestShare is the share of the grace during which requests are accepted. What is left of
	// the usual grace is longer than a statement may take, so none is cut off.
	lastRequestShare = 0.6
	// processEndShare is the share of the grace after which the process ends in any case.
	processEndShare = 0.93
)

// stop ends the daemon gracefully: it reports the VM as not ready, hands over the groups that
// this VM coordinates, answers the requests that arrive, and closes idle sessions once the
// balancer sends no new ones.
func (d *daemon) stop(ctx context.Context) error {
	d.State.leaving.Store(true)
	d.Log.Info("event=stopping", "sessions", d.Server.Sessions())
	now := time.Now()
	grace := float64(d.Settings.Grace)
	plan := gateway.LeavePlan{
		Idle:         now.Add(min(rotationTime, time.Duration(transactionShare*grace))),
		Transactions: now.Add(time.Duration(transactionShare * grace)),
		All:          now.Add(time.Duration(lastRequestShare * grace)),
	}
	d.Server.Leave(plan)
	handoverCtx, cancel := context.WithDeadline(ctx, plan.Transactions)
	d.Lead.Leave(handoverCtx)
	cancel()
	time.Sleep(time.Until(plan.Idle))
	waitCtx, cancel := context.WithDeadline(ctx, now.Add(time.Duration(processEndShare*grace)))
	defer cancel()
	d.Server.Wait(waitCtx)
	d.Log.Info("event=stopped", "sessions", d.Server.Sessions(), "took", time.Since(now))
	d.State.cancel()
	d.Logging.flush()
	return nil
}
