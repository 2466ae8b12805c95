package gatewayd

import (
	"log/slog"
	"sync"
)

// malformedKept bounds the keys that are remembered. Beyond it an entry may be told again.
const malformedKept = 1000

// malformed remembers which entries of the store could not be read, so that each is told once
// and not with each of its heartbeats.
type malformed struct {
	mu   sync.Mutex
	seen map[string]string
}

func newMalformed() *malformed { return &malformed{seen: map[string]string{}} }

// note writes a line for an entry that can't be read, unless the same was told of it before. It
// reports whether this is new.
func (m *malformed) note(log *slog.Logger, key string, why error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[key] == why.Error() {
		return false
	}
	if len(m.seen) >= malformedKept {
		m.seen = map[string]string{}
	}
	m.seen[key] = why.Error()
	log.Error("event=registration_malformed", "target", key, "error", why, "outcome", "not used")
	return true
}

// forget notes that the entry can be read.
func (m *malformed) forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.seen, key)
}
