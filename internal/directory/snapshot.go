package directory

import (
	"context"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
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
	rows := slices.Clone(s.Rows)
	for _, c := range changes {
		rows = slices.DeleteFunc(rows, func(r metastore.Row) bool { return r.Key == c.Key })
		if !c.Deleted {
			rows = append(rows, c)
		}
	}
	r.snapshots[f] = Snapshot{Version: version, Era: version.Era, Rows: rows}
	r.wake()
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
