package directory

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	pause "github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// watchWait is how long the store holds a watch without a change. A watch on a
	// connection that has gone silent is noticed that late, and a configuration
	// has to be in force within three seconds.
	watchWait = 1800 * time.Millisecond
	// watchRetry after a second failed call; it doubles up to longestRetry, with which a
	// store that is back is noticed within 1.2 s.
	watchRetry   = 200 * time.Millisecond
	longestRetry = 800 * time.Millisecond
	// fetchWait is the wait of a watch that only fetches what has changed already.
	fetchWait = time.Millisecond
)

// Watcher keeps one table of the store in view.
type Watcher struct {
	Store metastore.Store
	Table string
	Clock mono.Clock
	Log   *slog.Logger
	// Wait returns the wait of the next watch, or 0 for the usual one; nil: always.
	Wait func() time.Duration
	// Rest returns how long to wait after a change before the next watch; nil: not at
	// all. Where many rows change together, as the registrations at a start, the next
	// watch then brings them all, and not one call for each.
	Rest func() time.Duration
	// Feed is what the table is to this VM, and Relay where it is told of changes; nil:
	// it watches always.
	Feed  Feed
	Relay *Relay
	// All is called with the rows of a listing that was sent at began: rows that
	// are not among them are gone.
	All func(rows []metastore.Row, began mono.Time)
	// Change is called for each row that changed after, and reports whether the change
	// matters to the VMs.
	Change func(row metastore.Row, began mono.Time) bool
	// Seen is called after each answer of a call that was sent at began; nil:
	// nobody asks.
	Seen func(began mono.Time)
}

// followed is how far a watcher has come.
type followed struct {
	// version up to which everything was seen; matters is the newest change among it that
	// matters to the VMs.
	version, matters uint64
	// failures of calls in a row.
	failures int
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	f := &followed{}
	for ctx.Err() == nil {
		if err := w.list(ctx, f); err != nil {
			w.failed(ctx, f, err)
			continue
		}
		for ctx.Err() == nil {
			err := w.watch(ctx, f)
			if errors.Is(err, metastore.ErrHistoryGone) {
				w.Log.Info("event=store_history_gone", "table", w.Table, "outcome", "listed_again")
				break
			}
			if err != nil {
				w.failed(ctx, f, err)
			}
		}
	}
}

// list reads the whole table.
func (w *Watcher) list(ctx context.Context, f *followed) error {
	began := w.Clock.Now()
	rows, err := w.Store.List(ctx, w.Table)
	if err != nil {
		return err
	}
	w.answered(f)
	w.All(rows.Rows, began)
	w.seen(began)
	f.version, f.matters = rows.Version, rows.Version
	w.note(f.matters)
	return nil
}

// watch waits for changes and takes them over. After a failure the same watch may be
// repeated: it misses nothing as long as the history is kept.
func (w *Watcher) watch(ctx context.Context, f *followed) error {
	wait := w.wait()
	if w.Relay != nil && w.Relay.Await(ctx, w.Feed, f.version, w.Clock) {
		wait = fetchWait
	}
	began := w.Clock.Now()
	changes, err := w.Store.Watch(ctx, w.Table, f.version, wait)
	if err != nil {
		return err
	}
	w.answered(f)
	for _, row := range changes.Rows {
		if w.Change(row, began) {
			f.matters = max(f.matters, row.Version)
		}
	}
	w.seen(began)
	w.note(f.matters)
	f.version = max(f.version, changes.Version)
	if w.Rest != nil && len(changes.Rows) > 0 {
		pause.For(ctx, w.Rest())
	}
	return nil
}

// failed waits before the next call. The first failure is mostly a connection that went
// silent, and is made up for at once; a store that refuses for its load, or is out, gets
// relief: a VM that it turned away asked it some fifteen times a second, worked out from three
// tables and a pause of 200 ms.
func (w *Watcher) failed(ctx context.Context, f *followed, err error) {
	f.failures++
	if ctx.Err() != nil || f.failures == 1 {
		return
	}
	if f.failures == 2 {
		w.Log.Warn("event=store_lost", "table", w.Table, "error", err)
	}
	rest := min(longestRetry, watchRetry<<min(f.failures-2, 8))
	pause.For(ctx, rest/2+rand.N(rest))
}

func (w *Watcher) answered(f *followed) {
	if f.failures > 1 {
		w.Log.Info("event=store_regained", "table", w.Table)
	}
	f.failures = 0
}

func (w *Watcher) note(version uint64) {
	if w.Relay != nil {
		w.Relay.Note(w.Feed, version, w.Clock.Now())
	}
}

func (w *Watcher) wait() time.Duration {
	if w.Wait == nil {
		return watchWait
	}
	return cmp.Or(w.Wait(), watchWait)
}

func (w *Watcher) seen(began mono.Time) {
	if w.Seen != nil {
		w.Seen(began)
	}
}
