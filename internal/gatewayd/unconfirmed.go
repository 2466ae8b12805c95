package gatewayd

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// lostEntryGrace is how long after a restoration of the store a running database may take to write its
// entry again.
const lostEntryGrace = 2 * time.Second

// unconfirmedEntries holds the keys of the registrations that their databases have not written since the
// store was restored from an older copy, with the era that began then. Those in the store may be older
// than the ones that this VM has read, and those that it lacks may be of running databases.
type unconfirmedEntries struct {
	mu   sync.Mutex
	eras map[string]uint64
}

func newUnconfirmedEntries() *unconfirmedEntries {
	return &unconfirmedEntries{eras: map[string]uint64{}}
}

func (u *unconfirmedEntries) add(keys []string, era uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, key := range keys {
		u.eras[key] = era
	}
}

// confirm records that a registration was written, and reports whether that was awaited.
func (u *unconfirmedEntries) confirm(key string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, awaited := u.eras[key]
	delete(u.eras, key)
	return awaited
}

// expire reports whether a registration was not written since the era began, and forgets it if so.
func (u *unconfirmedEntries) expire(key string, era uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, awaited := u.eras[key]
	if !awaited || since != era {
		return false
	}
	delete(u.eras, key)
	return true
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
	era := at.Version.Era
	d.Unconfirmed.add(slices.Concat(slices.Collect(maps.Keys(listed)), missing), era)
	if len(missing) > 0 {
		d.Log.Info("event=target_entries_lost", "entries", missing, "version", at.Version, "outcome", "kept for a while")
		time.AfterFunc(lostEntryGrace, func() { d.removeUnconfirmed(missing, era) })
	}
	return false
}

// removeUnconfirmed removes the targets whose entries were not written again since the era began.
func (d *daemon) removeUnconfirmed(keys []string, era uint64) {
	for _, key := range keys {
		if d.Unconfirmed.expire(key, era) {
			d.logUnregistered(d.Directory.RemoveRegistration(key), "lost_entry")
		}
	}
}

func (d *daemon) logUnregistered(ids []topology.TargetID, cause string) {
	for _, id := range ids {
		d.Log.Info("event=target_unregistered", "target", id, "cause", cause)
	}
}
