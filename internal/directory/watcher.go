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
	// watchWait is how long the store holds a watch without a change. A silently broken
	// connection is noticed that late, and a configuration has to be in force within three
	// seconds.
	watchWait = 1800 * time.Millisecond
	// retryDelay is the delay after a second failed call; it doubles up to maxRetryDelay.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
	// fetchWait is the wait of a watch that only fetches earlier changes.
	fetchWait = time.Millisecond
)

// Watcher follows one table of the store.
type Watcher struct {
	Store metastore.Store
	Table string
	Clock mono.Clock
	Log   *slog.Logger
	// Wait returns the wait of the next watch, or 0 for the usual one; nil stands for the usual one.
	Wait func() time.Duration
	// ChangeDelay returns how long to pause after a change before the next watch; nil means no pause.
	// Where many rows change together, as the registrations at a start, the next watch then returns
	// them all, in place of one call for each.
	ChangeDelay func() time.Duration
	// Feed identifies the table in Relay, from which the watcher receives news of changes. If Relay
	// is nil, it always watches the store.
	Feed  Feed
	Relay *Relay
	// Neighbours are asked for changes before the store is; nil means that none are. If it is set,
	// the watcher stores its rows in Relay for them.
	Neighbours Neighbours
	// Peers are asked for all rows as the VM starts; nil means that the store is. If it is set, the
	// watcher stores its rows in Relay for other VMs.
	Peers Peers
	// All is called with the rows of a listing: rows that are not among them no longer exist. It
	// reports whether the listing shows anything new that is relevant to the VMs.
	All func(rows []metastore.Row, at Timing) bool
	// Change is called for each row that changes after a listing, and reports whether the change is
	// relevant to the VMs.
	Change func(row metastore.Row, at Timing) bool
	// PassOn, unless nil, returns the row for other VMs in place of one that was read: a newer one that
	// the store has lost.
	PassOn func(row metastore.Row) metastore.Row
	// Seen, unless nil, is called after each answer of the store, with the time at which the call
	// was sent.
	Seen func(began mono.Time)
}

// Timing is when rows were read, and a time after which the new ones among them were written.
type Timing struct {
	// Version is the store's version with which the rows were returned.
	Version metastore.Version
	// Began is when the call that returned the rows was sent.
	Began mono.Time
	// FromPeer is set for a listing that came from another VM. It shows nothing of the present state of
	// the store.
	FromPeer bool
	// WrittenAfter is the last moment at which the watcher's rows were up to date; 0 if it had none.
	WrittenAfter mono.Time
	// Restored is set for the first listing after the store was restored from an older copy: a row may
	// be older than the one that was read before.
	Restored bool
}

// progress is how far a watcher has followed its table.
type progress struct {
	// version is the one up to which all relevant changes were seen.
	version metastore.Version
	// upToDateAt is the last moment at which version was known to include all relevant changes; 0 if
	// nothing was read yet.
	upToDateAt mono.Time
	// reported is the version of the newest change that the coordinator last reported.
	reported metastore.Version
	// failures is the number of calls that failed in a row, the first of them at failingSince.
	failures     int
	failingSince mono.Time
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	p := &progress{}
	started := w.startFromPeer(ctx, p)
	for ctx.Err() == nil {
		if started {
			started = false
		} else if err := w.list(ctx, p); err != nil {
			w.backOff(ctx, p, err)
			continue
		}
		for ctx.Err() == nil {
			err := w.watch(ctx, p)
			if w.mustList(p, err) {
				break
			}
			if err != nil {
				w.backOff(ctx, p, err)
			}
		}
	}
}

// mustList reports whether a watch has failed because the changes that it asked for can't be read
// one by one.
func (w *Watcher) mustList(p *progress, err error) bool {
	tooLarge := errors.Is(err, metastore.ErrHistoryTooLarge)
	if !tooLarge && !errors.Is(err, metastore.ErrHistoryGone) {
		return false
	}
	if tooLarge && w.Relay != nil {
		w.Relay.NoteTooLarge(w.Feed, p.version, w.Clock.Now())
	}
	w.Log.Info("event=store_history_gone", "table", w.Table, "version", p.version, "error", err, "outcome", "listed_again")
	return true
}

// startFromPeer gets the whole table from another VM, and reports whether it did.
func (w *Watcher) startFromPeer(ctx context.Context, p *progress) bool {
	if w.Peers == nil {
		return false
	}
	snapshot, ok := w.Peers.Start(ctx, w.Feed)
	if !ok || p.version.After(snapshot.Version) {
		return false
	}
	w.Log.Info("event=store_listing_received", "table", w.Table, "rows", len(snapshot.Rows), "version", snapshot.Version)
	w.All(snapshot.Rows, Timing{
		Version: snapshot.Version, FromPeer: true,
		Restored: !p.version.IsZero() && snapshot.Version.Era > p.version.Era,
	})
	p.version = snapshot.Version
	w.Relay.SetSnapshot(w.Feed, snapshot.Rows, snapshot.Version)
	w.Relay.NoteStart(w.Feed, snapshot.Version, w.Clock.Now())
	return true
}

// keepsSnapshot reports whether the rows are stored in Relay for other VMs.
func (w *Watcher) keepsSnapshot() bool { return w.Neighbours != nil || w.Peers != nil }

// list reads the whole table.
func (w *Watcher) list(ctx context.Context, p *progress) error {
	began := w.Clock.Now()
	rows, err := w.Store.List(ctx, w.Table, metastore.All)
	if err != nil {
		return err
	}
	w.noteSuccess(p)
	w.Log.Info("event=store_listed", "table", w.Table, "rows", len(rows.Rows), "version", rows.Version,
		"former_version", p.version, "told_version", p.reported)
	isNew := w.All(rows.Rows, Timing{
		Version: rows.Version, Began: began, WrittenAfter: p.upToDateAt,
		Restored: !p.version.IsZero() && rows.Version.Era > p.version.Era,
	})
	w.notifyAnswer(began)
	p.version, p.upToDateAt = rows.Version, max(p.upToDateAt, began)
	if w.keepsSnapshot() {
		w.Relay.SetSnapshot(w.Feed, w.passedOn(rows.Rows), p.version)
	}
	if w.Relay != nil {
		w.Relay.NoteListing(w.Feed, p.version, isNew, w.Clock.Now())
	}
	return nil
}

// watch waits for changes and applies them. After a failure the same watch may be repeated: it
// misses nothing as long as the store keeps the history.
func (w *Watcher) watch(ctx context.Context, p *progress) error {
	wait := w.wait()
	if w.Relay != nil {
		action, reported := w.Relay.Await(ctx, w.Feed, p.version, w.Clock)
		p.reported = reported.Relevant
		p.upToDateAt = max(p.upToDateAt, w.Relay.currentAt(w.Feed, p.version))
		switch {
		case action == Restart:
			if !w.startFromPeer(ctx, p) {
				return w.list(ctx, p)
			}
			return nil
		case action == Apply:
			w.applyNews(p, reported)
			return nil
		case (action == Fetch || action == List) && w.fetchFromNeighbours(ctx, p, reported):
			return nil
		case action == List:
			return w.list(ctx, p)
		case !reported.hasChangeAfter(p.version):
			// No change up to there is relevant; the store may have dropped the older history.
			p.version = metastore.Later(p.version, reported.Seen)
		}
		if action == Fetch || p.failures > 0 && w.Relay.Publishing() {
			wait = fetchWait // The other VMs have to learn soon that the store is back.
		}
	}
	began := w.Clock.Now()
	callCtx, release := w.untilPublishing(ctx)
	changes, err := w.Store.Watch(callCtx, w.Table, p.version, wait)
	interrupted := callCtx.Err() != nil && ctx.Err() == nil
	release()
	switch {
	case err != nil && interrupted:
		return nil
	case err != nil:
		return err
	}
	w.noteSuccess(p)
	at := Timing{Version: changes.Version, Began: began, WrittenAfter: p.upToDateAt}
	relevant := w.applyRows(changes.Rows, at)
	w.notifyAnswer(began)
	p.version, p.upToDateAt = metastore.Later(p.version, changes.Version), max(p.upToDateAt, w.completeAt(changes, began, wait))
	if w.keepsSnapshot() {
		w.Relay.UpdateSnapshot(w.Feed, w.passedOn(w.forSnapshot(changes.Rows, relevant)), p.version)
	}
	if w.Relay != nil {
		w.Relay.NoteChanges(w.Feed, p.version, relevant, at.WrittenAfter, w.Clock.Now())
	}
	if w.ChangeDelay != nil && len(changes.Rows) > 0 {
		pause.For(ctx, w.ChangeDelay())
	}
	return nil
}

// completeAt returns a moment at which what a watch returned was complete. The store answers a
// watch without changes when its wait is over, and others at any time after they were sent.
func (w *Watcher) completeAt(changes metastore.Rows, began mono.Time, wait time.Duration) mono.Time {
	if len(changes.Rows) > 0 {
		return began
	}
	return min(began.Add(wait), w.Clock.Now())
}

// untilPublishing returns a context for a call that ends when the other VMs begin to rely on this
// one: a coordinator whose earlier watch is still waiting has no answer of the store, and would be
// replaced for that.
func (w *Watcher) untilPublishing(ctx context.Context) (context.Context, func()) {
	if w.Relay == nil || w.Relay.Publishing() {
		return ctx, func() {}
	}
	callCtx, cancel := context.WithCancel(ctx)
	publishingStarted := w.Relay.publishingStarted()
	go func() {
		select {
		case <-publishingStarted:
			cancel()
		case <-callCtx.Done():
		}
	}()
	return callCtx, cancel
}

// applyRows passes rows to Change and returns those that are relevant to the VMs.
func (w *Watcher) applyRows(rows []metastore.Row, at Timing) []metastore.Row {
	var relevant []metastore.Row
	for _, row := range rows {
		if w.Change(row, at) {
			relevant = append(relevant, row)
		}
	}
	return relevant
}

// fetchFromNeighbours applies the changes up to the reported one if another VM has them, and
// reports whether one did.
func (w *Watcher) fetchFromNeighbours(ctx context.Context, p *progress, news FeedNews) bool {
	if w.Neighbours == nil || !news.Relevant.After(p.version) || w.Relay.Publishing() {
		return false
	}
	snapshot, ok := w.Neighbours.Fetch(ctx, w.Feed, news.Relevant)
	if !ok {
		return false
	}
	now := w.Clock.Now()
	later := slices.DeleteFunc(slices.Clone(snapshot.Rows), func(r metastore.Row) bool { return !r.Version.After(p.version) })
	at := Timing{Version: snapshot.Version, Began: now, WrittenAfter: p.upToDateAt}
	w.applyRows(later, at)
	p.version = metastore.Later(p.version, snapshot.Version)
	w.Relay.SetSnapshot(w.Feed, w.passedOn(snapshot.Rows), snapshot.Version)
	w.Relay.NoteReceived(w.Feed, p.version, later, at.WrittenAfter, now)
	w.Log.Info("event=store_changes_received", "table", w.Table, "rows", len(later), "version", p.version, "told_version", news.Relevant, "from", "neighbour")
	return true
}

// applyNews applies changes that a coordinator sent as rows.
func (w *Watcher) applyNews(p *progress, news FeedNews) {
	var later []metastore.Row
	for _, row := range news.Rows {
		if row.Version.After(p.version) {
			later = append(later, row)
		}
	}
	now := w.Clock.Now()
	at := Timing{Version: news.Seen, Began: now, WrittenAfter: max(p.upToDateAt, news.writtenAfter)}
	w.applyRows(later, at)
	p.version = metastore.Later(p.version, news.Seen)
	if w.keepsSnapshot() {
		w.Relay.UpdateSnapshot(w.Feed, w.passedOn(later), p.version)
	}
	w.Relay.NoteReceived(w.Feed, p.version, later, at.WrittenAfter, now)
	w.Log.Info("event=store_changes_received", "table", w.Table, "rows", len(later), "version", p.version)
}

// forSnapshot returns the changes that matter to a VM that starts: not the targets' heartbeats.
func (w *Watcher) forSnapshot(changed, relevant []metastore.Row) []metastore.Row {
	if w.Feed == Registrations {
		return relevant
	}
	return changed
}

// passedOn returns the rows for other VMs.
func (w *Watcher) passedOn(rows []metastore.Row) []metastore.Row {
	if w.PassOn == nil {
		return rows
	}
	passed := make([]metastore.Row, 0, len(rows))
	for _, row := range rows {
		passed = append(passed, w.PassOn(row))
	}
	return passed
}

// backOff waits before the next call. The first failure is mostly a silently broken connection, and
// the call is repeated at once; a store that rejects calls because of its load, or is down, is
// called less often.
func (w *Watcher) backOff(ctx context.Context, p *progress, err error) {
	if p.failures == 0 {
		p.failingSince = w.Clock.Now()
	}
	p.failures++
	if ctx.Err() != nil || p.failures == 1 {
		return
	}
	w.logFailure(p, err)
	delay := min(maxRetryDelay, retryDelay<<min(p.failures-2, 8))
	if w.Relay != nil && w.Relay.Publishing() {
		delay = retryDelay // With longer delays, all VMs that rely on this one would take its place when the store returns.
	}
	pause.For(ctx, delay/2+rand.N(delay))
}

// logFailure logs each doubling of the failures in a row, so that an outage of any length produces
// few lines, and one that lasts does not look like one that ended. A VM whose version is below the
// one reported to it serves outdated rows.
func (w *Watcher) logFailure(p *progress, err error) {
	if p.failures&(p.failures-1) != 0 {
		return
	}
	event := "event=store_still_lost"
	if p.failures == 2 {
		event = "event=store_lost"
	}
	w.Log.Warn(event, "table", w.Table, "failures", p.failures, "lasted", w.Clock.Now().Sub(p.failingSince),
		"version", p.version, "told_version", p.reported, "error", err)
}

func (w *Watcher) noteSuccess(p *progress) {
	if p.failures > 1 {
		w.Log.Info("event=store_regained", "table", w.Table, "failures", p.failures, "lasted", w.Clock.Now().Sub(p.failingSince))
	}
	p.failures = 0
}

func (w *Watcher) wait() time.Duration {
	if w.Wait == nil {
		return watchWait
	}
	return cmp.Or(w.Wait(), watchWait)
}

func (w *Watcher) notifyAnswer(began mono.Time) {
	if w.Seen != nil {
		w.Seen(began)
	}
}
