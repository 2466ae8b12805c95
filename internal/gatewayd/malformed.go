package gatewayd

import (
	"log/slog"
	"sync"
)

// maxMalformed is the maximum number of keys that are remembered. Beyond it an entry may be logged again.
const maxMalformed = 1000

// malformed remembers which entries of the store could not be decoded, so that each is logged once
// and not with each of its heartbeats.
type malformed struct {
	mu   sync.Mutex
	seen map[string]string
}

func newMalformed() *malformed { return &malformed{seen: map[string]string{}} }

// report logs an entry that can't be decoded, unless it was logged with the same error before. It
// reports whether the error is new.
func (m *malformed) report(log *slog.Logger, key string, why error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[key] == why.Error() {
		return false
	}
	if len(m.seen) >= maxMalformed {
		m.seen = map[string]string{}
	}
	m.seen[key] = why.Error()
	log.Error("event=registration_malformed", "target", key, "error", why, "outcome", "ignored")
	return true
}

// forget removes an entry that can be decoded.
func (m *malformed) forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.seen, key)
}
