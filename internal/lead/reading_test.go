package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// rowCounter counts the rows that listings return, and runs a hook before each listing.
type rowCounter struct {
	metastore.Store
	rows   atomic.Int32
	before func(keys metastore.Range)
}

func (c *rowCounter) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	if c.before != nil {
		c.before(keys)
	}
	rows, err := c.Store.List(ctx, table, keys)
	c.rows.Add(int32(len(rows.Rows))) //nolint:gosec // A few hundred.
	return rows, err
}

func mustPut(t *testing.T, store metastore.Store, key string, value any, expected metastore.Version) metastore.Version {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	version, err := store.Put(t.Context(), Table, key, raw, expected)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// readingVM returns a VM that knows one group, with a store that holds many other VMs.
func readingVM(t *testing.T) (*Lead, *rowCounter) {
	t.Helper()
	store := &rowCounter{Store: metastore.NewMemory()}
	self := topology.VM{ID: "vm-3", Incarnation: 3}
	mustPut(t, store, vmPrefix+"vm-3", self, metastore.Version{})
	for i := range 300 {
		id := topology.VMID(fmt.Sprintf("other-%d", i))
		mustPut(t, store, vmPrefix+string(id), topology.VM{ID: id, Incarnation: 1}, metastore.Version{})
	}
	row := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	mustPut(t, store, groupPrefix+"g", row, metastore.Version{})
	d := directory.New(self)
	d.SetTarget(directory.Target{Target: topology.Target{ID: "a", Group: "g"}, ClaimsPrimary: true})
	l := New(Options{Directory: d, Store: store, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	return l, store
}

// Guards against reads that grow with the number of VMs: registrations saturated the links whenever
// a coordinator became silent.
func TestAReadListsNoOtherRegistrations(t *testing.T) {
	l, store := readingVM(t)
	l.read(t.Context())
	if _, ok := l.Right("g"); !ok {
		t.Fatal("no right after a reading")
	}
	if n := store.rows.Load(); n > 3 {
		t.Fatalf("%d rows read", n)
	}
	calls := 0
	store.before = func(metastore.Range) { calls++ }
	l.read(t.Context())
	if calls != 1 {
		t.Fatalf("%d calls though no registration was removed", calls)
	}
}

// Guards against reads by all VMs that start together: without a caller they wait for their first
// promise.
func TestAStartingVMReadsOnlyForItsCallers(t *testing.T) {
	l, _ := readingVM(t)
	l.read(t.Context())
	clock := &mono.Manual{T: l.Clock.Now().Add(time.Minute)}
	l.Clock = clock
	if l.needsReading(clock.Now()) {
		t.Fatal("it reads without a caller")
	}
	if _, ok := l.Right("g"); ok {
		t.Fatal("a right after a minute")
	}
	if !l.needsReading(clock.Now()) {
		t.Fatal("it does not read for its caller")
	}
	l.reading, l.rightWanted, l.promised = false, 0, true
	clock.T = clock.T.Add(time.Minute)
	if !l.needsReading(clock.Now()) {
		t.Fatal("it does not renew the rights that it was promised")
	}
}

// startedVM returns a VM that has just got its rows from another one. If it starts again, its earlier incarnation
// coordinates.
func startedVM(t *testing.T, again bool) (*Lead, *mono.Manual) {
	t.Helper()
	l, store := readingVM(t)
	rows, err := store.Store.List(t.Context(), Table, metastore.All)
	if err != nil {
		t.Fatal(err)
	}
	clock := &mono.Manual{T: l.Clock.Now()}
	l.Clock = clock
	l.applyListing(rows.Rows, directory.Timing{Version: rows.Version, FromPeer: true})
	if again {
		row := *l.Row("g")
		row.Version, row.Coordinator = 2, l.self.ID
		l.adopt(&row, "peer")
	}
	return l, clock
}

// Guards against refusals after all VMs have lost power: they get their rows from each other, without rights, and nobody
// coordinates before the coordinator of before has read the store.
func TestAStartingVMIsNotCutOffBeforeAReadingFails(t *testing.T) {
	l, clock := startedVM(t, false)
	for range 20 {
		clock.T = clock.T.Add(50 * time.Millisecond)
		l.updateCutOff(clock.T)
		if l.CutOff() || l.OutOfTouch() {
			t.Fatal("it is cut off, or out of touch, though nothing has failed")
		}
	}
	l.readFailures = 1
	for range 10 {
		clock.T = clock.T.Add(50 * time.Millisecond)
		l.updateCutOff(clock.T)
	}
	if !l.CutOff() || !l.OutOfTouch() {
		t.Fatal("it is not cut off though the store has not answered")
	}
}

// Guards against a pause before the first reading, in which callers of all VMs wait for rights after a loss of power.
func TestAStartingVMReadsAtOnceForItsCallersAndForItsEarlierIncarnation(t *testing.T) {
	l, clock := startedVM(t, false)
	clock.T = clock.T.Add(readGrace)
	if l.needsReading(clock.T) {
		t.Fatal("it reads without a caller")
	}
	l.Right("g")
	if !l.needsReading(clock.T) {
		t.Fatal("it does not read for its caller")
	}
	l, clock = startedVM(t, true)
	if take, _, _ := l.checkCoordinator(l.self.ID, clock.T); take || !l.needsReading(clock.T) {
		t.Fatal("it takes over before a reading, or does not read")
	}
	l.read(t.Context())
	if take, _, _ := l.checkCoordinator(l.self.ID, l.Clock.Now()); !take {
		t.Fatal("it does not take over after the reading")
	}
}

// Guards against a right that no coordinator waits for: the registration was removed, and a
// promotion may begin before it is restored.
func TestAReadOfAnUnregisteredVMGivesNoRight(t *testing.T) {
	l, store := readingVM(t)
	own := metastore.Key(vmPrefix + "vm-3")
	rows, err := store.Store.List(t.Context(), Table, own)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Delete(t.Context(), Table, rows.Rows[0].Key, rows.Rows[0].Version, removalKey); err != nil {
		t.Fatal(err)
	}
	l.leaving = true // Keeps it from registering again.
	l.read(t.Context())
	if _, ok := l.Right("g"); ok {
		t.Fatal("a right without a registration")
	}
	// The VM is registered again between the two calls of the read.
	store.before = func(keys metastore.Range) {
		if keys == own {
			store.before = nil
			mustPut(t, store, vmPrefix+"vm-3", l.self, metastore.Version{})
		}
	}
	l.read(t.Context())
	if _, ok := l.Right("g"); ok {
		t.Fatal("a right by a registration that came after the rows were read")
	}
	l.read(t.Context())
	if _, ok := l.Right("g"); !ok {
		t.Fatal("no right after a reading with the registration")
	}
	// The registration is removed again, which the decision rows show.
	if rows, err = store.Store.List(t.Context(), Table, own); err != nil {
		t.Fatal(err)
	}
	if err := store.Delete(t.Context(), Table, rows.Rows[0].Key, rows.Rows[0].Version, removalKey); err != nil {
		t.Fatal(err)
	}
	l.holder = lease.NewHolder()
	l.read(t.Context())
	if _, ok := l.Right("g"); ok {
		t.Fatal("a right after the registration was removed again")
	}
}
