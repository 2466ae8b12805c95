package lead

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// rowChange is a change of a group's row; from is nil if there is no row yet.
type rowChange struct{ from, to *lease.Row }

// startChanges marks those of the groups as changing that are not, and returns them with a function
// that ends the changes.
func (l *Lead) startChanges(groups []topology.GroupID) (started []topology.GroupID, end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, group := range groups {
		if !l.changing[group] {
			l.changing[group] = true
			started = append(started, group)
		}
	}
	return started, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, group := range started {
			delete(l.changing, group)
		}
	}
}

// writeAll writes changes of many rows with few transactions, and returns the rows that were written.
// The store serves a limited number of transactions a second, so with one for each row a takeover would
// take seconds.
func (l *Lead) writeAll(ctx context.Context, changes []rowChange) []*lease.Row {
	var written []*lease.Row
	for batch := range slices.Chunk(changes, metastore.MaxWrites) {
		written = append(written, l.writeBatch(ctx, batch)...)
	}
	return written
}

// writeBatch writes one transaction as write does one row.
func (l *Lead) writeBatch(ctx context.Context, changes []rowChange) []*lease.Row {
	changes, writes := l.preparedWrites(changes)
	if len(changes) == 0 {
		return nil
	}
	end := l.Clock.Now().Add(commitTimeout)
	for pause := commitRetryDelay; ; pause = min(2*pause, longestCommitRetryDelay) {
		began := l.Clock.Now()
		version, err := l.Store.PutAll(ctx, Table, writes)
		switch {
		case err == nil:
			rows := make([]*lease.Row, 0, len(changes))
			for _, c := range changes {
				l.committed(c.to, version, began)
				rows = append(rows, c.to)
			}
			return rows
		case errors.Is(err, metastore.ErrConflict):
			return l.resolveConflicts(ctx, changes)
		case ctx.Err() != nil || l.Clock.Now().After(end):
			l.Log.Info("event=rows_not_written", "rows", len(changes), "error", err)
			return nil
		}
		wait.For(ctx, pause/2+rand.N(pause)) //nolint:gosec // Spreads load only.
	}
}

// preparedWrites returns the changes that are still possible, with the writes that make them.
func (l *Lead) preparedWrites(changes []rowChange) ([]rowChange, []metastore.Write) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var possible []rowChange
	var writes []metastore.Write
	for _, c := range changes {
		raw, err := json.Marshal(c.to)
		if err != nil || l.changeRefusal(c.from, c.to) != nil {
			continue
		}
		possible = append(possible, c)
		writes = append(writes, metastore.Write{Key: rowKey(c.to.Group), Value: raw, Expected: l.stored[c.to.Group].version})
	}
	return possible, writes
}

// changeRefusal returns why a change can't be made, or nil. The caller holds the lock.
func (l *Lead) changeRefusal(from, to *lease.Row) error {
	present := l.holder.Row(to.Group)
	switch {
	case present != nil && (from == nil || present.Version != from.Version):
		return errSuperseded
	case l.ofEarlierEra(to):
		return errEarlierEra
	}
	return nil
}

// resolveConflicts finds out after a conflict which of the rows an earlier attempt has written, and
// writes those one by one that nobody has changed.
func (l *Lead) resolveConflicts(ctx context.Context, changes []rowChange) []*lease.Row {
	if err := l.readDecisions(ctx); err != nil {
		return nil
	}
	var written []*lease.Row
	for _, c := range changes {
		present := l.Row(c.to.Group)
		if present != nil && sameChange(present, c.to) || l.write(ctx, c.from, c.to) == nil {
			written = append(written, c.to)
		}
	}
	return written
}
