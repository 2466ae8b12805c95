package lead

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// commitTimeout is how long the write of a row is retried. During a longer outage of the store,
	// the caller that needs the change tries again.
	commitTimeout = 4 * time.Second
	// commitRetryDelay is the pause after the first attempt; it doubles up to
	// longestCommitRetryDelay.
	commitRetryDelay        = 100 * time.Millisecond
	longestCommitRetryDelay = 800 * time.Millisecond
	// controlTimeout limits a command to a target: a few times the duration of a new connection
	// behind a full queue.
	controlTimeout = 400 * time.Millisecond
)

// errSuperseded is returned when another VM's change came first.
var errSuperseded = errors.New("lead: the row was changed by another VM")

// errEarlierEra is returned for a change of a row that must first be written again in the store's era.
var errEarlierEra = errors.New("lead: the row is of an earlier era of the store")

// commit changes a row from its current version and notifies all VMs.
func (l *Lead) commit(ctx context.Context, from, row *lease.Row) error {
	if err := l.write(ctx, from, row); err != nil {
		return err
	}
	l.notify(row)
	return nil
}

// write replaces the version from of a row, nil if there is none. An answer may be lost after the change took effect,
// and the change may take effect late. Therefore the same conditional write is repeated until it is
// answered, and a conflict is resolved by reading the row.
func (l *Lead) write(ctx context.Context, from, row *lease.Row) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	l.mu.Lock()
	expected := l.stored[row.Group].version
	refusal := l.changeRefusal(from, row)
	l.mu.Unlock()
	if refusal != nil {
		return refusal
	}
	key := rowKey(row.Group)
	end := l.Clock.Now().Add(commitTimeout)
	for pause := commitRetryDelay; ; pause = min(2*pause, longestCommitRetryDelay) {
		began := l.Clock.Now()
		version, err := l.Store.Put(ctx, Table, key, raw, expected)
		switch {
		case err == nil:
			l.committed(row, version, began)
			return nil
		case errors.Is(err, metastore.ErrConflict):
			return l.resolveConflict(ctx, row)
		case ctx.Err() != nil || l.Clock.Now().After(end):
			return err
		}
		wait.For(ctx, pause/2+rand.N(pause)) //nolint:gosec // Spreads load only.
	}
}

func (l *Lead) committed(row *lease.Row, version metastore.Version, began mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version.After(l.stored[row.Group].version) {
		l.stored[row.Group] = storedRow{version: version, row: row.Version}
	}
	l.adopt(row, ownChange)
	if row.Era() < version.Era {
		return // The store was restored before the write, and may have lost a newer version.
	}
	l.coordinator.Observe(row, began, l.Clock.Now())
	if row.Open() {
		l.holder.RecordRead(row.Group, row.Version, began)
		l.wakeWaiters()
	}
}

// resolveConflict finds out after a conflict whether the row in the store is the one being written:
// an earlier attempt of the same write may have succeeded.
func (l *Lead) resolveConflict(ctx context.Context, row *lease.Row) error {
	if err := l.readDecisions(ctx); err != nil {
		return err
	}
	present := l.Row(row.Group)
	if present == nil || !sameChange(present, row) {
		return errSuperseded
	}
	return nil
}

// sameChange reports whether the row in the store is the one that this VM was writing. An earlier
// change by this VM whose outcome it did not learn may have taken effect instead.
func sameChange(present, row *lease.Row) bool {
	return present.Version == row.Version && present.Fence == row.Fence && present.Open() == row.Open() &&
		present.Coordinator == row.Coordinator && present.Incarnation == row.Incarnation
}

func (l *Lead) status(ctx context.Context, t topology.Target) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return l.Control.Status(ctx, t)
}
