package directory_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// countingStore counts the watches.
type countingStore struct {
	metastore.Store
	mu      sync.Mutex
	watches int
}

func (c *countingStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	c.mu.Lock()
	c.watches++
	c.mu.Unlock()
	return c.Store.Watch(ctx, table, after, wait)
}

func (c *countingStore) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watches
}

// recorder records what a watcher received.
type recorder struct {
	mu     sync.Mutex
	keys   map[string]bool
	listed int
	// writtenAfter is a moment before each row was written, and at when it was received.
	writtenAfter, at map[string]mono.Time
}

func (s *recorder) onChange(r metastore.Row, at directory.Timing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[r.Key] = !r.Deleted
	if s.writtenAfter != nil {
		s.writtenAfter[r.Key], s.at[r.Key] = at.WrittenAfter, mono.System{}.Now()
	}
	return r.Key != heartbeat
}

// heartbeat is the key of a row whose changes are not relevant to the VMs.
const heartbeat = "heartbeat"

func (s *recorder) onListing(rows []metastore.Row, at directory.Timing) bool {
	s.mu.Lock()
	s.listed++
	s.mu.Unlock()
	isNew := false
	for _, r := range rows {
		s.mu.Lock()
		known := s.keys[r.Key]
		s.mu.Unlock()
		isNew = s.onChange(r, at) && !known || isNew
	}
	return isNew
}

func (s *recorder) listings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

func (s *recorder) has(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys) == n
}

var self = topology.VM{ID: "vm"}

func startPlainWatcher(t *testing.T, store metastore.Store, delay time.Duration) *recorder {
	t.Helper()
	s := &recorder{keys: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.onListing, Change: s.onChange,
		ChangeDelay: func() time.Duration { return delay },
	}
	go w.Run(ctx)
	return s
}

func put(t *testing.T, store metastore.Store, key string) {
	t.Helper()
	if _, err := store.Put(context.Background(), "t", key, nil, metastore.Version{}); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met in time")
}

// The store drops its history between two changes: the watcher lists the table again and
// misses neither.
func TestWatcherListsAgainAfterLossOfHistory(t *testing.T) {
	store := metastore.NewMemory()
	s := startPlainWatcher(t, store, 0)
	put(t, store, "a")
	eventually(t, func() bool { return s.has(1) })
	store.ForgetHistory()
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
}

// tooLargeStore is a store whose first watch has more changes than a watch reads.
type tooLargeStore struct {
	metastore.Store
	refused atomic.Bool
}

func (s *tooLargeStore) Watch(ctx context.Context, table string, after metastore.Version, wait time.Duration) (metastore.Rows, error) {
	if s.refused.CompareAndSwap(false, true) {
		return metastore.Rows{}, metastore.ErrHistoryTooLarge
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// A watcher has missed more changes than a watch reads: it lists the table at once, and continues
// from there.
func TestWatcherListsWhenItMissedTooMuch(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	s := startPlainWatcher(t, &tooLargeStore{Store: store}, 0)
	eventually(t, func() bool { return s.listings() == 2 })
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
}

// Many VMs register at once, as after a power failure. Each watcher reads them with a few calls:
// one call for each row would make the square of their number.
func TestWatcherReadsManyChangesWithFewCalls(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	s := startPlainWatcher(t, store, 100*time.Millisecond)
	eventually(t, func() bool { return store.count() > 0 })
	for i := range 50 {
		put(t, store.Store, string(rune('A'+i)))
		time.Sleep(time.Millisecond)
	}
	eventually(t, func() bool { return s.has(50) })
	if n := store.count(); n > 10 {
		t.Fatalf("%d watches for 50 rows", n)
	}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	d := directory.New(topology.VM{ID: "vm"})
	if !d.SetConfiguration(&directory.Configuration{Version: 5}) || d.SetConfiguration(&directory.Configuration{Version: 4}) {
		t.Fatal("an older version was installed")
	}
	if d.Configuration().Version != 5 {
		t.Fatal("the version decreased")
	}
}

// failingWatchStore is a store whose watches fail, so that its changes can't be fetched.
type failingWatchStore struct{ metastore.Store }

func (failingWatchStore) Watch(context.Context, string, metastore.Version, time.Duration) (metastore.Rows, error) {
	return metastore.Rows{}, errors.New("no whole reply")
}

// A VM receives news of a change and can't fetch it. For as long as that lasts, its log must show in a
// few lines that it serves an older version than others do.
func TestWatcherThatStaysBehindLogsIt(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	relay := directory.New(self).Relay()
	stop := publish(relay, at(7))
	defer stop()
	var log lockedBuffer
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &recorder{keys: map[string]bool{}}
	w := &directory.Watcher{
		Store: failingWatchStore{store}, Table: "t", Clock: mono.System{}, Log: slog.New(slog.NewTextHandler(&log, nil)), All: s.onListing,
		Change: s.onChange, Feed: directory.Registrations, Relay: relay,
	}
	go w.Run(ctx)
	eventually(t, func() bool { return strings.Contains(log.String(), "event=store_still_lost") })
	for _, want := range []string{"event=store_lost", "failures=4", "version=1", "told_version=7", "no whole reply"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in\n%s", want, log.String())
		}
	}
	lines, listings := strings.Count(log.String(), "\n"), strings.Count(log.String(), "event=store_listed")
	if lines != 3 || listings != 1 {
		t.Errorf("%d lines for one listing and four failures, %d for the listing", lines, listings)
	}
}

// lockedBuffer is a log that can be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a coordinator that gets no answer of the store for as long as a watch waits that it
// sent before it coordinated: that watch ends when the others begin to rely on this VM.
func TestWatchEndsWhenOthersBeginToRelyOnTheVM(t *testing.T) {
	store := &countingStore{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &recorder{keys: map[string]bool{}}
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.onListing, Change: s.onChange,
		Wait: func() time.Duration { return time.Minute }, Feed: directory.OwnRows, Relay: relay,
	}
	go w.Run(ctx)
	eventually(t, func() bool { return store.count() == 1 })
	relay.SetPublishing(true)
	eventually(t, func() bool { return store.count() == 2 })
	if got := s.listings(); got != 1 {
		t.Fatalf("%d listings", got)
	}
}
