package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// probeInterval is the interval at which a single write tries the primary of an
// interrupted group.
const probeInterval = 20 * time.Millisecond

// interruption is the state of a group whose primary accepts no writes at present.
// One write at a time tries the primary; the others wait until it succeeds or a
// newer row arrives. If every write tried on its own, thousands of sessions would
// send as many messages every few milliseconds throughout a failover.
type interruption struct {
	version   uint64 // of the group's row when the interruption began
	nextProbe mono.Time
	ended     chan struct{}
}

// primaryUnavailable reports whether the failure means that the primary accepts no
// writes.
func primaryUnavailable(failure *result.Error) bool {
	switch failure.Code {
	case result.NoPrimary, result.NoRight, result.TermRefused, result.PoolerUnreachable, result.WrongPooler,
		result.TargetUnreachable, result.Leaving, result.NoReplicaForClass:
		return true
	}
	return false
}

// awaitPrimary waits until a write may try the group's primary.
func (r *router) awaitPrimary(ctx context.Context, id topology.GroupID) *result.Error {
	for {
		ended, wait := r.probeOrWait(id)
		if ended == nil {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return result.New(result.NoPrimary, "%s takes no writes at present", id).After(defaultRetryAfter)
		}
		timer.Stop()
	}
}

// probeOrWait returns a nil channel when the write may try the primary; during an
// interruption the write has then taken the probe that was due. Otherwise it returns
// the channel that is closed at the interruption's end, and the time to the next
// probe.
func (r *router) probeOrWait(id topology.GroupID) (<-chan struct{}, time.Duration) {
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
		i.nextProbe = now.Add(probeInterval)
		return nil, 0
	}
	return i.ended, i.nextProbe.Sub(now)
}

// endInterruption releases all waiting writes. The caller holds r.mu.
func (r *router) endInterruption(id topology.GroupID) {
	if i := r.interruptions[id]; i != nil {
		close(i.ended)
		delete(r.interruptions, id)
	}
}

// recordWriteResult starts or ends the group's interruption according to the result
// of a write's attempt.
func (r *router) recordWriteResult(id topology.GroupID, failure *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure == nil || !primaryUnavailable(failure) {
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
		nextProbe: r.clock.Now().Add(probeInterval),
		ended:     make(chan struct{}),
	}
}
