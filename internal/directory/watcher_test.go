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

// counting counts the watches.
type counting struct {
	metastore.Store
	mu      sync.Mutex
	watches int
}

func (c *counting) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Rows, error) {
	c.mu.Lock()
	c.watches++
	c.mu.Unlock()
	return c.Store.Watch(ctx, table, after, wait)
}

func (c *counting) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watches
}

// seen keeps what a watcher told.
type seen struct {
	mu     sync.Mutex
	keys   map[string]bool
	listed int
	// after is a moment before each row was written, and at when it was taken over.
	after, at map[string]mono.Time
}

func (s *seen) take(r metastore.Row, at directory.Timing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[r.Key] = !r.Deleted
	if s.after != nil {
		s.after[r.Key], s.at[r.Key] = at.After, mono.System{}.Now()
	}
	return r.Key != heartbeat
}

// heartbeat is the key of a row whose changes matter to nobody.
const heartbeat = "heartbeat"

func (s *seen) all(rows []metastore.Row, at directory.Timing) bool {
	s.mu.Lock()
	s.listed++
	s.mu.Unlock()
	news := false
	for _, r := range rows {
		s.mu.Lock()
		known := s.keys[r.Key]
		s.mu.Unlock()
		news = s.take(r, at) && !known || news
	}
	return news
}

func (s *seen) listings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

func (s *seen) has(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys) == n
}

var self = topology.VM{ID: "vm"}

func watch(t *testing.T, store metastore.Store, rest time.Duration) *seen {
	t.Helper()
	s := &seen{keys: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.all, Change: s.take,
		Rest: func() time.Duration { return rest },
	}
	go w.Run(ctx)
	return s
}

func put(t *testing.T, store metastore.Store, key string) {
	t.Helper()
	if _, err := store.Put(context.Background(), "t", key, nil, 0); err != nil {
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
	t.Fatal("not in time")
}

// The store drops its history between two changes: the watcher lists the table anew and
// misses neither.
func TestAWatcherOutlastsALostHistory(t *testing.T) {
	store := metastore.NewMemory()
	s := watch(t, store, 0)
	put(t, store, "a")
	eventually(t, func() bool { return s.has(1) })
	store.ForgetHistory()
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
}

// tooLarge is a store whose first watch has more changes than are read.
type tooLarge struct {
	metastore.Store
	refused atomic.Bool
}

func (s *tooLarge) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (metastore.Rows, error) {
	if s.refused.CompareAndSwap(false, true) {
		return metastore.Rows{}, metastore.ErrHistoryTooLarge
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// A watcher has missed more changes than a watch reads: it lists the table, at once, and goes on
// from there.
func TestAWatcherListsWhereItMissedTooMuch(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	s := watch(t, &tooLarge{Store: store}, 0)
	eventually(t, func() bool { return s.listings() == 2 })
	put(t, store, "b")
	eventually(t, func() bool { return s.has(2) })
}

// Many VMs register at once, as after a loss of power. Each watcher brings them in a few
// calls: one for each row would be the square of their number.
func TestAWatcherRestsWhileManyRowsChange(t *testing.T) {
	store := &counting{Store: metastore.NewMemory()}
	s := watch(t, store, 100*time.Millisecond)
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

func TestAConfigurationNeverGoesBack(t *testing.T) {
	d := directory.New(topology.VM{ID: "vm"})
	if !d.SetConfiguration(&directory.Configuration{Version: 5}) || d.SetConfiguration(&directory.Configuration{Version: 4}) {
		t.Fatal("an older version was taken")
	}
	if d.Configuration().Version != 5 {
		t.Fatal("it went back")
	}
}

// lostStore has a change that it tells of, and never delivers.
type lostStore struct{ metastore.Store }

func (lostStore) Watch(context.Context, string, uint64, time.Duration) (metastore.Rows, error) {
	return metastore.Rows{}, errors.New("no whole reply")
}

// A VM is told of a change and can't fetch it. Its log must tell, for as long as that lasts, that
// it serves an older version than others do, in a few lines.
func TestAWatcherThatStaysBehindSaysSo(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "a")
	relay := directory.New(self).Relay()
	stop := tell(relay, 7)
	defer stop()
	var log lockedBuffer
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &seen{keys: map[string]bool{}}
	w := &directory.Watcher{
		Store: lostStore{store}, Table: "t", Clock: mono.System{}, Log: slog.New(slog.NewTextHandler(&log, nil)), All: s.all,
		Change: s.take, Feed: directory.Registrations, Relay: relay,
	}
	go w.Run(ctx)
	eventually(t, func() bool { return strings.Contains(log.String(), "event=store_still_lost") })
	for _, want := range []string{"event=store_lost", "failures=4", "version=1", "told_version=7", "no whole reply"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in\n%s", want, log.String())
		}
	}
	if n := strings.Count(log.String(), "\n"); n != 2 {
		t.Errorf("%d lines for four failures", n)
	}
}

// lockedBuffer is a log that is read while it is written.
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

// Guards against a coordinator that hears nothing of the store for as long as its watch from before
// waits: the watch ends as the others begin to rely on it.
func TestAWatchEndsAsOthersBeginToRelyOnTheVM(t *testing.T) {
	store := &counting{Store: metastore.NewMemory()}
	relay := directory.New(self).Relay()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &seen{keys: map[string]bool{}}
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.all, Change: s.take,
		Wait: func() time.Duration { return time.Minute }, Feed: directory.OwnRows, Relay: relay,
	}
	go w.Run(ctx)
	eventually(t, func() bool { return store.count() == 1 })
	relay.SetTelling(true)
	eventually(t, func() bool { return store.count() == 2 })
	if got := s.listings(); got != 1 {
		t.Fatalf("%d listings", got)
	}
}
