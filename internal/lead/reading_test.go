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
