package lead

import (
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// storedRow is what the store has of a group's row.
type storedRow struct {
	// version is the store's version of it; its number is 0 if the store has no row.
	version metastore.Version
	// row is the row's own version.
	row uint64
}

// forgetLost forgets the rows that the store has lost when it was restored from an older copy. read
// has all decision rows.
func (l *Lead) forgetLost(read metastore.Rows) {
	present := make(map[string]bool, len(read.Rows))
	for _, r := range read.Rows {
		present[r.Key] = true
	}
	none := metastore.Version{Era: read.Version.Era}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !present[dutyKey] && l.duty.version.Era < none.Era {
		l.duty = dutyState{duty: duty{Fence: l.duty.Fence}, version: none}
	}
	for group, s := range l.stored {
		if !present[rowKey(group)] && s.version.Era < none.Era {
			l.stored[group] = storedRow{version: none}
		}
	}
}

func rowKey(group topology.GroupID) string { return groupPrefix + string(group) }
