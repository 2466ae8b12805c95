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

// writeCounter counts changes that are tried.
type writeCounter struct {
	metastore.Store
	writes atomic.Int32
}

func (w *writeCounter) Put(ctx context.Context, table, key string, value []byte, expected uint64) (uint64, error) {
	w.writes.Add(1)
	return w.Store.Put(ctx, table, key, value, expected)
}

// A data centre is cut off with the coordinator, which says for seconds that it has no store.
// Meanwhile the VMs elsewhere replace it. As the cut heals, a VM of the data centre takes the
// coordinator's place by what it knew: with 29 VMs and 8 groups that was 232 changes at once,
// all refused. It now reads the rows first, and leaves the groups where they are.
func TestAVMThatWasCutOffReadsBeforeItTakesOver(t *testing.T) {
	ctx := context.Background()
	memory := metastore.NewMemory()
	known := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	taken := known.TakenBy("vm-2", 2, "vm-2", nil)
	raw, err := json.Marshal(taken)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Put(ctx, Table, groupPrefix+"g", raw, 0); err != nil {
		t.Fatal(err)
	}
	self := topology.VM{ID: "vm-3", Incarnation: 3}
	raw, err = json.Marshal(self)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := memory.Put(ctx, Table, vmPrefix+"vm-3", raw, 0); err != nil {
		t.Fatal(err)
	}
	store := &writeCounter{Store: memory}
	d := directory.New(self)
	d.SetTarget(directory.Target{Target: topology.Target{ID: "a", Group: "g"}, ReportsPrimary: true})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	l.holder.Adopt(known)
	l.takeOver(ctx, "vm-1", []topology.GroupID{"g"}, storeLost)
	if n := store.writes.Load(); n != 0 {
		t.Fatalf("%d changes tried of a group that is another VM's", n)
	}
	if row := l.Row("g"); row.Coordinator != "vm-2" {
		t.Fatalf("knows %+v", row)
	}
}

// refusing fails each change.
type refusing struct {
	writeCounter
}

func (r *refusing) Put(context.Context, string, string, []byte, uint64) (uint64, error) {
	r.writes.Add(1)
	return 0, errors.New("reset")
}

// The store is out and the coordinator of many groups is lost. The VM whose turn it is finds out
// by one group that no change is made, and leaves the store alone with the others: from each of
// 89 VMs and for 8 groups that were thousands of calls in the seconds in which it came back.
func TestAStoreThatMakesNoChangeIsAskedForOneGroup(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	store := &refusing{writeCounter{Store: metastore.NewMemory()}}
	d := directory.New(topology.VM{ID: "vm-3", Incarnation: 3})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	groups := []topology.GroupID{"g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"}
	for _, g := range groups {
		l.holder.Adopt(&lease.Row{Group: g, Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1})
	}
	l.takeOver(ctx, "vm-1", groups, "silent")
	if n := store.writes.Load(); n > 4 {
		t.Fatalf("%d changes tried within 300 ms", n)
	}
}

// overtaken has another VM take a group over just before each change of this one.
type overtaken struct {
	writeCounter
	by topology.VMID
}

func (o *overtaken) Put(ctx context.Context, table, key string, _ []byte, _ uint64) (uint64, error) {
	o.writes.Add(1)
	group := topology.GroupID(key[len(groupPrefix):])
	known := &lease.Row{Group: group, Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	raw, err := json.Marshal(known.TakenBy(o.by, 2, o.by, nil))
	if err != nil {
		return 0, err
	}
	if _, err := o.Store.Put(ctx, table, key, raw, 0); err != nil {
		return 0, err
	}
	return 0, metastore.ErrConflict
}

// Guards against groups that are scattered over several coordinators: the VM that loses the first
// group to another one leaves the others to it.
func TestAVMThatLosesTheFirstGroupLeavesTheOthers(t *testing.T) {
	store := &overtaken{writeCounter: writeCounter{Store: metastore.NewMemory()}, by: "vm-2"}
	d := directory.New(topology.VM{ID: "vm-3", Incarnation: 3})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	groups := []topology.GroupID{"g1", "g2", "g3", "g4"}
	for _, g := range groups {
		l.holder.Adopt(&lease.Row{Group: g, Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1})
	}
	l.takeOver(t.Context(), "vm-1", groups, "silent")
	if n := store.writes.Load(); n != 1 {
		t.Fatalf("%d changes tried", n)
	}
}

// crowd is a VM among many that knows a coordinator and heard it last a minute ago.
func crowd(t *testing.T, vms int) (*Lead, *mono.Manual) {
	t.Helper()
	clock := &mono.Manual{T: mono.Time(time.Hour)}
	d := directory.New(vmNumber(1))
	for i := range vms {
		d.SetVM(vmNumber(i))
	}
	l := New(Options{Directory: d, Clock: clock, Log: slog.New(slog.DiscardHandler), Transport: silentTransport(t)})
	l.answers["vm-0"] = answers{last: clock.Now().Add(-time.Minute)}
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

// Guards against questions from all VMs to all VMs: a sample of all data centres is asked.
func TestASampleIsAskedAboutACoordinator(t *testing.T) {
	l, clock := crowd(t, 300)
	if _, ask, _ := l.judgeCoordinator("vm-0", clock.Now()); !ask {
		t.Fatal("nobody is asked")
	}
	l.askOthers("vm-0", clock.Now())
	if n := l.silences["vm-0"].sample; n != opinionsAsked {
		t.Fatalf("%d VMs asked", n)
	}
	sample := fromEachDataCentre(l.Directory.VMs(), opinionsAsked)
	in := map[topology.DataCentre]int{}
	for _, id := range sample {
		vm, _ := l.Directory.VM(id)
		in[vm.DataCentre]++
	}
	if len(in) != 3 || in["dc-0"] != opinionsAsked/3 {
		t.Fatalf("asked %v", in)
	}
}

// Guards against takeovers by all VMs at once as the store returns: their turns begin then.
func TestTurnsBeginAsTheStoreReturns(t *testing.T) {
	l, clock := crowd(t, 300)
	l.storeBack = clock.Now()
	turn := l.delay("vm-0")
	if turn == 0 {
		t.Fatal("the first VM in order shows nothing")
	}
	for end := clock.Now().Add(silentAfter + turn); clock.Now().Before(end); clock.T = clock.T.Add(10 * time.Millisecond) {
		l.storeSeen = clock.Now()
		if take, ask, _ := l.judgeCoordinator("vm-0", clock.Now()); take || ask {
			t.Fatalf("its turn came %v early", end.Sub(clock.Now()))
		}
	}
	if _, ask, _ := l.judgeCoordinator("vm-0", clock.Now()); !ask {
		t.Fatal("its turn never comes")
	}
}

// Guards against changes tried in vain: the store has not answered this VM since the coordinator
// fell silent.
func TestNobodyTakesOverWithoutTheStore(t *testing.T) {
	l, clock := crowd(t, 300)
	l.storeSeen = clock.Now().Add(-2 * storeFresh)
	if take, ask, _ := l.judgeCoordinator("vm-0", clock.Now()); take || ask {
		t.Fatal("it would take over")
	}
}

// Guards against a coordinator that is replaced as the store returns to all: it has time to say so.
// One that alone lacks the store is replaced.
func TestACoordinatorMaySayThatTheStoreIsBack(t *testing.T) {
	l, clock := crowd(t, 300)
	l.storeSeen = 0
	since := clock.Now()
	l.coordinatorHeard("vm-0", true, since)
	turn := uselessPatience * l.delay("vm-0")
	clock.T = clock.T.Add(silentAfter + turn)
	if take, _, _ := l.judgeCoordinator("vm-0", clock.Now()); take || !l.probe {
		t.Fatalf("takes over %v, looks for the store %v", take, l.probe)
	}
	l.storeSeen = clock.Now()
	if take, _, _ := l.judgeCoordinator("vm-0", clock.Now()); take {
		t.Fatal("it takes over as the store returns")
	}
	for range 5 {
		clock.T = clock.T.Add(regainTime / 5)
		l.storeSeen = clock.Now()
	}
	if take, _, why := l.judgeCoordinator("vm-0", clock.Now()); !take || why != storeLost {
		t.Fatal("it never takes over")
	}
	l.coordinatorHeard("vm-0", true, clock.Now())
	l.coordinatorHeard("vm-0", false, clock.Now())
	if take, _, _ := l.judgeCoordinator("vm-0", clock.Now()); take {
		t.Fatal("it takes over from one that reaches the store")
	}
}

// Guards against groups that are scattered: another VM has taken the coordinator's place since this one
// decided to.
func TestAGroupIsTakenFromTheCoordinatorThatFailedOnly(t *testing.T) {
	store := &writeCounter{Store: metastore.NewMemory()}
	d := directory.New(topology.VM{ID: "vm-3", Incarnation: 3})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	known := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	l.holder.Adopt(known.TakenBy("vm-2", 2, "vm-2", nil))
	if _, err := l.takeGroup(t.Context(), "vm-1", "g", "silent"); !errors.Is(err, errOvertaken) {
		t.Fatal(err)
	}
	if n := store.writes.Load(); n != 0 {
		t.Fatalf("%d changes tried", n)
	}
}
