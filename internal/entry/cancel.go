package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// cancelTimeout bounds the delivery of a cancel request.
	cancelTimeout = 2 * time.Second
	// cancelRetry is how soon a pooler that does not know the request yet is
	// told again: the cancel may have overtaken it.
	cancelRetry = 10 * time.Millisecond
)

// flight is the request that a session has under way.
type flight struct {
	stop      context.CancelFunc // ends its waits; nil: no request is under way
	hop       *hop               // nil between attempts
	cancelled bool
}

// hop is an attempt as its pooler knows it.
type hop struct {
	pooler topology.VM
	cancel *peerpb.CancelRequest
}

// beginFlight makes the request known to cancel requests.
func (s *caller) beginFlight(stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight = flight{stop: stop}
}

func (s *caller) endFlight() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight = flight{}
}

// beginHop notes the attempt; false when the request was cancelled before.
func (s *caller) beginHop(pooler topology.VM, msg *peerpb.ExecuteRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight.hop = &hop{pooler: pooler, cancel: &peerpb.CancelRequest{
		Entry:            msg.Entry,
		EntryIncarnation: msg.EntryIncarnation,
		Target:           msg.Target,
		HopId:            msg.HopId,
	}}
	return !s.flight.cancelled
}

func (s *caller) endHop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight.hop = nil
}

// cancelRequest ends the request under way, if any. At a pooler the statement is
// cancelled at its target; the answer then tells what became of it.
func (s *caller) cancelRequest() {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	first := s.markCancelled()
	for h := first; h != nil && h == first; h = s.currentHop() {
		resp, err := s.server.o.Peers.Get(h.pooler).Cancel(ctx, h.cancel)
		if err != nil || resp.Found || !wait.For(ctx, cancelRetry) {
			return
		}
	}
}

// markCancelled returns the attempt under way. Without one the request waits at
// this entry, and its waits end.
func (s *caller) markCancelled() *hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flight.stop == nil {
		return nil
	}
	s.flight.cancelled = true
	if s.flight.hop == nil {
		s.flight.stop()
	}
	return s.flight.hop
}

func (s *caller) currentHop() *hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flight.hop
}

// cancelled says that a request which the caller cancelled has not run; nil when
// it was not cancelled or may have run.
func (s *caller) cancelled(failure *result.Error) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.flight.cancelled || failure.Ran != result.NotRun {
		return nil
	}
	e := result.New(result.Cancelled, "it has not run")
	e.Ran = result.NotRun
	return e
}
