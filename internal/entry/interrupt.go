package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// probeEvery is how often one write tries the primary of an interrupted group.
const probeEvery = 20 * time.Millisecond

// interruption is a group whose primary takes no writes at present. One write at
// a time tries it; the others wait for a success or for a newer row. Were each to
// try by itself, thousands of sessions would send as many messages each few
// milliseconds all through a failover.
type interruption struct {
	version   uint64 // of the row under which it began
	nextProbe mono.Time
	over      chan struct{}
}

// interrupts reports whether the failure says that the primary takes no writes.
func interrupts(failure *result.Error) bool {
	switch failure.Code {
	case result.NoPrimary, result.NoRight, result.TermRefused, result.PoolerUnreachable, result.WrongPooler,
		result.TargetUnreachable, result.Leaving, result.NoReplicaForClass:
		return true
	}
	return false
}

// awaitPrimary returns when a write may try the group's primary.
func (r *router) awaitPrimary(ctx context.Context, id topology.GroupID) *result.Error {
	for {
		over, wait := r.interrupted(id)
		if over == nil {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-over:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return result.New(result.NoPrimary, "%s takes no writes at present", id).After(comeBack)
		}
		timer.Stop()
	}
}

// interrupted returns nil when the caller may try; the turn is then its own.
func (r *router) interrupted(id topology.GroupID) (<-chan struct{}, time.Duration) {
	version := uint64(0)
	if row := r.view.Group(id); row != nil {
		version = row.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.interruptions[id]
	if i == nil {
		return nil, 0
	}
	if i.version != version {
		r.endInterruption(id)
		return nil, 0
	}
	now := r.clock.Now()
	if !now.Before(i.nextProbe) {
		i.nextProbe = now.Add(probeEvery)
		return nil, 0
	}
	return i.over, i.nextProbe.Sub(now)
}

// endInterruption wakes all that wait; the caller holds the lock.
func (r *router) endInterruption(id topology.GroupID) {
	if i := r.interruptions[id]; i != nil {
		close(i.over)
		delete(r.interruptions, id)
	}
}

// noteWrite learns from a write's attempt whether the primary takes writes.
func (r *router) noteWrite(id topology.GroupID, failure *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure == nil || !interrupts(failure) {
		r.endInterruption(id)
		return
	}
	if r.interruptions[id] != nil {
		return
	}
	version := uint64(0)
	if row := r.view.Group(id); row != nil {
		version = row.Version
	}
	r.interruptions[id] = &interruption{
		version:   version,
		nextProbe: r.clock.Now().Add(probeEvery),
		over:      make(chan struct{}),
	}
}
