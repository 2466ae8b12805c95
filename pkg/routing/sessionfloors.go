package routing

import (
	"container/list"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// SessionFloors tracks each session's last write in the pooler of the primary, so
// that a session that moves to another proxy waits for its own last write rather
// than for the group's newest.
//
// During a change of poolers, another pooler may write to the primary for a short
// time. Log indexes are dense, so its writes appear as indexes that no completion
// of this pooler accounts for. While there is such a gap up to the newest
// position, the floor is the newest position.
//
// Positions passed to Completed must be those of the commit itself.
type SessionFloors struct {
	capacity  int
	maxGapAge time.Duration
	term      uint64
	// lowWater is the low-water mark: any session may have written up to this
	// index.
	lowWater uint64
	// accounted is the highest index up to which each index after lowWater is a
	// write of this pooler.
	accounted uint64
	// highest is the highest completed index.
	highest uint64
	// pending holds the completed indexes after a gap.
	pending map[uint64]struct{}
	// gapSince is when the first gap opened or last advanced.
	gapSince mono.Time
	sessions map[string]*list.Element
	// recent lists the sessions by their last write, latest first.
	recent *list.List
}

type sessionWrite struct {
	session string
	index   uint64
}

// NewSessionFloors returns a SessionFloors that tracks up to capacity sessions.
// After maxGapAge a gap is attributed to another pooler; maxGapAge should exceed
// the time by which completions arrive out of order.
func NewSessionFloors(capacity int, maxGapAge time.Duration) *SessionFloors {
	invariant.Check(capacity > 0, "capacity %d", capacity)
	f := &SessionFloors{capacity: capacity, maxGapAge: maxGapAge}
	f.reset(position.Position{})
	return f
}

// reset begins a term. Earlier writes are not known, so the low-water mark is the
// first position seen.
func (f *SessionFloors) reset(first position.Position) {
	f.term = first.Term
	f.lowWater, f.accounted, f.highest = first.Index, first.Index, first.Index
	f.pending = make(map[uint64]struct{})
	f.sessions = make(map[string]*list.Element)
	f.recent = list.New()
}

// Completed records a write of this pooler. It must be called before the write is
// acknowledged; session is empty for a session without an ID. Completions may
// arrive out of order.
func (f *SessionFloors) Completed(session string, p position.Position, now mono.Time) {
	if p.Term < f.term {
		return // Below the low-water mark of the current term.
	}
	if p.Term > f.term {
		f.reset(p)
	}
	f.account(p.Index, now)
	if session != "" {
		f.recordWrite(session, p.Index)
	}
	f.check()
}

func (f *SessionFloors) account(index uint64, now mono.Time) {
	f.highest = max(f.highest, index)
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

// advance moves accounted over the pending indexes that follow it, and reports
// whether it moved.
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

// giveUpGaps treats every index seen as possibly another pooler's write. It would
// be enough to raise the mark over the old gaps, but that requires the age of each
// gap. The price is that sessions that wrote recently wait for the highest index
// seen.
func (f *SessionFloors) giveUpGaps() {
	f.raiseLowWater(f.highest)
}

func (f *SessionFloors) raiseLowWater(index uint64) {
	f.lowWater = max(f.lowWater, index)
	if f.lowWater <= f.accounted {
		return
	}
	f.accounted = f.lowWater
	for i := range f.pending {
		if i <= f.lowWater {
			delete(f.pending, i)
		}
	}
	f.advance()
}

func (f *SessionFloors) recordWrite(session string, index uint64) {
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
	// The mark is raised because a session that is not tracked counts as one that
	// wrote up to the low-water mark.
	oldest := f.recent.Remove(f.recent.Back()).(*sessionWrite)
	delete(f.sessions, oldest.session)
	f.raiseLowWater(oldest.index)
}

// Tick gives up gaps that are too old to be filled by outstanding completions.
func (f *SessionFloors) Tick(now mono.Time) {
	if len(f.pending) > 0 && now.Sub(f.gapSince) > f.maxGapAge {
		f.giveUpGaps()
	}
	f.check()
}

// Floor returns a position at or after the session's last acknowledged write.
// newest must be the primary's newest position, read after the request for the
// floor arrived. It returns false when newest is of an earlier term: a promotion
// took place after the read, so newest has to be read again.
func (f *SessionFloors) Floor(session string, newest position.Position) (position.Position, bool) {
	if newest.Term < f.term {
		return position.Position{}, false
	}
	if newest.Term > f.term {
		f.reset(newest)
		return newest, true
	}
	floor := f.lowWater
	if e, ok := f.sessions[session]; ok {
		floor = max(floor, e.Value.(*sessionWrite).index)
	}
	if newest.Index > f.accounted {
		floor = max(floor, newest.Index)
	}
	return position.Position{Term: f.term, Index: floor}, true
}

func (f *SessionFloors) check() {
	if f.lowWater > f.accounted || f.accounted > f.highest {
		invariant.Check(false, "low-water mark %d, accounted %d, highest %d", f.lowWater, f.accounted, f.highest)
	}
	if n := f.recent.Len(); n != len(f.sessions) || n > f.capacity {
		invariant.Check(false, "%d sessions listed, %d indexed", n, len(f.sessions))
	}
}
