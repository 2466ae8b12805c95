// Package relay spreads the platform's rows: a few daemons of each data centre, the relays, read the
// table, and the other daemons get the rows from them.
package relay

import (
	"strings"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

// prefixes are those of the keys of rows that daemons need; other rows are the operators' history.
var prefixes = []string{"group/", "config/", "vm/"}

// Store holds the platform's rows that a daemon has received. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64 // all rows up to this one are held
	changed  chan struct{}
	reached  time.Time // when the platform was last read, by this daemon or a relay
	onRows   func([]platform.Row, time.Time)
}

// NewStore returns an empty store. onRows is called, without the lock held, with each batch of new
// rows and the time before their read began; the zero time when another VM sent the rows.
func NewStore(onRows func([]platform.Row, time.Time)) *Store {
	return &Store{rows: map[string]platform.Row{}, changed: make(chan struct{}), onRows: onRows}
}

// Apply stores rows. It skips a row that is older than the stored one: answers may come late, and
// the revision of a stored row never decreases.
func (s *Store) Apply(rows []platform.Row, revision uint64, began time.Time) {
	s.mu.Lock()
	var newer []platform.Row
	for _, r := range rows {
		if wanted(r.Key) && s.rows[r.Key].Revision < r.Revision {
			s.rows[r.Key] = r
			newer = append(newer, r)
		}
	}
	if revision > s.revision {
		s.revision = revision
	}
	if len(newer) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if len(newer) > 0 {
		s.onRows(newer, began)
	}
}

// NoteReached records that the platform answered this daemon or a relay at t.
func (s *Store) NoteReached(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.After(s.reached) {
		s.reached = t
	}
}

// PlatformAge returns how long ago the platform last answered, or an hour if it never has.
func (s *Store) PlatformAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reached.IsZero() {
		return time.Hour
	}
	return now.Sub(s.reached)
}

// Loaded reports whether any source has been read, so that a row that is not held does not exist.
func (s *Store) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reached.IsZero()
}

// Revision returns the revision up to which all rows are held.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Since returns the rows after revision, the store's revision, and a channel
// that closes with the next change.
func (s *Store) Since(revision uint64) ([]platform.Row, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for _, r := range s.rows {
		if r.Revision > revision {
			rows = append(rows, r)
		}
	}
	return rows, s.revision, s.changed
}

// Rows returns the rows whose keys begin with prefix.
func (s *Store) Rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for key, r := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, r)
		}
	}
	return rows
}

func wanted(key string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
