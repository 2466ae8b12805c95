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
	// commitPatience is how long a change of a row is repeated. A store that is
	// out for longer is asked again by whoever needs the change.
	commitPatience = 4 * time.Second
	// commitRetry is the first pause between two tries; it doubles up to longestCommitRetry.
	commitRetry        = 100 * time.Millisecond
	longestCommitRetry = 800 * time.Millisecond
	// controlTimeout bounds a command to a target: a few times what a new connection behind a full
	// queue takes.
	controlTimeout = 400 * time.Millisecond
)

// errOvertaken: another VM's change of the row came first.
var errOvertaken = errors.New("lead: the row was changed by another VM")

// commit writes a row and tells all VMs.
func (l *Lead) commit(ctx context.Context, row *lease.Row) error {
	if err := l.write(ctx, row); err != nil {
		return err
	}
	l.notify(row)
	return nil
}

// write writes a row over the version before it. An answer may be lost after the
// change took effect, and the change may take effect late: the same conditional
// write is repeated until it is answered, and a conflict is settled by reading.
func (l *Lead) write(ctx context.Context, row *lease.Row) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	l.mu.Lock()
	expected := l.versions[row.Group]
	if present := l.holder.Row(row.Group); present != nil && present.Version != row.Version-1 {
		l.mu.Unlock()
		return errOvertaken
	}
	l.mu.Unlock()
	key := groupPrefix + string(row.Group)
	end := l.Clock.Now().Add(commitPatience)
	for rest := commitRetry; ; rest = min(2*rest, longestCommitRetry) {
		began := l.Clock.Now()
		version, err := l.Store.Put(ctx, Table, key, raw, expected)
		switch {
		case err == nil:
			l.committed(row, version, began)
			return nil
		case errors.Is(err, metastore.ErrConflict):
			return l.settle(ctx, row)
		case ctx.Err() != nil || l.Clock.Now().After(end):
			return err
		}
		wait.For(ctx, rest/2+rand.N(rest)) //nolint:gosec // Spreads load only.
	}
}

func (l *Lead) committed(row *lease.Row, version uint64, began mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[row.Group] = max(l.versions[row.Group], version)
	l.adopt(row, ownChange)
	l.coordinator.Observe(row, began, l.Clock.Now())
	if row.Open() {
		l.holder.RecordRead(row.Group, row.Version, began)
		l.tell()
	}
}

// settle finds out after a conflict whether the row in the store is the one that was
// to be written: an earlier try of the same write may have made it.
func (l *Lead) settle(ctx context.Context, row *lease.Row) error {
	if err := l.readDecisions(ctx); err != nil {
		return err
	}
	present := l.Row(row.Group)
	if present == nil || !sameChange(present, row) {
		return errOvertaken
	}
	return nil
}

// sameChange reports whether the row in the store is the one that this VM was writing. An
// earlier change of its own whose outcome it never learnt may have taken effect instead.
func sameChange(present, row *lease.Row) bool {
	return present.Version == row.Version && present.Fence == row.Fence && present.Open() == row.Open() &&
		present.Coordinator == row.Coordinator && present.Incarnation == row.Incarnation
}

func (l *Lead) status(ctx context.Context, t topology.Target) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return l.Control.Status(ctx, t)
}
