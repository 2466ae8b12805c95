package routing

import (
	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// FetchKey names what is fetched: the newest position of the group, or with a
// session the floor of that session.
type FetchKey struct {
	Group   topology.GroupID
	Session string
}

// WaiterID names a read that waits for a floor.
type WaiterID uint64

// StartFetch asks the caller to send a fetch now.
type StartFetch struct {
	Key FetchKey
	// ID comes back with Done; it tells a late answer from the awaited one.
	ID uint64
}

// Released are the reads whose fetch ended.
type Released struct {
	Waiters []WaiterID
	Floor   position.Position
	// Begun is when the fetch began: with the newest position it is a Sample.
	Begun mono.Time
	// Err is why the fetch failed; then there is no floor.
	Err error
}

// FloorFetches shares position fetches between reads. A read is served only by
// a fetch that began after the read arrived: an earlier one may have passed the
// primary before the session's last write, made through another entry.
type FloorFetches struct {
	lastID uint64
	keys   map[FetchKey]*fetch
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

// NewFloorFetches returns a table without fetches.
func NewFloorFetches() *FloorFetches {
	return &FloorFetches{keys: make(map[FetchKey]*fetch)}
}

// Arrive adds a read. It returns a fetch to start, or nil when the read waits
// for the one after that in flight.
func (f *FloorFetches) Arrive(now mono.Time, key FetchKey, id WaiterID) *StartFetch {
	w := waiter{id: id, arrived: now}
	if running, ok := f.keys[key]; ok {
		running.next = append(running.next, w)
		return nil
	}
	running := &fetch{next: []waiter{w}}
	f.keys[key] = running
	return f.start(now, key, running)
}

func (f *FloorFetches) start(now mono.Time, key FetchKey, running *fetch) *StartFetch {
	f.lastID++
	running.id, running.begun = f.lastID, now
	running.current, running.next = running.next, nil
	for _, w := range running.current {
		invariant.Check(!now.Before(w.arrived), "fetch %d began before its read %d", running.id, w.id)
	}
	return &StartFetch{Key: key, ID: running.id}
}

// Done ends a fetch: with its floor, or with err when it failed or timed out.
// Reads that arrived meanwhile get the next fetch, to be started now. A late
// answer of an ended fetch releases nobody.
func (f *FloorFetches) Done(now mono.Time, key FetchKey, id uint64, floor position.Position, err error) (Released, *StartFetch) {
	running, ok := f.keys[key]
	if !ok || running.id != id {
		return Released{}, nil
	}
	released := Released{Floor: floor, Begun: running.begun, Err: err}
	for _, w := range running.current {
		released.Waiters = append(released.Waiters, w.id)
	}
	if len(running.next) == 0 {
		delete(f.keys, key)
		return released, nil
	}
	return released, f.start(now, key, running)
}

// Cancel removes a read whose caller has gone or whose deadline passed.
func (f *FloorFetches) Cancel(key FetchKey, id WaiterID) {
	if running, ok := f.keys[key]; ok {
		running.current = without(running.current, id)
		running.next = without(running.next, id)
	}
}

func without(ws []waiter, id WaiterID) []waiter {
	kept := ws[:0]
	for _, w := range ws {
		if w.id != id {
			kept = append(kept, w)
		}
	}
	return kept
}
