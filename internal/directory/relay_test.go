package directory_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// startWatcher runs a watcher that receives news from relay, and returns what it records.
func startWatcher(t *testing.T, store metastore.Store, relay *directory.Relay) *recorder {
	t.Helper()
	return startWatcherWithNeighbours(t, store, relay, nil)
}

// startWatcherWithNeighbours runs a watcher that also asks neighbours before the store.
func startWatcherWithNeighbours(t *testing.T, store metastore.Store, relay *directory.Relay, near directory.Neighbours) *recorder {
	t.Helper()
	s := &recorder{keys: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.onListing, Change: s.onChange,
		Feed: directory.Registrations, Relay: relay, Neighbours: near,
	}
	go w.Run(ctx)
	return s
}

// publish has a coordinator report the version to relay every 100 ms until stop is called.
func publish(relay *directory.Relay, version metastore.Version) (stop func()) {
	done := make(chan struct{})
	report := func() {
		relay.Receive("vm-1", directory.News{directory.Registrations: {Relevant: version, Seen: version}}, mono.System{}.Now())
	}
	report()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				report()
			}
		}
	}()
	return func() { close(done) }
}

// A coordinator reports that nothing has changed, while targets send heartbeats: the VM does not call
// the store. When a change is reported, the VM fetches it at once, with one call.
func TestVMWithNewsCallsTheStoreForChangesOnly(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	put(t, store.Store, "a")
	stop := publish(relay, at(1))
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	put(t, store.Store, heartbeat)
	time.Sleep(300 * time.Millisecond)
	if n := store.count(); n != 0 {
		t.Fatalf("%d calls although nothing relevant has changed", n)
	}
	put(t, store.Store, "b")
	stop()
	stop = publish(relay, at(3))
	defer stop()
	eventually(t, func() bool { return s.has(3) })
	if n := store.count(); n != 1 {
		t.Fatalf("%d calls for one change", n)
	}
}

// The coordinator falls silent, and then the configuration changes: the VM watches the store
// itself and misses nothing.
func TestVMWithoutNewsWatchesTheStore(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	stop := publish(relay, at(1))
	s := startWatcher(t, store, relay)
	time.Sleep(200 * time.Millisecond)
	stop()
	put(t, store.Store, "a")
	eventually(t, func() bool { return s.has(1) })
}

// The coordinator can't watch one of its feeds any more and leaves it out of its news: the VM
// watches that feed itself.
func TestFeedMissingFromNewsIsWatched(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	stop := publish(relay, at(1))
	s := startWatcher(t, store, relay)
	time.Sleep(200 * time.Millisecond)
	stop()
	relay.Receive("vm-1", directory.News{directory.Configurations: {Relevant: at(1), Seen: at(1)}}, mono.System{}.Now())
	eventually(t, func() bool { return store.count() > 0 })
	put(t, store.Store, "a")
	eventually(t, func() bool { return s.has(1) })
}

// A coordinator's watch returns heartbeats all the time. The coordinator reports the last relevant
// change to the others, and nothing once its watch gets no answers.
func TestHeartbeatsAreNotReported(t *testing.T) {
	store := metastore.NewMemory()
	relay := directory.New(self).Relay()
	put(t, store, "a")
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	put(t, store, heartbeat)
	eventually(t, func() bool { return s.has(2) })
	now := mono.System{}.Now()
	if got := relay.NewsFor(now, nil)[directory.Registrations].Relevant; got != at(1) {
		t.Fatalf("reports version %v", got)
	}
	if got := relay.NewsFor(now.Add(time.Minute), nil); len(got) != 0 {
		t.Fatalf("reports %v although its watch is not answered", got)
	}
}

// rejectingStore is a store that rejects this VM's calls while rejecting is set.
type rejectingStore struct {
	*countingStore
	rejecting bool
}

func (r *rejectingStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	rows, err := r.countingStore.Watch(ctx, table, after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejecting {
		return metastore.Rows{}, metastore.ErrNotDone
	}
	return rows, err
}

func (r *rejectingStore) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejecting {
		r.watches++
		return metastore.Rows{}, metastore.ErrNotDone
	}
	return r.Store.List(ctx, table, keys)
}

// The store rejects this VM's calls and serves the coordinator, which reports that nothing has
// changed: the VM makes no calls, instead of several a second.
func TestRejectedVMWithNewsStopsCallingTheStore(t *testing.T) {
	store := &rejectingStore{countingStore: &countingStore{Store: metastore.NewMemory()}}
	relay := directory.New(self).Relay()
	put(t, store.Store, "a")
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	store.mu.Lock()
	store.rejecting = true
	store.mu.Unlock()
	stop := publish(relay, at(1))
	defer stop()
	put(t, store.Store, heartbeat) // Ends the pending watch.
	time.Sleep(300 * time.Millisecond)
	before := store.count()
	time.Sleep(time.Second)
	if n := store.count() - before; n > 0 {
		t.Fatalf("%d calls to a store that rejects them", n)
	}
}

// forwardNews has the relay from report what it knows to the relay to, every 100 ms.
func forwardNews(t *testing.T, from, to *directory.Relay) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			now := mono.System{}.Now()
			to.Receive("vm-1", from.NewsFor(now, to.Followed()), now)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// startCoordinator has a coordinator follow a store with one row and report what it knows to the
// relay of another VM.
func startCoordinator(t *testing.T, store metastore.Store) (coordinator *recorder, relay *directory.Relay) {
	t.Helper()
	coordinatorRelay := directory.New(self).Relay()
	relay = directory.New(self).Relay()
	coordinator = startWatcher(t, store, coordinatorRelay)
	eventually(t, func() bool { return coordinator.has(1) })
	forwardNews(t, coordinatorRelay, relay)
	time.Sleep(50 * time.Millisecond)
	return coordinator, relay
}

// A target registers. The coordinator's watch returns it, and the others receive the change with
// the next promise. Guards against a call by each VM for each change: 89 VMs made 89 calls.
func TestSmallChangesAreReceivedWithoutACallToTheStore(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	_, relay := startCoordinator(t, store)
	counted := &countingStore{Store: store}
	s := startWatcher(t, counted, relay)
	eventually(t, func() bool { return s.has(1) })
	before := counted.count()
	put(t, store, "b")
	put(t, store, "c")
	eventually(t, func() bool { return s.has(3) })
	if n := counted.count() - before; n != 0 {
		t.Fatalf("%d calls for changes that were sent as rows", n)
	}
}

// The store rejects this VM's calls for a long time, and a target registers: the VM receives the
// change from the coordinator, whose calls the store serves, and reads go to the new target too.
func TestRejectedVMReceivesChanges(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	_, relay := startCoordinator(t, store)
	rejecting := &rejectingStore{countingStore: &countingStore{Store: store}}
	s := startWatcher(t, rejecting, relay)
	eventually(t, func() bool { return s.has(1) })
	rejecting.mu.Lock()
	rejecting.rejecting = true
	rejecting.mu.Unlock()
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
}

// No relevant change comes for longer than the store keeps its history. Then a VM that received news
// of this all the while loses its coordinator: it continues from the last version reported to it,
// and does not list the table again.
func TestVMWithoutRelevantChangesKeepsUpWithTheHistory(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	put(t, store, "a")
	stop := publish(relay, at(1))
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	put(t, store, heartbeat)
	stop()
	relay.Receive("vm-1", directory.News{directory.Registrations: {Relevant: at(1), Seen: at(2)}}, mono.System{}.Now())
	store.Store.(*metastore.Memory).ForgetHistory()
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
	if s.listings() != 1 {
		t.Fatalf("%d listings", s.listings())
	}
}

// Many targets register at once. Changes that do not fit into a promise are fetched from the store:
// the promise leaves them out, and has the version after which it is complete.
func TestChangesThatDoNotFitAreFetched(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	coordinator, relay := directory.New(self).Relay(), directory.New(self).Relay()
	c := startWatcher(t, store, coordinator)
	eventually(t, func() bool { return c.has(1) })
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	for i := range 60 {
		put(t, store, "target-with-a-long-name-"+string(rune('A'+i)))
	}
	forwardNews(t, coordinator, relay)
	eventually(t, func() bool { return s.has(61) })
	now := mono.System{}.Now()
	size := 0
	for _, row := range coordinator.NewsFor(now, nil)[directory.Registrations].Rows {
		size += len(row.Key)
	}
	if size > 1000 {
		t.Fatalf("%d bytes of keys in one promise", size)
	}
}

// Guards against watches by all VMs when the coordinator changes: the new one has not called the store
// yet, and leaves feeds out of its first answers. A feed that is left out for longer is watched.
func TestFeedMayBeMissingFromNewsBriefly(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	put(t, store.Store, "a")
	stop := publish(relay, at(1))
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	stop()
	relay.Receive("vm-1", directory.News{directory.Configurations: {Relevant: at(1), Seen: at(1)}}, mono.System{}.Now())
	time.Sleep(300 * time.Millisecond)
	if n := store.count(); n != 0 {
		t.Fatalf("%d calls since one answer left the feed out", n)
	}
	eventually(t, func() bool { return store.count() > 0 })
}

// historyLosingStore is a store that has no history for the next watch once losesHistory is set.
type historyLosingStore struct {
	metastore.Store
	losesHistory atomic.Bool
}

func (f *historyLosingStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	if f.losesHistory.CompareAndSwap(true, false) {
		return metastore.Rows{}, metastore.ErrHistoryGone
	}
	return f.Store.Watch(ctx, table, after, wait)
}

// Guards against fetches by all VMs when the store loses its history: the coordinator lists the table
// again, finds nothing new, and has no change to report.
func TestListingWithoutChangesIsNotFetched(t *testing.T) {
	memory := metastore.NewMemory()
	watched := &historyLosingStore{Store: memory}
	store := &countingStore{Store: memory}
	coordinator, relay := directory.New(self).Relay(), directory.New(self).Relay()
	put(t, memory, "a")
	c := startWatcher(t, watched, coordinator)
	eventually(t, func() bool { return c.has(1) })
	forwardNews(t, coordinator, relay)
	time.Sleep(50 * time.Millisecond)
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	watched.losesHistory.Store(true)
	put(t, memory, heartbeat) // Ends the pending watch.
	eventually(t, func() bool { return c.listings() > 1 })
	time.Sleep(500 * time.Millisecond)
	if n := store.count(); n != 0 || s.listings() != 1 {
		t.Fatalf("%d calls and %d listings of a VM that has nothing to fetch", n, s.listings())
	}
	put(t, memory, "b")
	eventually(t, func() bool { return s.has(2) })
}

// Another VM becomes the coordinator. The others learn of changes only through it, and watch the store
// themselves, three tables each, unless it can report at once: so it calls the store as it takes over,
// and does not wait until its predecessor's news is no longer valid.
func TestNewCoordinatorCallsTheStoreAtOnce(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	put(t, store.Store, "a")
	stop := publish(relay, at(1))
	defer stop()
	s := startWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	relay.SetPublishing(true)
	eventually(t, func() bool { return store.count() > 0 })
	if news, ok := relay.NewsFor(mono.System{}.Now(), nil)[directory.Registrations]; !ok || news.Seen.IsZero() {
		t.Fatalf("%+v", news)
	}
}

// VMs start for the first time, and there is no coordinator yet. Each watches the store at once: the VM
// that writes the first row must know which VMs there are. Once a coordinator is known, VMs wait for
// news first, and watch the store when there is none.
func TestVMsWaitForNewsOnlyWithAKnownCoordinator(t *testing.T) {
	for _, expected := range []bool{false, true} {
		store := &countingStore{Store: metastore.NewMemory()}
		relay := directory.New(self).Relay()
		if expected {
			relay.NoteCoordinator()
		}
		put(t, store.Store, "a")
		s := startWatcher(t, store, relay)
		eventually(t, func() bool { return s.has(1) })
		time.Sleep(200 * time.Millisecond)
		if watches := store.count() > 0; watches == expected {
			t.Errorf("a coordinator is known: %v, watches at once: %v", expected, watches)
		}
		eventually(t, func() bool { return store.count() > 0 })
	}
}

// blockedListingStore is a store that, while large is set, returns more changes than a watch reads, and
// whose listings block until released is closed.
type blockedListingStore struct {
	*countingStore
	large    atomic.Bool
	released chan struct{}
}

func (h *blockedListingStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	rows, err := h.countingStore.Watch(ctx, table, after, wait)
	if h.large.Load() && len(rows.Rows) > 0 {
		return metastore.Rows{}, metastore.ErrHistoryTooLarge
	}
	return rows, err
}

func (h *blockedListingStore) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	if h.large.Load() {
		<-h.released
	}
	return h.countingStore.List(ctx, table, keys)
}

// A large change takes the coordinator long to read. The others are informed before the coordinator has
// it, and list the table, the one call that returns the change; they don't try a watch.
func TestLargeChangeIsReportedBeforeItIsRead(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	blocked := &blockedListingStore{countingStore: &countingStore{Store: store}, released: make(chan struct{})}
	c, relay := startCoordinator(t, blocked)
	counted := &countingStore{Store: store}
	s := startWatcher(t, counted, relay)
	eventually(t, func() bool { return s.has(1) })
	watches, listings := counted.count(), s.listings()
	blocked.large.Store(true)
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
	if c.has(2) {
		t.Error("the coordinator has read it already")
	}
	if w, l := counted.count()-watches, s.listings()-listings; w != 0 || l != 1 {
		t.Errorf("%d watches and %d listings for one change", w, l)
	}
	close(blocked.released)
	eventually(t, func() bool { return c.has(2) })
}

// at returns a version of the first era.
func at(number uint64) metastore.Version { return metastore.Version{Number: number} }
