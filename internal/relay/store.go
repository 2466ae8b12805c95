// Package relay spreads the platform's rows: a few daemons of each data centre
// read the table, the others hear from them.
package relay

import (
	"strings"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

// Prefixes of the rows that daemons need; others are the operators' history.
var prefixes = []string{"group/", "config/", "vm/"}

// Store holds the rows that a daemon knows. Safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64 // all rows up to here are held
	changed  chan struct{}
	reached  time.Time // when the platform was last read, here or by a relay
	onRows   func([]platform.Row, time.Time)
}

// NewStore makes an empty store. onRows is called, outside the lock, with each
// batch of new rows and the instant before its read began; the zero instant when
// the rows were heard from another VM.
func NewStore(onRows func([]platform.Row, time.Time)) *Store {
	return &Store{rows: map[string]platform.Row{}, changed: make(chan struct{}), onRows: onRows}
}

// Apply takes in rows. A row older than the one held is passed over: answers
// may come late, and what a daemon holds never goes back.
func (s *Store) Apply(rows []platform.Row, revision uint64, began time.Time) {
	s.mu.Lock()
	var news []platform.Row
	for _, r := range rows {
		if wanted(r.Key) && s.rows[r.Key].Revision < r.Revision {
			s.rows[r.Key] = r
			news = append(news, r)
		}
	}
	if revision > s.revision {
		s.revision = revision
	}
	if len(news) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if len(news) > 0 {
		s.onRows(news, began)
	}
}

// Reached notes that the platform answered at t, here or at a relay.
func (s *Store) Reached(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.After(s.reached) {
		s.reached = t
	}
}

// PlatformAge returns how long ago the platform last answered.
func (s *Store) PlatformAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reached.IsZero() {
		return time.Hour
	}
	return now.Sub(s.reached)
}

// Known reports whether any source has been read, so that what lacks is not there.
func (s *Store) Known() bool {
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

// Rows returns the rows below prefix.
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
