package failover

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// groupPrefix begins the keys of group rows.
const groupPrefix = "group/"

// commit replaces the group's row by compare-and-set. The condition is the
// table's revision of the row's previous version, which is read first.
func (d *Driver) commit(ctx context.Context, row *topology.Group, holder bool) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := d.o.Clock.Now()
	res := d.tryCommit(ctx, row)
	d.withLock(func(now mono.Time) {
		if holder {
			d.holder.ObserveCommit(res, now)
		} else {
			d.promoter.ObserveCommit(res, now)
		}
		if res.Status == authority.Committed {
			d.observeRow(authority.RowRead{Row: row, Began: began}, now)
		}
	})
	d.o.Log.Info("event=row_commit", "group", row.ID, "version", row.Version, "term", row.Term,
		"primary", row.Primary, "promoters", len(row.Promoters), "change", row.ChangeID,
		"status", int(res.Status), "took", d.o.Clock.Now().Sub(began))
}

func (d *Driver) tryCommit(ctx context.Context, row *topology.Group) authority.CommitResult {
	res := authority.CommitResult{Group: row.ID, ChangeID: row.ChangeID}
	current, revision, err := d.currentRow(ctx, row.ID)
	if err != nil {
		res.Status = authority.Unavailable
		return res
	}
	if current == nil || current.Version != row.Version-1 {
		setConflict(&res, current)
		return res
	}
	key := groupPrefix + string(row.ID)
	value := encodeRow(row)
	out, err := d.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		res.Status = authority.Unavailable
	case err != nil:
		res.Status = authority.Unknown
	case !out.Committed:
		setConflict(&res, conflictRow(out))
	default:
		res.Status = authority.Committed
		d.o.Publish(platform.Row{Key: key, Value: value, Revision: out.Revision})
	}
	return res
}

// setConflict sets the result for a table whose row is not the one to be replaced.
// The row is the committer's own, and the result is Committed, when an earlier
// attempt took effect and its response was lost, possibly between the read of this
// attempt and its commit.
func setConflict(res *authority.CommitResult, inPlace *topology.Group) {
	if inPlace != nil && inPlace.ChangeID == res.ChangeID {
		res.Status = authority.Committed
		return
	}
	res.Status = authority.Conflict
	res.Row = inPlace
}

func conflictRow(out platform.Outcome) *topology.Group {
	if len(out.Conflicts) == 0 {
		return nil
	}
	return decodeRow(out.Conflicts[0].Value)
}

// currentRow reads the group's row and the table's revision of it.
func (d *Driver) currentRow(ctx context.Context, id topology.GroupID) (*topology.Group, uint64, error) {
	key := groupPrefix + string(id)
	rows, _, err := d.table.Scan(ctx, key, 0)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range rows {
		if r.Key == key && !r.Deleted {
			return decodeRow(r.Value), r.Revision, nil
		}
	}
	return nil, 0, nil
}

func (d *Driver) readRow(ctx context.Context, id topology.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := d.o.Clock.Now()
	row, _, err := d.currentRow(ctx, id)
	if err != nil || row == nil {
		return
	}
	d.withLock(func(now mono.Time) { d.observeRow(authority.RowRead{Row: row, Began: began}, now) })
}
