package lead

import (
	"context"
	"encoding/json"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// needsReading reports whether to read the store: to probe it, for a missing row, or because a
// right is about to expire that the coordinator has not renewed.
func (l *Lead) needsReading(now mono.Time) bool {
	paused := now.Sub(l.lastRead) < l.readPause() || now.Sub(l.lastAdopted) < readGrace
	if l.reading || paused && !l.mayReadAtOnce(now) {
		return false
	}
	if l.probeStore {
		l.probeStore, l.reading, l.lastRead = false, true, now
		return true
	}
	for _, group := range l.followed() {
		row := l.holder.Row(group)
		if row != nil && !l.needsRights(now) {
			continue
		}
		missing := row == nil && now.Sub(max(l.lastRead, l.storeSeen)) >= l.missingRowPause()
		if missing || row != nil && row.Open() && l.holder.Until(group).Sub(now) < readAhead {
			l.reading = true
			l.lastRead = now
			return true
		}
	}
	return false
}

// isStarting reports whether this VM has had no right since its start, and has not tried to read the store: it has got
// its rows from another VM, which gives it no rights.
func (l *Lead) isStarting() bool { return !l.promised && l.storeSeen == 0 && l.readFailures == 0 }

// mayReadAtOnce reports whether a starting VM reads the store without the usual pause: to take over from its earlier
// incarnation, without which no VM gets a promise, or for a caller whose right no promise has brought in time. With many
// groups the rows of all starting VMs would take the store too long.
func (l *Lead) mayReadAtOnce(now mono.Time) bool {
	return l.isStarting() && (l.probeStore || l.followsAll() && now.Sub(l.lastAdopted) >= readGrace)
}

// longestMissingRowPause is the longest pause between two readings for a missing row.
const longestMissingRowPause = 20 * time.Second

// missingRowPause is how often the store is read for a row that this VM lacks. Many VMs read it less
// often, since the store serves a limited number of calls a second.
func (l *Lead) missingRowPause() time.Duration {
	return max(missingRowPeriod, l.Directory.WatchWait(longestMissingRowPause))
}

// needsRights reports whether to keep rights renewed by reading the store. A starting VM waits for
// its first promise instead, unless a caller needs a right: when all VMs start together, each would
// read the store several times a second until there is a coordinator.
func (l *Lead) needsRights(now mono.Time) bool {
	return l.promised || l.rightWanted != 0 && now.Sub(l.rightWanted) < rightDemandTTL
}

// readPause returns the time between two reads.
func (l *Lead) readPause() time.Duration {
	return min(readPeriod<<min(l.readFailures, 8), longestReadPeriod)
}

// read reads the rows from the store. A read is a source of rights on its own, independent of the
// coordinator.
func (l *Lead) read(ctx context.Context) {
	began := l.Clock.Now()
	rows, err := l.Store.List(ctx, Table, decisionRows)
	registered := false
	if err == nil {
		registered, err = l.isRegistered(ctx, rows)
	}
	if err == nil {
		l.applyDecisions(rows, began, registered)
		l.storeAnswered(began)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if err != nil {
		l.readFailures++
		l.Log.Warn("event=right_not_read", "error", err, "took", l.Clock.Now().Sub(began))
		return
	}
	if l.readFailures > 0 {
		l.storeRegained = l.Clock.Now()
	}
	l.readFailures = 0
	if l.hasUnreadHandover() {
		l.reading = true
		go l.read(ctx)
	}
}

// isRegistered reports whether this VM was registered when the store had these rows. It queries the
// store only if a registration was removed since the last check.
func (l *Lead) isRegistered(ctx context.Context, read metastore.Rows) (bool, error) {
	removal := lastRemoval(read.Rows)
	l.mu.Lock()
	// In a later era the store may have lost the registration.
	unchanged := l.registered.Era == read.Version.Era && l.registered.Number != 0 && !removal.After(l.registered)
	l.mu.Unlock()
	if unchanged {
		return true, nil
	}
	registered, err := l.registeredAt(ctx, read.Version)
	if registered {
		l.mu.Lock()
		l.registered = metastore.Later(l.registered, read.Version)
		l.mu.Unlock()
	}
	return registered, err
}

// lastRemoval returns the version at which a registration was last removed; zero means never.
func lastRemoval(rows []metastore.Row) metastore.Version {
	for _, r := range rows {
		if r.Key == removalKey {
			return r.Version
		}
	}
	return metastore.Version{}
}

// registeredAt asks the store whether this VM was registered at the version. A registration that
// exists now and was written no later than that version was present at it.
func (l *Lead) registeredAt(ctx context.Context, version metastore.Version) (bool, error) {
	rows, err := l.Store.List(ctx, Table, metastore.Key(vmPrefix+string(l.self.ID)))
	if err != nil {
		return false, err
	}
	for _, r := range rows.Rows {
		var vm topology.VM
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
			continue
		}
		if vm.Incarnation <= l.self.Incarnation {
			return !r.Version.After(version), nil
		}
	}
	if !l.isLeaving() {
		go l.registerAgain(context.Background())
	}
	return false, nil
}

// readDecisions reads the duty and the groups' rows without obtaining rights from them.
func (l *Lead) readDecisions(ctx context.Context) error {
	began := l.Clock.Now()
	rows, err := l.Store.List(ctx, Table, decisionRows)
	if err != nil {
		return err
	}
	l.applyDecisions(rows, began, false)
	return nil
}

// hasUnreadHandover reports whether a group was handed over to this VM whose row it has not yet
// read as its own. Several groups are handed over one after the other, and a read shows only the
// earlier ones.
func (l *Lead) hasUnreadHandover() bool {
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil && l.isUnreadHandover(row) {
			return true
		}
	}
	return false
}

func (l *Lead) isUnreadHandover(row *lease.Row) bool {
	return l.names(row) && l.coordinator.Row(row.Group) == nil && !l.ofEarlierEra(row)
}
