package directory_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// fakeNeighbour is another VM of the data centre, with the snapshots of relay, or none if relay is nil.
type fakeNeighbour struct {
	relay *directory.Relay
	asked atomic.Int32
}

func (n *fakeNeighbour) Fetch(ctx context.Context, f directory.Feed, version metastore.Version) (directory.Snapshot, bool) {
	n.asked.Add(1)
	if n.relay == nil {
		return directory.Snapshot{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return n.relay.AwaitSnapshot(ctx, f, version)
}

// Guards against a change that each VM reads from the store although a neighbour has it already.
func TestChangeIsFetchedFromNeighbour(t *testing.T) {
	memory := metastore.NewMemory()
	first := directory.New(self).Relay()
	coordinator := startWatcherWithNeighbours(t, memory, first, &fakeNeighbour{})
	store, relay, near := &countingStore{Store: memory}, directory.New(self).Relay(), &fakeNeighbour{relay: first}
	stop := publish(relay, at(1))
	s := startWatcherWithNeighbours(t, store, relay, near)
	time.Sleep(100 * time.Millisecond)
	put(t, memory, "a")
	eventually(t, func() bool { return coordinator.has(1) })
	stop()
	stop = publish(relay, at(1))
	defer stop()
	relay.Receive("vm-1", directory.News{directory.Registrations: {Relevant: at(1), Seen: at(1)}}, mono.System{}.Now())
	eventually(t, func() bool { return s.has(1) })
	if n := store.count(); n != 0 {
		t.Fatalf("%d calls to the store", n)
	}
	if snapshot, ok := relay.AwaitSnapshot(t.Context(), directory.Registrations, at(1)); !ok || len(snapshot.Rows) != 1 {
		t.Fatalf("the snapshot for other VMs is %+v", snapshot)
	}
}

// Guards against a change that is not read because the VM that was to send it is gone: the store is
// asked instead.
func TestStoreIsAskedWhenNoNeighbourHasTheChange(t *testing.T) {
	store, relay, near := &countingStore{Store: metastore.NewMemory()}, directory.New(self).Relay(), &fakeNeighbour{}
	put(t, store.Store, "a")
	stop := publish(relay, at(1))
	s := startWatcherWithNeighbours(t, store, relay, near)
	eventually(t, func() bool { return s.has(1) })
	put(t, store.Store, "b")
	stop()
	stop = publish(relay, at(2))
	defer stop()
	eventually(t, func() bool { return s.has(2) })
	if near.asked.Load() == 0 || store.count() != 1 {
		t.Fatalf("the neighbour was asked %d times, the store %d times", near.asked.Load(), store.count())
	}
}
