package directory_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// timedRecorder records the rows that a watcher received, with a moment before each was written.
type timedRecorder struct{ *recorder }

// timedWait is the wait of the watches of startTimedWatcher.
const timedWait = 400 * time.Millisecond

// startTimedWatcher runs a watcher that receives news from relay unless it is nil.
func startTimedWatcher(t *testing.T, store metastore.Store, relay *directory.Relay) timedRecorder {
	t.Helper()
	s := timedRecorder{&recorder{keys: map[string]bool{}, writtenAfter: map[string]mono.Time{}, at: map[string]mono.Time{}}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.onListing, Change: s.onChange,
		Feed: directory.Registrations, Relay: relay, Wait: func() time.Duration { return timedWait },
	}
	go w.Run(ctx)
	return s
}

// startWatcherWithNews runs a watcher that has seen the first row and receives the news that there is
// nothing newer, until stop is called.
func startWatcherWithNews(t *testing.T) (store metastore.Store, relay *directory.Relay, s timedRecorder, stop func()) {
	t.Helper()
	store, relay = metastore.NewMemory(), directory.New(self).Relay()
	put(t, store, "first")
	stop = publish(relay, at(1))
	s = startTimedWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	return store, relay, s, stop
}

// expect checks that the moment recorded for a row is not after written, and at most `most` before it.
func (s timedRecorder) expect(t *testing.T, key string, written mono.Time, most time.Duration) {
	t.Helper()
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.at[key] != 0
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if writtenAfter := s.writtenAfter[key]; writtenAfter > written || written.Sub(writtenAfter) > most {
		t.Fatalf("%s: the moment before it was written is %v before written", key, written.Sub(writtenAfter))
	}
}

// Guards against changes that are considered younger than they are because a watch returned them late.
func TestChangeIsNoYoungerThanThePreviousWatch(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "first")
	s := startTimedWatcher(t, store, nil)
	eventually(t, func() bool { return s.has(1) })
	s.mu.Lock()
	first := s.writtenAfter["first"]
	s.mu.Unlock()
	if first != 0 {
		t.Fatalf("a row of the first listing is recorded as written after %d", first)
	}
	time.Sleep(2*timedWait + timedWait/2)
	written := mono.System{}.Now()
	put(t, store, "second")
	s.expect(t, "second", written, timedWait+timedWait/2)
}

// Guards against changes that are considered written at the time of a coordinator's report: it repeats
// its reports of a change for a while.
func TestReceivedChangeHasTheAgeThatItsCoordinatorReports(t *testing.T) {
	coordinator, relay := directory.New(self).Relay(), directory.New(self).Relay()
	store := metastore.NewMemory()
	put(t, store, "first")
	clock := mono.System{}
	began := clock.Now()
	coordinator.NoteListing(directory.Registrations, at(1), true, began)
	relay.Receive("vm-1", coordinator.NewsFor(began, nil), began)
	s := startTimedWatcher(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	after := clock.Now()
	coordinator.NoteChanges(directory.Registrations, at(2), []metastore.Row{{Key: "second", Version: at(2)}}, after, clock.Now())
	time.Sleep(400 * time.Millisecond)
	sent := clock.Now()
	relay.Receive("vm-1", coordinator.NewsFor(clock.Now(), directory.Followed{directory.Registrations: at(1)}), sent)
	s.expect(t, "second", after, 50*time.Millisecond)
}

// Guards against a row that is considered just written because it comes from a VM of an earlier version,
// which does not report the row's age.
func TestReceivedChangeWithoutAgeIsNoYoungerThanThePreviousReport(t *testing.T) {
	_, relay, s, stop := startWatcherWithNews(t)
	stop()
	written := mono.System{}.Now()
	time.Sleep(200 * time.Millisecond)
	relay.Receive("vm-1", directory.News{directory.Registrations: {
		Relevant: at(2), Seen: at(2), Since: at(1), Rows: []metastore.Row{{Key: "second", Version: at(2)}},
	}}, mono.System{}.Now())
	s.expect(t, "second", written, 3*time.Second)
}

// Guards against a wrong age of a change that a VM reads from the store itself after a report that there
// is one: it must be neither younger than the last report that there was none, nor as old as the VM's
// own last call.
func TestFetchedChangeIsNoYoungerThanThePreviousReport(t *testing.T) {
	store, relay, s, stop := startWatcherWithNews(t)
	const maxAnswerAge = 2 * time.Second // How old a coordinator's own view may be.
	time.Sleep(maxAnswerAge + time.Second)
	stop()
	written := mono.System{}.Now()
	put(t, store, "second")
	stop = publish(relay, at(2))
	defer stop()
	s.expect(t, "second", written, maxAnswerAge+300*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at["first"].Add(500*time.Millisecond) > s.writtenAfter["second"] {
		t.Fatal("it is taken for as old as the VM's own last call")
	}
}
