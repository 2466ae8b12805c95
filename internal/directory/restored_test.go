package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// restorableStore is a store with three rows, the last two of which are lost with its restoration.
func restorableStore(t *testing.T) (store *metastore.Memory, restore func()) {
	t.Helper()
	store = metastore.NewMemory()
	put(t, store, "kept")
	backup := store.Backup()
	put(t, store, "lost")
	put(t, store, "lost too")
	return store, func() { store.Restore(backup) }
}

// relayNews sends the news of a coordinator's relay to another VM's until the test ends.
func relayNews(t *testing.T, from, to *directory.Relay) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			now := mono.System{}.Now()
			to.Receive("vm-1", from.NewsFor(now, to.Followed()), now)
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// startPair runs the watchers of a coordinator and of a VM that relies on its news. Each has its own
// access to the store.
func startPair(t *testing.T, store, followersStore metastore.Store) (coordinator, follower *recorder) {
	t.Helper()
	from, to := directory.New(self).Relay(), directory.New(self).Relay()
	from.SetPublishing(true)
	coordinator = startWatcher(t, store, from)
	eventually(t, func() bool { return coordinator.has(3) })
	relayNews(t, from, to)
	follower = startWatcher(t, followersStore, to)
	eventually(t, func() bool { return follower.has(3) })
	return coordinator, follower
}

// Guards against changes that are missed because their numbers were given out before the store was
// restored from an older copy.
func TestAChangeWithANumberOfAnEarlierEraIsSeen(t *testing.T) {
	store, restore := restorableStore(t)
	coordinator, follower := startPair(t, store, store)
	restore()
	listed := follower.listings()
	eventually(t, func() bool { return follower.listings() > listed })
	put(t, store, "new")
	eventually(t, func() bool { return coordinator.has(4) && follower.has(4) })
}

// Guards against a VM that keeps calling the store after it was restored, since it was told a version
// that the store does not have.
func TestAVMDoesNotFetchInALoopAfterTheStoreWasRestored(t *testing.T) {
	store, restore := restorableStore(t)
	counted := &countingStore{Store: store}
	_, follower := startPair(t, store, counted)
	restore()
	listed := follower.listings()
	eventually(t, func() bool { return follower.listings() > listed })
	before := counted.count()
	time.Sleep(500 * time.Millisecond)
	if n := counted.count() - before; n > 1 {
		t.Fatalf("%d calls in half a second without a change", n)
	}
}

// Guards against a VM that keeps rows of the former era because only the coordinator, which never saw
// them, has listed the table.
func TestEachVMListsAfterTheStoreWasRestored(t *testing.T) {
	relay := directory.New(self).Relay()
	now := mono.System{}.Now()
	before := metastore.Version{Era: 1, Number: 31}
	relay.NoteListing(directory.Registrations, before, true, now)
	after := metastore.Version{Era: 2, Number: 28}
	relay.NoteListing(directory.Registrations, after, false, now)
	if news := relay.NewsFor(now, nil)[directory.Registrations]; news.Relevant != after {
		t.Fatalf("reports %v as the newest change", news.Relevant)
	}
}

// Guards against rows of a former era that are sent as the rows of a later version, and against rows of
// the later era that are not sent since their number is lower.
func TestASnapshotIsOfOneEra(t *testing.T) {
	relay := directory.New(self).Relay()
	before, after := metastore.Version{Era: 1, Number: 31}, metastore.Version{Era: 2, Number: 28}
	relay.SetSnapshot(directory.Configurations, []metastore.Row{{Key: "config", Version: before}}, before)
	relay.UpdateSnapshot(directory.Configurations, []metastore.Row{{Key: "other", Version: after}}, after)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if s, ok := relay.AwaitSnapshot(ctx, directory.Configurations, after); ok {
		t.Fatalf("got rows as of %v", s.Version)
	}
	relay.SetSnapshot(directory.Configurations, []metastore.Row{{Key: "config", Version: after}}, after)
	if s, ok := relay.AwaitSnapshot(t.Context(), directory.Configurations, before); !ok || s.Version != after {
		t.Fatalf("got rows as of %v", s.Version)
	}
}

// Guards against rows of a later era that are applied one by one, without what the store has lost.
func TestRowsOfALaterEraAreNotAppliedToThoseOfAnEarlierOne(t *testing.T) {
	relay := directory.New(self).Relay()
	began := metastore.Version{Era: 1, Number: 31}
	relay.Receive("vm-1", directory.News{directory.Registrations: {
		Relevant: metastore.Version{Era: 2, Number: 29}, Seen: metastore.Version{Era: 2, Number: 29}, Since: metastore.Version{Era: 1, Number: 20},
		Rows: []metastore.Row{{Key: "new", Version: metastore.Version{Era: 2, Number: 29}}},
	}}, mono.System{}.Now())
	if action, _ := relay.Await(t.Context(), directory.Registrations, began, mono.System{}); action == directory.Apply {
		t.Fatal("the rows are applied")
	}
}
