package lead_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/lead"
	"github.com/buckthornshore/buckthornshore/internal/limit"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const group = topology.GroupID("g")

// databases fakes a group's databases and the platform that promotes them.
type databases struct {
	mu        sync.Mutex
	down      map[topology.TargetID]bool
	isPrimary map[topology.TargetID]bool // whether the target is a primary
	term      uint64
	index     map[topology.TargetID]uint64
	orders    []order
	refused   map[topology.TargetID]bool // targets that the platform refuses to promote
	// ineffective holds targets that never lead, although the platform accepts their promotion.
	ineffective map[topology.TargetID]bool
	// answerLost makes the platform execute orders without answering them.
	answerLost bool
	// stepDownTimeout is the timeout of the last command to step down.
	stepDownTimeout time.Duration
	// lag is how far each target is behind, and saturated marks those that refuse statements
	// because of overload.
	lag       map[topology.TargetID]time.Duration
	saturated map[topology.TargetID]bool
	// notReceiving marks replicas that receive no log entries, and stalled those targets whose commits are not answered,
	// although all else is.
	notReceiving, stalled map[topology.TargetID]bool
	// acknowledged is the last acknowledged commit, and lacking holds the targets that were promoted without it.
	acknowledged uint64
	lacking      []topology.TargetID
}

type order struct {
	holder topology.VMID
	fence  uint64
	id     topology.TargetID
}

var errDown = errors.New("down")

func newDatabases() *databases {
	return &databases{
		down: map[topology.TargetID]bool{}, refused: map[topology.TargetID]bool{}, ineffective: map[topology.TargetID]bool{}, term: 1,
		lag: map[topology.TargetID]time.Duration{}, saturated: map[topology.TargetID]bool{},
		notReceiving: map[topology.TargetID]bool{}, stalled: map[topology.TargetID]bool{},
		isPrimary: map[topology.TargetID]bool{"a": true, "b": false, "c": false},
		index:     map[topology.TargetID]uint64{"a": 9, "b": 9, "c": 7},
	}
}

func (d *databases) Status(_ context.Context, t topology.Target) (target.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down[t.ID] {
		return target.Status{}, errDown
	}
	return target.Status{Primary: d.isPrimary[t.ID], Term: d.term, Received: position.Position{Term: 1, Index: d.index[t.ID]}, Lag: d.lag[t.ID]}, nil
}

func (d *databases) StopReceiving(ctx context.Context, t topology.Target, _ uint64) (target.Status, error) {
	return d.Status(ctx, t)
}

func (d *databases) Resume(ctx context.Context, t topology.Target) (target.Status, error) {
	return d.Status(ctx, t)
}

func (d *databases) StepDown(ctx context.Context, t topology.Target, _ uint64) (target.Status, error) {
	deadline, _ := ctx.Deadline()
	d.mu.Lock()
	d.stepDownTimeout = time.Until(deadline)
	d.mu.Unlock()
	if d.isDown(t.ID) {
		<-ctx.Done() // An unreachable target never answers.
	}
	s, err := d.Status(ctx, t)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.isPrimary[t.ID] = false
		if !d.notReceiving["b"] {
			d.index["b"] = d.index[t.ID]
		}
	}
	return s, err
}

func (d *databases) Promote(_ context.Context, o lead.Promotion) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := o.Target
	d.orders = append(d.orders, order{holder: o.Holder, fence: o.Fence, id: id})
	if d.down[id] || d.refused[id] {
		return lead.ErrNotPromotable
	}
	if d.isPrimary[id] || d.ineffective[id] {
		return nil // It already leads, or the promotion has no effect.
	}
	for other := range d.isPrimary {
		d.isPrimary[other] = d.isPrimary[other] && d.down[other]
	}
	d.isPrimary[id] = true
	d.term++
	if d.index[id] < d.acknowledged {
		d.lacking = append(d.lacking, id)
	}
	if d.answerLost {
		return errDown
	}
	return nil
}

// lead makes a target a primary.
func (d *databases) lead(id topology.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isPrimary[id] = true
}

func (d *databases) kill(id topology.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down[id] = true
}

// revive starts a database that is down as a replica.
func (d *databases) revive(id topology.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down[id], d.isPrimary[id] = false, false
}

// sentOrders returns the promotion orders so far.
func (d *databases) sentOrders() []order {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.orders)
}

func (d *databases) isDown(id topology.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down[id]
}

// isFailing reports whether the statements of all VMs fail.
func (d *databases) isFailing(id topology.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down[id] || d.stalled[id]
}

func (d *databases) isSaturated(id topology.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.saturated[id]
}

// vm is one VM of a cluster in this process.
type vm struct {
	id        topology.VMID
	lead      *lead.Lead
	directory *directory.Directory
	limits    *limit.Limiter
	store     *faultyStore
	cancel    context.CancelFunc
}

// faultyStore makes the store fail, slow or incomplete for one VM.
type faultyStore struct {
	metastore.Store
	mu          sync.Mutex
	unavailable bool
	// writeDelay delays writes of keys that begin with delayedPrefix.
	writeDelay    time.Duration
	delayedPrefix string
	// self is the VM; the other VMs are hidden from it until isolatedUntil.
	self          topology.VMID
	isolatedUntil time.Time
}

// visible leaves out the other VMs' registrations while the VM is isolated. A watch then starts at
// a version before them.
func (g *faultyStore) visible(rows metastore.Rows) metastore.Rows {
	if time.Now().After(g.isolatedUntil) {
		return rows
	}
	own := slices.DeleteFunc(slices.Clone(rows.Rows), func(r metastore.Row) bool {
		return strings.HasPrefix(r.Key, "vm/") && r.Key != "vm/"+string(g.self)
	})
	if len(own) < len(rows.Rows) {
		rows.Version = metastore.Version{}
	}
	rows.Rows = own
	return rows
}

func (g *faultyStore) delayWrites(prefix string, by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delayedPrefix, g.writeDelay = prefix, by
}

func (g *faultyStore) delayOf(key string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writeDelay == 0 || !strings.HasPrefix(key, g.delayedPrefix) {
		return 0
	}
	return g.writeDelay
}

func (g *faultyStore) setUnavailable(unavailable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unavailable = unavailable
}

func (g *faultyStore) err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unavailable {
		return errDown
	}
	return nil
}

func (g *faultyStore) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	if err := g.err(); err != nil {
		return metastore.Rows{}, err
	}
	rows, err := g.Store.List(ctx, table, keys)
	return g.visible(rows), err
}

func (g *faultyStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	if err := g.err(); err != nil {
		return metastore.Rows{}, err
	}
	time.Sleep(time.Until(g.isolatedUntil))
	return g.Store.Watch(ctx, table, after, min(wait, 100*time.Millisecond))
}

func (g *faultyStore) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	if err := g.err(); err != nil {
		return metastore.Version{}, err
	}
	time.Sleep(g.delayOf(key))
	return g.Store.Put(ctx, table, key, value, expected)
}

// health simulates the results of a VM's own requests: a target that is down fails.
type health struct {
	databases *databases
	mu        sync.Mutex
	since     map[topology.TargetID]time.Time
}

func (h *health) Load(id topology.TargetID) (target.Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.databases.isFailing(id) {
		delete(h.since, id)
		return target.Load{LastAnswer: mono.System{}.Now(), Saturated: h.databases.isSaturated(id)}, true
	}
	if h.since[id].IsZero() {
		h.since[id] = time.Now()
	}
	return target.Load{FailingFor: max(time.Since(h.since[id]), 1)}, true
}

func (h *health) Starved() []topology.TargetID { return nil }

func (h *health) LimitToShare([]topology.TargetID) {}

// cluster is a number of VMs with one store and one group of databases.
type cluster struct {
	t         *testing.T
	store     *metastore.Memory
	databases *databases
	vms       map[topology.VMID]*vm
	addresses map[topology.VMID]string
	// isolatedFor is how long a starting VM does not see the other VMs.
	isolatedFor time.Duration
	// configuration applies to all VMs.
	configuration *directory.Configuration
}

func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	return startIsolatedCluster(t, n, 0)
}

// startIsolatedCluster starts VMs that do not see each other for a while.
func startIsolatedCluster(t *testing.T, n int, isolatedFor time.Duration) *cluster {
	t.Helper()
	c := newCluster(t)
	c.isolatedFor = isolatedFor
	c.startVMs(n)
	return c
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	return &cluster{
		t: t, store: metastore.NewMemory(), databases: newDatabases(),
		vms: map[topology.VMID]*vm{}, addresses: map[topology.VMID]string{}, configuration: &directory.Configuration{Version: 1},
	}
}

func (c *cluster) startVMs(n int) {
	c.t.Helper()
	for i := range n {
		id := topology.VMID(fmt.Sprintf("vm-%d", i+1))
		c.addresses[id] = freeAddress(c.t)
		c.start(id)
	}
}

// hostCount counts the loopback addresses in use.
var hostCount atomic.Uint32

// freeAddress returns an address that is used by no other VM, even while its own VM is stopped:
// with a shared host, another test could be given its port.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := hostCount.Add(1)
	host := netip.AddrFrom4([4]byte{127, byte(2 + os.Getpid()%250), byte(n >> 8), byte(n)}) //nolint:gosec // Cut to bytes.
	conn, err := net.ListenPacket("udp4", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// start starts or restarts a VM.
func (c *cluster) start(id topology.VMID) {
	c.t.Helper()
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("BTS_LOGS") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("vm", id)
	}
	ctx, cancel := context.WithCancel(context.Background())
	store := &faultyStore{Store: c.store, self: id, isolatedUntil: time.Now().Add(c.isolatedFor)}
	self, err := lead.Register(ctx, store, topology.VM{ID: id, DataCentre: topology.DataCentre("dc-" + string(id)), PeerAddress: c.addresses[id]}, log)
	if err != nil {
		c.t.Fatal(err)
	}
	d := directory.New(self)
	for _, t := range []topology.TargetID{"a", "b", "c"} {
		d.SetTarget(registration(t))
	}
	transport, err := lead.Listen(self.PeerAddress, log)
	if err != nil {
		c.t.Fatal(err)
	}
	d.SetConfiguration(c.configuration)
	limits := limit.NewLimiter(d, mono.System{}, quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20})
	l := lead.New(lead.Options{
		Directory: d, Store: store, Control: c.databases, Promotions: c.databases, Transport: transport,
		Health: &health{databases: c.databases, since: map[topology.TargetID]time.Time{}},
		Clock:  mono.System{}, Log: log, Limits: limits,
	})
	c.vms[id] = &vm{id: id, lead: l, directory: d, limits: limits, store: store, cancel: cancel}
	go l.Run(ctx)
	c.t.Cleanup(cancel)
}

// registration returns the entry of a target that has just started.
func registration(id topology.TargetID) directory.Target {
	return directory.Target{
		Target: topology.Target{ID: id, Group: group, Address: "address-" + string(id)}, ClaimsPrimary: id == "a", Registration: string(id),
	}
}

// stop kills a VM's process.
func (c *cluster) stop(id topology.VMID) {
	c.vms[id].cancel()
	delete(c.vms, id)
	time.Sleep(50 * time.Millisecond) // Its socket closes.
}

// eventually waits until ok returns true.
func (c *cluster) eventually(within time.Duration, what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("not within %v: %s", within, what)
}

// allRight reports whether every VM has the right for the primary.
func (c *cluster) allRight(primary topology.TargetID) bool {
	for _, v := range c.vms {
		if r, ok := v.lead.Right(group); !ok || r.Primary != primary {
			return false
		}
	}
	return true
}

func (c *cluster) row() *lease.Row {
	for _, v := range c.vms {
		if r := v.lead.Row(group); r != nil {
			return r
		}
	}
	return nil
}

func (c *cluster) awaitRights() topology.VMID {
	c.t.Helper()
	c.eventually(5*time.Second, "every VM has the right", func() bool { return c.allRight("a") })
	return c.row().Coordinator
}
