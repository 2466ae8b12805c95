package directory_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fakePeer is another VM that has the rows of a store.
type fakePeer struct{ store metastore.Store }

func (p fakePeer) Start(ctx context.Context, _ directory.Feed) (directory.Snapshot, bool) {
	rows, err := p.store.List(ctx, "t", metastore.All)
	return directory.Snapshot{Version: rows.Version, Rows: rows.Rows}, err == nil
}

// startFromPeer starts a VM of a deployment of some VMs that gets its rows from another one.
func startFromPeer(t *testing.T, vms int, store *countingStore) (*recorder, *directory.Relay) {
	t.Helper()
	d := directory.New(self)
	for i := range vms {
		d.SetVM(topology.VM{ID: topology.VMID(fmt.Sprint("vm-", i)), Incarnation: 1})
	}
	s := &recorder{keys: map[string]bool{}}
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.onListing, Change: s.onChange,
		Feed: directory.Registrations, Relay: d.Relay(), Peers: fakePeer{store.Store},
	}
	go w.Run(t.Context())
	eventually(t, func() bool { return s.has(1) })
	return s, d.Relay()
}

// Guards against a start at which every VM watches the store, and reads the heartbeats of all targets, until
// some VM coordinates.
func TestAVMThatStartedFromAnotherDoesNotWatchTheStore(t *testing.T) {
	for _, vms := range []int{3, 30, 300} {
		store := &countingStore{Store: metastore.NewMemory()}
		put(t, store.Store, "a")
		s, relay := startFromPeer(t, vms, store)
		put(t, store.Store, heartbeat)
		time.Sleep(300 * time.Millisecond)
		if n := store.count(); n != 0 {
			t.Errorf("%d VMs: %d watches", vms, n)
		}
		put(t, store.Store, "b")
		stop := publish(relay, at(3))
		eventually(t, func() bool { return s.has(3) })
		stop()
	}
}

// Guards against a VM that learns of a leaving target after the target's drain time, because no VM coordinates yet and
// the primary, which does not answer, delays the first row.
func TestAVMThatStartedFromAnotherLearnsOfChangesBeforeAnyVMCoordinates(t *testing.T) {
	const allowed = 2 * time.Second // the shortest drain time in use
	store := &countingStore{Store: metastore.NewMemory()}
	put(t, store.Store, "a")
	s, _ := startFromPeer(t, 5, store)
	put(t, store.Store, "b")
	changed := time.Now()
	eventually(t, func() bool { return s.has(2) })
	if took := time.Since(changed); took > allowed {
		t.Errorf("learned after %v", took)
	}
	if n := store.count(); n != 0 {
		t.Errorf("%d watches", n)
	}
}

// Guards against changes that nobody reports to the other one of two VMs.
func TestOneOfTwoVMsWatchesTheStoreItself(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	put(t, store.Store, "a")
	s, _ := startFromPeer(t, 2, store)
	put(t, store.Store, "b")
	eventually(t, func() bool { return s.has(2) })
}

// Guards against a snapshot for other VMs that is out of date, or that forgets what is unchanged.
func TestASnapshotFollowsItsChanges(t *testing.T) {
	relay := directory.New(self).Relay()
	now := mono.System{}.Now()
	rows := []metastore.Row{{Key: "a", Version: at(1)}, {Key: "b", Version: at(2)}}
	relay.SetSnapshot(directory.Registrations, rows, at(2))
	relay.NoteListing(directory.Registrations, at(2), true, now)
	relay.UpdateSnapshot(directory.Registrations, []metastore.Row{{Key: "a", Version: at(3)}, {Key: "b", Version: at(4), Deleted: true}, {Key: "c", Version: at(5)}}, at(5))
	snapshot, current := relay.CurrentSnapshot(directory.Registrations, now)
	if !current || snapshot.Version != at(5) || len(snapshot.Rows) != 2 {
		t.Fatalf("%+v, current: %v", snapshot, current)
	}
	if _, current := relay.CurrentSnapshot(directory.Registrations, now.Add(time.Minute)); current {
		t.Fatal("rows that were read a minute ago count as current")
	}
}
