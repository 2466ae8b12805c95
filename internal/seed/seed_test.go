package seed_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/seed"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// countingStore counts the calls to a store.
type countingStore struct {
	metastore.Store
	calls atomic.Int32
}

func (c *countingStore) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, table, keys)
}

func (c *countingStore) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	c.calls.Add(1)
	return c.Store.Put(ctx, table, key, value, expected)
}

var errRefused = errors.New("refused")

// sendsAtOnce is how many VMs a VM sends rows at the same time.
const sendsAtOnce = 4

// dataCentre fakes the VMs of a data centre that send each other rows.
type dataCentre struct {
	mu sync.Mutex
	// ready are the VMs that have the rows, and served how many VMs each has sent them to.
	ready  map[string]bool
	served map[string]int
	down   map[string]bool
	// referrals are the VMs that each has sent the rows to.
	referrals map[string][]string
}

func newDataCentre() *dataCentre {
	return &dataCentre{ready: map[string]bool{}, served: map[string]int{}, down: map[string]bool{}, referrals: map[string][]string{}}
}

func (d *dataCentre) fetchFor(own string) seed.Fetch {
	return func(_ context.Context, address string, _ directory.Feed) (directory.Snapshot, []string, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		switch {
		case d.down[address] || !d.ready[address]:
			return directory.Snapshot{}, nil, errRefused
		case d.served[address] >= sendsAtOnce:
			return directory.Snapshot{}, d.referrals[address], result.New(result.TargetBusy, "busy")
		}
		d.served[address]++
		d.referrals[address] = append(d.referrals[address], own)
		d.ready[own] = true
		return directory.Snapshot{Version: metastore.Version{Number: 1}}, nil, nil
	}
}

func vmNumber(i int) topology.VM {
	return topology.VM{ID: topology.VMID(fmt.Sprint("vm-", i)), DataCentre: "dc", PeerAddress: fmt.Sprint("10.0.0.", i)}
}

// start starts a VM and reports whether it has to read the store itself.
func (d *dataCentre) start(t *testing.T, store metastore.Store, vm topology.VM) (reads bool) {
	t.Helper()
	s := seed.New(vm, store, d.fetchFor(vm.PeerAddress), slog.New(slog.DiscardHandler))
	_, ok := s.Start(t.Context(), directory.Registrations)
	if !ok {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ready[vm.PeerAddress] = true
	}
	return !ok
}

// Guards against a start of all VMs at which each reads the whole state from the store.
func TestOneVMOfADataCentreReadsTheStore(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		store, dc := &countingStore{Store: metastore.NewMemory()}, newDataCentre()
		var readers atomic.Int32
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() {
				if dc.start(t, store, vmNumber(i)) {
					readers.Add(1)
				}
			})
		}
		all.Wait()
		if readers.Load() != 1 {
			t.Errorf("%d VMs: %d read the store", n, readers.Load())
		}
		if calls := int(store.calls.Load()); calls > 3*n {
			t.Errorf("%d VMs: %d calls to find the seed", n, calls)
		}
		for address, served := range dc.served {
			if served > sendsAtOnce {
				t.Errorf("%d VMs: %s sent the rows to %d", n, address, served)
			}
		}
	}
}

// Guards against VMs that wait for a seed that is gone.
func TestAnotherVMTakesThePlaceOfALostSeed(t *testing.T) {
	store, dc := &countingStore{Store: metastore.NewMemory()}, newDataCentre()
	if !dc.start(t, store, vmNumber(0)) {
		t.Fatal("the first VM does not read the store")
	}
	dc.down["10.0.0.0"] = true
	var readers atomic.Int32
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() {
			if dc.start(t, store, vmNumber(i+1)) {
				readers.Add(1)
			}
		})
	}
	all.Wait()
	if readers.Load() != 1 {
		t.Fatalf("%d VMs took its place", readers.Load())
	}
}

// Guards against a seed that, started again, waits for itself.
func TestASeedReadsTheStoreAgain(t *testing.T) {
	store, dc := metastore.NewMemory(), newDataCentre()
	for range 2 {
		if !dc.start(t, store, vmNumber(0)) {
			t.Fatal("the seed does not read the store")
		}
	}
}
