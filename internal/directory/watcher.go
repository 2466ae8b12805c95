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
	// watchRetry after a failed call; a store that refuses for its load gets
	// some relief.
	watchRetry = 200 * time.Millisecond
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

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := w.follow(ctx, func() {
			if lost {
				w.Log.Info("event=store_regained", "table", w.Table)
				lost = false
			}
		})
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, metastore.ErrHistoryGone) {
			w.Log.Info("event=store_history_gone", "table", w.Table, "outcome", "listed_again")
			continue
		}
		if !lost {
			w.Log.Warn("event=store_lost", "table", w.Table, "error", err)
			lost = true
		}
		pause.For(ctx, watchRetry/2+rand.N(watchRetry))
	}
}

// follow lists the table and follows its changes until a call fails.
func (w *Watcher) follow(ctx context.Context, answered func()) error {
	began := w.Clock.Now()
	rows, err := w.Store.List(ctx, w.Table)
	if err != nil {
		return err
	}
	answered()
	w.All(rows.Rows, began)
	w.seen(began)
	matters := rows.Version
	w.note(matters)
	failures := 0
	for version := rows.Version; ; {
		wait := w.wait()
		if w.Relay != nil && failures == 0 && w.Relay.Await(ctx, w.Feed, version, w.Clock) {
			wait = fetchWait
		}
		began = w.Clock.Now()
		changes, err := w.Store.Watch(ctx, w.Table, version, wait)
		if err != nil {
			// A failed watch misses nothing as long as the history is kept, so the
			// same one is repeated before the whole table is read again.
			failures++
			if errors.Is(err, metastore.ErrHistoryGone) || failures > 1 || ctx.Err() != nil {
				return err
			}
			continue
		}
		failures = 0
		for _, row := range changes.Rows {
			if w.Change(row, began) {
				matters = max(matters, row.Version)
			}
		}
		w.seen(began)
		w.note(matters)
		version = max(version, changes.Version)
		if w.Rest != nil && len(changes.Rows) > 0 {
			pause.For(ctx, w.Rest())
		}
	}
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
