package lead

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// writeCounter counts attempted writes.
type writeCounter struct {
	metastore.Store
	writes atomic.Int32
}

func (w *writeCounter) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	w.writes.Add(1)
	return w.Store.Put(ctx, table, key, value, expected)
}

// A data centre is cut off together with the coordinator, which reports for seconds that it does
// not reach the store. Meanwhile the VMs elsewhere replace it. When the partition heals, a VM of
// that data centre takes over from the former coordinator based on outdated rows: 29 VMs and 8
// groups made 232 changes at once, all refused. Now the VM reads the rows first and leaves the
// groups where they are.
func TestAVMThatWasCutOffReadsBeforeItTakesOver(t *testing.T) {
	ctx := context.Background()
	memory := metastore.NewMemory()
	known := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	taken := known.TakenBy("vm-2", 2, "vm-2", nil)
	raw, err := json.Marshal(taken)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Put(ctx, Table, groupPrefix+"g", raw, metastore.Version{}); err != nil {
		t.Fatal(err)
	}
	self := topology.VM{ID: "vm-3", Incarnation: 3}
	raw, err = json.Marshal(self)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Put(ctx, Table, vmPrefix+"vm-3", raw, metastore.Version{}); err != nil {
		t.Fatal(err)
	}
	store := &writeCounter{Store: memory}
	d := directory.New(self)
	d.SetTarget(directory.Target{Target: topology.Target{ID: "a", Group: "g"}, ClaimsPrimary: true})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	l.holder.Adopt(known)
	l.takeOver(ctx, "vm-1", []topology.GroupID{"g"}, storeLost)
	if n := store.writes.Load(); n != 0 {
		t.Fatalf("%d changes attempted of another VM's group", n)
	}
	if row := l.Row("g"); row.Coordinator != "vm-2" {
		t.Fatalf("known row %+v", row)
	}
}

// failingStore fails each write.
type failingStore struct {
	writeCounter
}

func (r *failingStore) Put(context.Context, string, string, []byte, metastore.Version) (metastore.Version, error) {
	r.writes.Add(1)
	return metastore.Version{}, errors.New("reset")
}

// The store is out and the coordinator of many groups is lost. The VM whose takeover delay has
// passed learns from one group that the store accepts no change, and does not try the others.
// Otherwise 89 VMs with 8 groups sent thousands of calls in the seconds in which the store came
// back.
func TestAFailingStoreIsTriedWithOneGroupOnly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	store := &failingStore{writeCounter{Store: metastore.NewMemory()}}
	d := directory.New(topology.VM{ID: "vm-3", Incarnation: 3})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	groups := []topology.GroupID{"g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"}
	for _, g := range groups {
		l.holder.Adopt(&lease.Row{Group: g, Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1})
	}
	l.takeOver(ctx, "vm-1", groups, "silent")
	if n := store.writes.Load(); n > 4 {
		t.Fatalf("%d changes attempted within 300 ms", n)
	}
}

// rivalStore lets another VM take a group over just before each write of this one.
type rivalStore struct {
	writeCounter
	by topology.VMID
}

func (o *rivalStore) Put(ctx context.Context, table, key string, _ []byte, _ metastore.Version) (metastore.Version, error) {
	o.writes.Add(1)
	group := topology.GroupID(key[len(groupPrefix):])
	known := &lease.Row{Group: group, Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	raw, err := json.Marshal(known.TakenBy(o.by, 2, o.by, nil))
	if err != nil {
		return metastore.Version{}, err
	}
	if _, err := o.Store.Put(ctx, table, key, raw, metastore.Version{}); err != nil {
		return metastore.Version{}, err
	}
	return metastore.Version{}, metastore.ErrConflict
}

// Guards against groups that are split over several coordinators: a VM that loses the first group
// to another VM leaves the remaining groups to it.
func TestAVMThatLosesTheFirstGroupLeavesTheOthers(t *testing.T) {
	store := &rivalStore{writeCounter: writeCounter{Store: metastore.NewMemory()}, by: "vm-2"}
	d := directory.New(topology.VM{ID: "vm-3", Incarnation: 3})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	groups := []topology.GroupID{"g1", "g2", "g3", "g4"}
	for _, g := range groups {
		l.holder.Adopt(&lease.Row{Group: g, Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1})
	}
	l.takeOver(t.Context(), "vm-1", groups, "silent")
	if n := store.writes.Load(); n != 1 {
		t.Fatalf("%d changes attempted", n)
	}
}

// newLeadAmong returns a VM among many others that last heard from a known coordinator a minute
// ago.
func newLeadAmong(t *testing.T, vms int) (*Lead, *mono.Manual) {
	t.Helper()
	clock := &mono.Manual{T: mono.Time(time.Hour)}
	d := directory.New(vmNumber(1))
	for i := range vms {
		d.SetVM(vmNumber(i))
	}
	l := New(Options{Directory: d, Clock: clock, Log: slog.New(slog.DiscardHandler), Transport: silentTransport(t)})
	l.coordinatorState["vm-0"] = coordinatorState{lastAnswer: clock.Now().Add(-time.Minute)}
	l.storeSeen = clock.Now()
	return l, clock
}

func silentTransport(t *testing.T) *Transport {
	t.Helper()
	transport, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { transport.conn.Close() })
	return transport
}

// Guards against questions from all VMs to all VMs: only a sample from all data centres is asked.
func TestASampleIsAskedAboutACoordinator(t *testing.T) {
	l, clock := newLeadAmong(t, 300)
	if _, ask, _ := l.checkCoordinator("vm-0", clock.Now()); !ask {
		t.Fatal("no VM is asked")
	}
	l.askForOpinions("vm-0", clock.Now())
	if n := l.inquiries["vm-0"].sample; n != opinionSample {
		t.Fatalf("%d VMs asked", n)
	}
	sample := spreadOverDataCentres(l.Directory.VMs(), opinionSample)
	in := map[topology.DataCentre]int{}
	for _, id := range sample {
		vm, _ := l.Directory.VM(id)
		in[vm.DataCentre]++
	}
	if len(in) != 3 || in["dc-0"] != opinionSample/3 {
		t.Fatalf("asked %v", in)
	}
}

// Guards against simultaneous takeovers by all VMs when the store returns: their takeover delays
// start then.
func TestTakeoverDelaysRestartWhenTheStoreReturns(t *testing.T) {
	l, clock := newLeadAmong(t, 300)
	l.storeRegained = clock.Now()
	ownDelay := l.takeoverDelay("vm-0")
	if ownDelay == 0 {
		t.Fatal("the first VM by rank has no delay to test")
	}
	for end := clock.Now().Add(silentAfter + ownDelay); clock.Now().Before(end); clock.T = clock.T.Add(10 * time.Millisecond) {
		l.storeSeen = clock.Now()
		if take, ask, _ := l.checkCoordinator("vm-0", clock.Now()); take || ask {
			t.Fatalf("it acted %v before its takeover delay had passed", end.Sub(clock.Now()))
		}
	}
	if _, ask, _ := l.checkCoordinator("vm-0", clock.Now()); !ask {
		t.Fatal("it never acts")
	}
}

// Guards against useless changes: the store has not answered this VM since the coordinator became
// silent.
func TestNobodyTakesOverWithoutTheStore(t *testing.T) {
	l, clock := newLeadAmong(t, 300)
	l.storeSeen = clock.Now().Add(-2 * storeFreshness)
	if take, ask, _ := l.checkCoordinator("vm-0", clock.Now()); take || ask {
		t.Fatal("it takes over")
	}
}

// Guards against replacing the coordinator when the store returns for all VMs: it gets time to
// report that. A coordinator that alone lacks the store is replaced.
func TestACoordinatorHasTimeToReportTheStore(t *testing.T) {
	l, clock := newLeadAmong(t, 300)
	l.storeSeen = 0
	since := clock.Now()
	l.noteAnswer("vm-0", true, since)
	ownDelay := storeLostDelayFactor * l.takeoverDelay("vm-0")
	clock.T = clock.T.Add(silentAfter + ownDelay)
	if take, _, _ := l.checkCoordinator("vm-0", clock.Now()); take || !l.probeStore {
		t.Fatalf("takes over %v, probes the store %v", take, l.probeStore)
	}
	l.storeSeen = clock.Now()
	if take, _, _ := l.checkCoordinator("vm-0", clock.Now()); take {
		t.Fatal("it takes over when the store returns")
	}
	for range 5 {
		clock.T = clock.T.Add(storeRegainTime / 5)
		l.storeSeen = clock.Now()
	}
	if take, _, reason := l.checkCoordinator("vm-0", clock.Now()); !take || reason != storeLost {
		t.Fatal("it never takes over")
	}
	l.noteAnswer("vm-0", true, clock.Now())
	l.noteAnswer("vm-0", false, clock.Now())
	if take, _, _ := l.checkCoordinator("vm-0", clock.Now()); take {
		t.Fatal("it takes over from one that reaches the store")
	}
}

// Guards against groups that are split over several coordinators: another VM has taken over from
// the coordinator since this one decided to.
func TestAGroupIsTakenOnlyFromTheFailedCoordinator(t *testing.T) {
	store := &writeCounter{Store: metastore.NewMemory()}
	d := directory.New(topology.VM{ID: "vm-3", Incarnation: 3})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	known := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	l.holder.Adopt(known.TakenBy("vm-2", 2, "vm-2", nil))
	if _, err := l.takeOverGroup(t.Context(), "vm-1", "g", "silent"); !errors.Is(err, errSuperseded) {
		t.Fatal(err)
	}
	if n := store.writes.Load(); n != 0 {
		t.Fatalf("%d changes attempted", n)
	}
}

// Guards against a group without a coordinator for seconds: the coordinator ends while the row is closed, and no VM that lacks a
// right reads the store, without which none takes over.
func TestASilentCoordinatorOfAClosedRowIsTakenOver(t *testing.T) {
	l, clock := newLeadAmong(t, 5)
	open := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-0", Incarnation: 1, Fence: 1}
	l.holder.Adopt(open.Closed(primaryFailed))
	l.promised, l.storeSeen = true, clock.Now().Add(-time.Minute)
	if take, _, _ := l.checkCoordinator("vm-0", clock.Now()); take {
		t.Fatal("taken over without a reading of the store")
	}
	if !l.needsReading(clock.Now()) {
		t.Fatal("the store is not read")
	}
	l.reading, l.storeSeen = false, clock.Now()
	if _, ask, _ := l.checkCoordinator("vm-0", clock.Now()); !ask {
		t.Fatal("no takeover after a reading")
	}
	if l.needsReading(clock.Now()) {
		t.Fatal("the store is read again")
	}
}
