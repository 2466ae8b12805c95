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

// timed is what a watcher took over, with the moments before it was written.
type timed struct{ *seen }

// timedWait is how long its watches wait.
const timedWait = 400 * time.Millisecond

// followTimed runs a watcher that may be told by a relay.
func followTimed(t *testing.T, store metastore.Store, relay *directory.Relay) timed {
	t.Helper()
	s := timed{&seen{keys: map[string]bool{}, after: map[string]mono.Time{}, at: map[string]mono.Time{}}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &directory.Watcher{
		Store: store, Table: "t", Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), All: s.all, Change: s.take,
		Feed: directory.Registrations, Relay: relay, Wait: func() time.Duration { return timedWait },
	}
	go w.Run(ctx)
	return s
}

// followTold runs one that has seen the first row and is told that there is nothing new, until the teller is stopped.
func followTold(t *testing.T) (store metastore.Store, relay *directory.Relay, s timed, stop func()) {
	t.Helper()
	store, relay = metastore.NewMemory(), directory.New(self).Relay()
	put(t, store, "first")
	stop = tell(relay, 1)
	s = followTimed(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	return store, relay, s, stop
}

// expect checks that a row is taken for written before it was, and by how much at most.
func (s timed) expect(t *testing.T, key string, written mono.Time, most time.Duration) {
	t.Helper()
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.at[key] != 0
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if after := s.after[key]; after > written || written.Sub(after) > most {
		t.Fatalf("%s is taken for written up to %v before it was", key, written.Sub(after))
	}
}

// Guards against changes that are taken for younger than they are since a watch has brought them late.
func TestAChangeIsNoYoungerThanTheWatchBefore(t *testing.T) {
	store := metastore.NewMemory()
	put(t, store, "first")
	s := followTimed(t, store, nil)
	eventually(t, func() bool { return s.has(1) })
	s.mu.Lock()
	first := s.after["first"]
	s.mu.Unlock()
	if first != 0 {
		t.Fatalf("a row of the first listing is taken for written after %d", first)
	}
	time.Sleep(2*timedWait + timedWait/2)
	written := mono.System{}.Now()
	put(t, store, "second")
	s.expect(t, "second", written, timedWait+timedWait/2)
}

// Guards against changes that are taken for written when a coordinator told of them, as they are told for a while.
func TestAToldChangeIsAsOldAsItsCoordinatorSays(t *testing.T) {
	teller, relay := directory.New(self).Relay(), directory.New(self).Relay()
	store := metastore.NewMemory()
	put(t, store, "first")
	clock := mono.System{}
	began := clock.Now()
	teller.NoteListing(directory.Registrations, 1, true, began)
	relay.Tell(teller.Noted(began, nil), began)
	s := followTimed(t, store, relay)
	eventually(t, func() bool { return s.has(1) })
	after := clock.Now()
	teller.NoteChanges(directory.Registrations, 2, []metastore.Row{{Key: "second", Version: 2}}, after, clock.Now())
	time.Sleep(400 * time.Millisecond)
	sent := clock.Now()
	relay.Tell(teller.Noted(clock.Now(), directory.Followed{directory.Registrations: 1}), sent)
	s.expect(t, "second", after, 50*time.Millisecond)
}

// Guards against a row of a VM of an earlier version, which does not say its age, that is taken for just written.
func TestAToldChangeWithoutAnAgeIsNoYoungerThanTheLastWordThatThereWasNone(t *testing.T) {
	_, relay, s, stop := followTold(t)
	stop()
	written := mono.System{}.Now()
	time.Sleep(200 * time.Millisecond)
	relay.Tell(directory.News{directory.Registrations: {
		Matters: 2, Seen: 2, Since: 1, Rows: []metastore.Row{{Key: "second", Version: 2}},
	}}, mono.System{}.Now())
	s.expect(t, "second", written, 3*time.Second)
}

// Guards against a change that a VM reads from the store by itself, as it is told that there is one, and takes for
// younger than the last word that there was none, or for as old as its own last call.
func TestAFetchedChangeIsNoYoungerThanTheLastWordThatThereWasNone(t *testing.T) {
	store, relay, s, stop := followTold(t)
	const fresh = 2 * time.Second // How old a coordinator's own view may be.
	time.Sleep(fresh + time.Second)
	stop()
	written := mono.System{}.Now()
	put(t, store, "second")
	stop = tell(relay, 2)
	defer stop()
	s.expect(t, "second", written, fresh+300*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at["first"].Add(500*time.Millisecond) > s.after["second"] {
		t.Fatal("it is taken for as old as the VM's own last call")
	}
}
