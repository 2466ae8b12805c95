package gatewayd

import (
	"log/slog"
	"sync"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// maxMalformed is the maximum number of keys that are remembered. Beyond it entries are only counted.
const maxMalformed = 1000

// malformed remembers which registrations could not be decoded, so that each is logged once
// and not with each of its heartbeats.
type malformed struct {
	metrics *metrics.Store

	mu   sync.Mutex
	seen map[string]bool
}

func newMalformed(m *metrics.Store) *malformed {
	return &malformed{metrics: m, seen: map[string]bool{}}
}

// report counts an entry that can't be decoded, and logs it unless it was logged since it could be decoded. It
// reports whether the entry is new.
func (m *malformed) report(log *slog.Logger, key string, why error) bool {
	m.metrics.InvalidRegistration()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[key] || len(m.seen) >= maxMalformed {
		return false
	}
	m.seen[key] = true
	log.Error("event=registration_malformed", "target", key, "code", result.From(why).Code, "error", why, "outcome", "ignored")
	return true
}

// forget removes an entry that can be decoded or was removed.
func (m *malformed) forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.seen, key)
}
