package directory

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	// watchRetry after a second failed call; it doubles up to longestRetry.
	watchRetry   = 200 * time.Millisecond
	longestRetry = 1600 * time.Millisecond
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
	// Neighbours are asked for changes before the store is; nil: nobody is. The watcher keeps its rows for
	// them then.
	Neighbours Neighbours
	// All is called with the rows of a listing: rows that are not among them are gone. It reports whether
	// that says something new that matters to the VMs.
	All func(rows []metastore.Row, at Timing) bool
	// Change is called for each row that changed after, and reports whether the change
	// matters to the VMs.
	Change func(row metastore.Row, at Timing) bool
	// Seen is called after each answer of a call that was sent at began; nil:
	// nobody asks.
	Seen func(began mono.Time)
}

// Timing is when rows were read, and when those that are new were written.
type Timing struct {
	// Began is when the call that brought them was sent.
	Began mono.Time
	// After is the last moment at which what the watcher had was up to date; 0: it had nothing.
	After mono.Time
}

// followed is how far a watcher has come.
type followed struct {
	// version up to which everything that matters was seen.
	version uint64
	// current is the last moment at which that was known to be all that matters; 0: nothing was seen yet.
	current mono.Time
	// told is the version of the newest change that the coordinator last told of; 0: of none.
	told uint64
	// failures of calls in a row, the first at failing.
	failures int
	failing  mono.Time
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
			if w.mustList(f, err) {
				break
			}
			if err != nil {
				w.failed(ctx, f, err)
			}
		}
	}
}

// mustList reports whether a watch has failed since the changes that it asked for can't be had one
// by one.
func (w *Watcher) mustList(f *followed, err error) bool {
	tooLarge := errors.Is(err, metastore.ErrHistoryTooLarge)
	if !tooLarge && !errors.Is(err, metastore.ErrHistoryGone) {
		return false
	}
	if tooLarge && w.Relay != nil {
		w.Relay.NoteLarge(w.Feed, f.version, w.Clock.Now())
	}
	w.Log.Info("event=store_history_gone", "table", w.Table, "version", f.version, "error", err, "outcome", "listed_again")
	return true
}

// list reads the whole table.
func (w *Watcher) list(ctx context.Context, f *followed) error {
	began := w.Clock.Now()
	rows, err := w.Store.List(ctx, w.Table, metastore.All)
	if err != nil {
		return err
	}
	w.answered(f)
	news := w.All(rows.Rows, Timing{Began: began, After: f.current})
	w.seen(began)
	f.version, f.current = rows.Version, max(f.current, began)
	if w.Neighbours != nil {
		w.Relay.Keep(w.Feed, rows.Rows, f.version)
	}
	if w.Relay != nil {
		w.Relay.NoteListing(w.Feed, f.version, news, w.Clock.Now())
	}
	return nil
}

// watch waits for changes and takes them over. After a failure the same watch may be
// repeated: it misses nothing as long as the history is kept.
func (w *Watcher) watch(ctx context.Context, f *followed) error {
	wait := w.wait()
	if w.Relay != nil {
		advice, told := w.Relay.Await(ctx, w.Feed, f.version, w.Clock)
		f.told = told.Matters
		f.current = max(f.current, w.Relay.currentAt(w.Feed, f.version))
		switch {
		case advice == Take:
			w.take(f, told)
			return nil
		case advice == Fetch && w.askNeighbours(ctx, f, told): // What is listed is large.
			return nil
		case advice == List:
			return w.list(ctx, f)
		case told.Matters <= f.version:
			// Nothing matters up to there; the store may have dropped what is older.
			f.version = max(f.version, told.Seen)
		}
		if advice == Fetch || f.failures > 0 && w.Relay.Telling() {
			wait = fetchWait // The others have to learn soon that the store is back.
		}
	}
	began := w.Clock.Now()
	calling, release := w.untilTelling(ctx)
	changes, err := w.Store.Watch(calling, w.Table, f.version, wait)
	ended := calling.Err() != nil && ctx.Err() == nil
	release()
	switch {
	case err != nil && ended:
		return nil
	case err != nil:
		return err
	}
	w.answered(f)
	at := Timing{Began: began, After: f.current}
	matter := w.changed(changes.Rows, at)
	w.seen(began)
	f.version, f.current = max(f.version, changes.Version), max(f.current, w.currentAfter(changes, began, wait))
	if w.Neighbours != nil {
		w.Relay.KeepChanges(w.Feed, changes.Rows, f.version)
	}
	if w.Relay != nil {
		w.Relay.NoteChanges(w.Feed, f.version, matter, at.After, w.Clock.Now())
	}
	if w.Rest != nil && len(changes.Rows) > 0 {
		pause.For(ctx, w.Rest())
	}
	return nil
}

// currentAfter returns a moment at which what a watch brought was all. The store answers one without changes when its
// wait is over, others at any time since it was sent.
func (w *Watcher) currentAfter(changes metastore.Rows, began mono.Time, wait time.Duration) mono.Time {
	if len(changes.Rows) > 0 {
		return began
	}
	return min(began.Add(wait), w.Clock.Now())
}

// untilTelling returns a context for a call that ends as the other VMs begin to rely on this one: a coordinator
// whose watch still waits has heard nothing of the store, and would be replaced for that.
func (w *Watcher) untilTelling(ctx context.Context) (context.Context, func()) {
	if w.Relay == nil || w.Relay.Telling() {
		return ctx, func() {}
	}
	calling, cancel := context.WithCancel(ctx)
	begins := w.Relay.begins()
	go func() {
		select {
		case <-begins:
			cancel()
		case <-calling.Done():
		}
	}()
	return calling, cancel
}

// changed takes rows over and returns those that matter to the VMs.
func (w *Watcher) changed(rows []metastore.Row, at Timing) []metastore.Row {
	var matter []metastore.Row
	for _, row := range rows {
		if w.Change(row, at) {
			matter = append(matter, row)
		}
	}
	return matter
}

// askNeighbours reports whether another VM had the change that was told.
func (w *Watcher) askNeighbours(ctx context.Context, f *followed, told Told) bool {
	if w.Neighbours == nil || told.Matters <= f.version || w.Relay.Telling() {
		return false
	}
	kept, ok := w.Neighbours.Fetch(ctx, w.Feed, told.Matters)
	if !ok {
		return false
	}
	now := w.Clock.Now()
	later := slices.DeleteFunc(slices.Clone(kept.Rows), func(r metastore.Row) bool { return r.Version <= f.version })
	at := Timing{Began: now, After: f.current}
	w.changed(later, at)
	f.version = max(f.version, kept.Version)
	w.Relay.Keep(w.Feed, kept.Rows, kept.Version)
	w.Relay.NoteTold(w.Feed, f.version, later, at.After, now)
	w.Log.Info("event=store_changes_told", "table", w.Table, "rows", len(later), "version", f.version, "by", "neighbour")
	return true
}

// take takes over changes that a coordinator told.
func (w *Watcher) take(f *followed, told Told) {
	var later []metastore.Row
	for _, row := range told.Rows {
		if row.Version > f.version {
			later = append(later, row)
		}
	}
	now := w.Clock.Now()
	at := Timing{Began: now, After: max(f.current, told.after)}
	w.changed(later, at)
	f.version = max(f.version, told.Seen)
	if w.Neighbours != nil {
		w.Relay.KeepChanges(w.Feed, later, f.version)
	}
	w.Relay.NoteTold(w.Feed, f.version, later, at.After, now)
	w.Log.Info("event=store_changes_told", "table", w.Table, "rows", len(later), "version", f.version)
}

// failed waits before the next call. The first failure is mostly a connection that went
// silent, and is made up for at once; a store that refuses for its load, or is out, gets
// relief.
func (w *Watcher) failed(ctx context.Context, f *followed, err error) {
	if f.failures == 0 {
		f.failing = w.Clock.Now()
	}
	f.failures++
	if ctx.Err() != nil || f.failures == 1 {
		return
	}
	w.logFailure(f, err)
	rest := min(longestRetry, watchRetry<<min(f.failures-2, 8))
	if w.Relay != nil && w.Relay.Telling() {
		rest = watchRetry // The others rely on it; all would take its place as the store returns.
	}
	pause.For(ctx, rest/2+rand.N(rest))
}

// logFailure tells of each doubling of the failures in a row, so that an outage of any length
// leaves few lines, and one that lasts does not look like one that ended. A VM whose version is
// below what it was told serves what is no longer so.
func (w *Watcher) logFailure(f *followed, err error) {
	if f.failures&(f.failures-1) != 0 {
		return
	}
	event := "event=store_still_lost"
	if f.failures == 2 {
		event = "event=store_lost"
	}
	w.Log.Warn(event, "table", w.Table, "failures", f.failures, "lasted", w.Clock.Now().Sub(f.failing),
		"version", f.version, "told_version", f.told, "error", err)
}

func (w *Watcher) answered(f *followed) {
	if f.failures > 1 {
		w.Log.Info("event=store_regained", "table", w.Table, "failures", f.failures, "lasted", w.Clock.Now().Sub(f.failing))
	}
	f.failures = 0
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
