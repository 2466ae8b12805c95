package pooler

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
)

const (
	// trackedSessions is the number of sessions tracked per target, at about 100 bytes
	// each.
	trackedSessions = 20000
	// floorGapAge is how long the completion of an earlier write may still be
	// outstanding.
	floorGapAge = 2 * time.Second
)

// sessionFloors is a routing.SessionFloors with a lock. Safe for concurrent use.
type sessionFloors struct {
	clock mono.Clock

	mu     sync.Mutex
	floors *routing.SessionFloors
}

func newSessionFloors(clock mono.Clock) *sessionFloors {
	return &sessionFloors{clock: clock, floors: routing.NewSessionFloors(trackedSessions, floorGapAge)}
}

// completed records a commit; it is called before the commit is acknowledged.
func (f *sessionFloors) completed(session string, at position.Position) {
	if at.IsZero() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floors.Completed(session, at, f.clock.Now())
}

// floor returns an upper bound for the position of the session's last write. It is
// newest if the session is not tracked.
func (f *sessionFloors) floor(session string, newest position.Position) position.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.floors.Floor(session, newest)
	if !ok {
		return newest
	}
	return at
}

func (f *sessionFloors) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floors.Tick(f.clock.Now())
}
