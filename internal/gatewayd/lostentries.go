package gatewayd

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

// lostEntryGrace is how long after a restoration of the store a running database may take to write its
// entry again.
const lostEntryGrace = 2 * time.Second

// entryVersions holds the version of each registration that was read last.
type entryVersions struct {
	mu       sync.Mutex
	versions map[string]metastore.Version
}

func newEntryVersions() *entryVersions {
	return &entryVersions{versions: map[string]metastore.Version{}}
}

func (e *entryVersions) note(r metastore.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Deleted {
		delete(e.versions, r.Key)
		return
	}
	e.versions[r.Key] = r.Version
}

// isBack reports whether a registration was read in the era or a later one.
func (e *entryVersions) isBack(key string, era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, ok := e.versions[key]
	return ok && v.Era >= era
}

// removeUnlisted removes the targets that a listing lacks, and reports whether there are any. After a
// restoration of the store a running target may lack its entry, and stays for lostEntryGrace.
func (d *daemon) removeUnlisted(listed map[string]bool, at directory.Timing) bool {
	if !at.Restored {
		gone := d.Directory.KeepRegistrations(listed)
		d.logUnregistered(gone, "unlisted")
		return len(gone) > 0
	}
	missing := d.Directory.MissingRegistrations(listed)
	if len(missing) > 0 {
		d.Log.Info("event=target_entries_lost", "entries", missing, "version", at.Version, "outcome", "kept for a while")
		time.AfterFunc(lostEntryGrace, func() { d.removeLost(missing, at.Version.Era) })
	}
	return false
}

// removeLost removes the targets whose entries are still missing in the era.
func (d *daemon) removeLost(keys []string, era uint64) {
	for _, key := range keys {
		if !d.Entries.isBack(key, era) {
			d.logUnregistered(d.Directory.RemoveRegistration(key), "lost_entry")
		}
	}
}
