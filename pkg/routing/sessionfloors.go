package routing

import (
	"container/list"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// SessionFloors is what the primary's pooler knows of each session's last write,
// so that a roaming session waits for its own write rather than for the group's
// newest.
//
// Another pooler may be at work for a moment. The log's index is dense, so its
// writes show as indexes that no completion of this pooler accounts for; while
// there is such a gap up to the newest position, the floor is the newest.
//
// Positions given to Completed must be those of the commit itself.
type SessionFloors struct {
	capacity int
	gapAge   time.Duration
	term     uint64
	// low: every session may have written up to here.
	low uint64
	// accounted: each index after low and up to here is a write of this pooler.
	accounted uint64
	// seen is the highest index completed.
	seen uint64
	// pending holds the completed indexes after a gap.
	pending map[uint64]struct{}
	// gapSince is when the first gap opened, or last moved.
	gapSince mono.Time
	sessions map[string]*list.Element
	// recent orders the sessions by their last write, latest first.
	recent *list.List
}

type sessionWrite struct {
	session string
	index   uint64
}

// NewSessionFloors tracks up to capacity sessions. A gap older than gapAge is
// given up: gapAge should exceed the time that completions overtake each other.
func NewSessionFloors(capacity int, gapAge time.Duration) *SessionFloors {
	invariant.Check(capacity > 0, "capacity %d", capacity)
	f := &SessionFloors{capacity: capacity, gapAge: gapAge}
	f.reset(position.Position{})
	return f
}

// reset begins a term. What was written before is not known, so the low-water
// mark is the first position seen.
func (f *SessionFloors) reset(first position.Position) {
	f.term = first.Term
	f.low, f.accounted, f.seen = first.Index, first.Index, first.Index
	f.pending = make(map[uint64]struct{})
	f.sessions = make(map[string]*list.Element)
	f.recent = list.New()
}

// Completed notes a write of this pooler, before it is acknowledged; session is
// empty for a session without an id. Completions may come out of order.
func (f *SessionFloors) Completed(session string, p position.Position, now mono.Time) {
	if p.Term < f.term {
		return // Below the low-water mark of the present term.
	}
	if p.Term > f.term {
		f.reset(p)
	}
	f.account(p.Index, now)
	if session != "" {
		f.remember(session, p.Index)
	}
	f.check()
}

func (f *SessionFloors) account(index uint64, now mono.Time) {
	f.seen = max(f.seen, index)
	if index <= f.accounted {
		return
	}
	if len(f.pending) == 0 {
		f.gapSince = now
	}
	f.pending[index] = struct{}{}
	if f.advance() {
		f.gapSince = now
	}
	if len(f.pending) > f.capacity {
		f.giveUpGaps()
	}
}

// advance joins pending indexes that follow the accounted ones.
func (f *SessionFloors) advance() bool {
	moved := false
	for {
		if _, ok := f.pending[f.accounted+1]; !ok {
			return moved
		}
		f.accounted++
		delete(f.pending, f.accounted)
		moved = true
	}
}

// giveUpGaps takes every index seen as possibly another pooler's. Raising the
// mark over the gaps alone would do, but means keeping each gap's age; this costs
// the sessions that wrote last a wait for the highest index seen.
func (f *SessionFloors) giveUpGaps() {
	f.raiseLow(f.seen)
}

func (f *SessionFloors) raiseLow(index uint64) {
	f.low = max(f.low, index)
	if f.low <= f.accounted {
		return
	}
	f.accounted = f.low
	for i := range f.pending {
		if i <= f.low {
			delete(f.pending, i)
		}
	}
	f.advance()
}

func (f *SessionFloors) remember(session string, index uint64) {
	if e, ok := f.sessions[session]; ok {
		w := e.Value.(*sessionWrite)
		w.index = max(w.index, index)
		f.recent.MoveToFront(e)
		return
	}
	f.sessions[session] = f.recent.PushFront(&sessionWrite{session, index})
	if f.recent.Len() <= f.capacity {
		return
	}
	// A forgotten session is one that wrote before the low-water mark.
	oldest := f.recent.Remove(f.recent.Back()).(*sessionWrite)
	delete(f.sessions, oldest.session)
	f.raiseLow(oldest.index)
}

// Tick gives up gaps that are too old to be completions on their way.
func (f *SessionFloors) Tick(now mono.Time) {
	if len(f.pending) > 0 && now.Sub(f.gapSince) > f.gapAge {
		f.giveUpGaps()
	}
	f.check()
}

// Floor returns a position at or after the session's last acknowledged write.
// newest must be the primary's newest position, read after the request for the
// floor arrived. It returns false when newest is of an earlier term: a promotion
// overtook the read, so newest has to be read again.
func (f *SessionFloors) Floor(session string, newest position.Position) (position.Position, bool) {
	if newest.Term < f.term {
		return position.Position{}, false
	}
	if newest.Term > f.term {
		f.reset(newest)
		return newest, true
	}
	floor := f.low
	if e, ok := f.sessions[session]; ok {
		floor = max(floor, e.Value.(*sessionWrite).index)
	}
	if newest.Index > f.accounted {
		floor = max(floor, newest.Index)
	}
	return position.Position{Term: f.term, Index: floor}, true
}

func (f *SessionFloors) check() {
	if f.low > f.accounted || f.accounted > f.seen {
		invariant.Check(false, "low %d accounted %d seen %d", f.low, f.accounted, f.seen)
	}
	if n := f.recent.Len(); n != len(f.sessions) || n > f.capacity {
		invariant.Check(false, "%d sessions listed, %d indexed", n, len(f.sessions))
	}
}
