package pooler

import (
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
)

const (
	// trackedSessions of one target: about 100 bytes each.
	trackedSessions = 20000
	// floorGapAge is how long a missing completion may be on its way.
	floorGapAge = 2 * time.Second
)

// sessionFloors guards routing.SessionFloors. Safe for concurrent use.
type sessionFloors struct {
	clock mono.Clock

	mu     sync.Mutex
	floors *routing.SessionFloors
}

func newSessionFloors(clock mono.Clock) *sessionFloors {
	return &sessionFloors{clock: clock, floors: routing.NewSessionFloors(trackedSessions, floorGapAge)}
}

// completed notes a commit before it is acknowledged.
func (f *sessionFloors) completed(session string, at position.Position) {
	if at.IsZero() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floors.Completed(session, at, f.clock.Now())
}

// floor returns where the session's last write lies at the latest: the newest
// position when this pooler can't say more.
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
