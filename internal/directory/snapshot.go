package directory

import (
	"context"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Snapshot is a snapshot of a feed: its rows as of a version of the store.
type Snapshot struct {
	Version metastore.Version `msgpack:"v"`
	Rows    []metastore.Row   `msgpack:"r"`
	// Era is the era of all versions in the snapshot.
	Era uint64 `msgpack:"e,omitempty"`
}

// Size returns approximately how many bytes the rows take in a message.
func (s *Snapshot) Size() int {
	size := 0
	for _, r := range s.Rows {
		size += len(r.Key) + len(r.Value) + rowOverhead
	}
	return size
}

// Neighbours gives access to nearby VMs, which may already have read a change from the store.
type Neighbours interface {
	// Fetch returns the rows of a feed as of the version or a later one. It returns false if no
	// neighbour has them; the caller then reads them from the store.
	Fetch(ctx context.Context, f Feed, version metastore.Version) (Snapshot, bool)
}

// Peers gives access to the VMs of the data centre that have read the store, for a VM that starts.
type Peers interface {
	// Start returns all rows of a feed. It returns false if this VM has to read them from the store.
	Start(ctx context.Context, f Feed) (Snapshot, bool)
}

// SetSnapshot stores a snapshot of a feed for other VMs to request: all its rows as of a version.
func (r *Relay) SetSnapshot(f Feed, rows []metastore.Row, version metastore.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshots[f].Version.After(version) {
		return
	}
	r.snapshots[f] = Snapshot{Version: version, Era: version.Era, Rows: slices.DeleteFunc(slices.Clone(rows), func(r metastore.Row) bool { return r.Deleted })}
	r.wake()
}

// UpdateSnapshot applies the changes of a feed up to a version to the snapshot stored by SetSnapshot.
func (r *Relay) UpdateSnapshot(f Feed, changes []metastore.Row, version metastore.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.snapshots[f]
	if !ok || s.Version.After(version) || s.Version.Era != version.Era {
		return
	}
	r.snapshots[f] = Snapshot{Version: version, Era: version.Era, Rows: withChanges(s.Rows, changes)}
	r.wake()
}

// withChanges returns the rows after the changes, of which the last one of a row counts.
func withChanges(rows, changes []metastore.Row) []metastore.Row {
	if len(changes) == 0 {
		return rows
	}
	latest := make(map[string]metastore.Row, len(changes))
	for _, c := range changes {
		latest[c.Key] = c
	}
	changed := make([]metastore.Row, 0, len(rows)+len(latest))
	for _, r := range rows {
		if _, ok := latest[r.Key]; !ok {
			changed = append(changed, r)
		}
	}
	for _, c := range latest {
		if !c.Deleted {
			changed = append(changed, c)
		}
	}
	return changed
}

// CurrentSnapshot returns the rows of a feed, and false if this VM does not know that they are up to
// date: its own watch was answered lately, or a coordinator reports no later change.
func (r *Relay) CurrentSnapshot(f Feed, now mono.Time) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.snapshots[f]
	state := r.feedState[f]
	if !ok || state == nil {
		return s, false
	}
	news := r.news[f]
	reported := now.Before(r.confirmedAt[f].Add(newsValidity)) && !news.hasChangeAfter(s.Version)
	return s, reported || state.answeredAt != 0 && now.Sub(state.answeredAt) < maxAnswerAge
}

// SetKept records the version of what this VM keeps although the store has lost it; 0 means nothing.
func (r *Relay) SetKept(f Feed, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept[f] = version
}

// AwaitKept waits until a coordinator reports that it keeps rows of the feed that this VM lacks and the
// store has lost, and returns the coordinator. It returns false if ctx ends first.
func (r *Relay) AwaitKept(ctx context.Context, f Feed, lacks func(version uint64) bool) (topology.VMID, bool) {
	for {
		r.mu.Lock()
		kept, from, changed := r.news[f].Kept, r.reporter, r.changed
		r.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return "", false
		case kept != 0 && lacks(kept):
			return from, true
		}
		wait.Until(ctx, changed, pollPeriod)
	}
}

// pollPeriod is how often a wait for a change looks again; each change ends the wait early.
const pollPeriod = time.Second

// AwaitSnapshot waits until this VM has the rows of a feed as of the version or a later one, and
// returns them. It returns false if ctx ends first.
func (r *Relay) AwaitSnapshot(ctx context.Context, f Feed, version metastore.Version) (Snapshot, bool) {
	for {
		r.mu.Lock()
		s, changed := r.snapshots[f], r.changed
		r.mu.Unlock()
		if !version.After(s.Version) && !version.IsZero() {
			return s, true
		}
		if ctx.Err() != nil {
			return s, false
		}
		wait.Until(ctx, changed, pollPeriod)
	}
}
