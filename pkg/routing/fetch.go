package routing

import (
	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// FetchKey identifies what is fetched: the floor of Session or, if Session is
// empty, the newest position of the group.
type FetchKey struct {
	Group   topology.GroupID
	Session string
}

// WaiterID identifies a read that waits for a floor.
type WaiterID uint64

// StartFetch asks the caller to send a fetch now.
type StartFetch struct {
	Key FetchKey
	// ID is passed to Done, to distinguish a late answer from the awaited one.
	ID uint64
}

// Released holds the result of a fetch that ended and the reads that waited for
// it.
type Released struct {
	Waiters []WaiterID
	Floor   position.Position
	// Begun is when the fetch began. Together with the newest position it makes a
	// Sample.
	Begun mono.Time
	// Err is set if the fetch failed; Floor is not valid then.
	Err error
}

// FloorFetches shares position fetches between reads. A read is served only by
// a fetch that began after the read arrived: an earlier one may have read the
// primary's position before the session's last write, made through another proxy.
type FloorFetches struct {
	lastID  uint64
	fetches map[FetchKey]*fetch
}

type fetch struct {
	id      uint64
	begun   mono.Time
	current []waiter
	next    []waiter
}

type waiter struct {
	id      WaiterID
	arrived mono.Time
}

// NewFloorFetches returns an empty FloorFetches.
func NewFloorFetches() *FloorFetches {
	return &FloorFetches{fetches: make(map[FetchKey]*fetch)}
}

// Arrive adds a read. It returns a fetch to start, or nil if one is in flight; the
// read then waits for the fetch that follows it.
func (f *FloorFetches) Arrive(now mono.Time, key FetchKey, id WaiterID) *StartFetch {
	w := waiter{id: id, arrived: now}
	if running, ok := f.fetches[key]; ok {
		running.next = append(running.next, w)
		return nil
	}
	running := &fetch{next: []waiter{w}}
	f.fetches[key] = running
	return f.start(now, key, running)
}

func (f *FloorFetches) start(now mono.Time, key FetchKey, running *fetch) *StartFetch {
	f.lastID++
	running.id, running.begun = f.lastID, now
	running.current, running.next = running.next, nil
	for _, w := range running.current {
		invariant.Check(!now.Before(w.arrived), "fetch %d began before read %d, which it serves", running.id, w.id)
	}
	return &StartFetch{Key: key, ID: running.id}
}

// Done ends a fetch with its floor, or with err if it failed or timed out. If
// reads arrived meanwhile, it returns the next fetch, which the caller starts
// now. A late answer to a fetch that already ended releases no reads.
func (f *FloorFetches) Done(now mono.Time, key FetchKey, id uint64, floor position.Position, err error) (Released, *StartFetch) {
	running, ok := f.fetches[key]
	if !ok || running.id != id {
		return Released{}, nil
	}
	released := Released{Floor: floor, Begun: running.begun, Err: err}
	for _, w := range running.current {
		released.Waiters = append(released.Waiters, w.id)
	}
	if len(running.next) == 0 {
		delete(f.fetches, key)
		return released, nil
	}
	return released, f.start(now, key, running)
}

// Cancel removes a read whose caller disconnected or whose deadline passed.
func (f *FloorFetches) Cancel(key FetchKey, id WaiterID) {
	if running, ok := f.fetches[key]; ok {
		running.current = removeWaiter(running.current, id)
		running.next = removeWaiter(running.next, id)
	}
}

func removeWaiter(ws []waiter, id WaiterID) []waiter {
	kept := ws[:0]
	for _, w := range ws {
		if w.id != id {
			kept = append(kept, w)
		}
	}
	return kept
}
