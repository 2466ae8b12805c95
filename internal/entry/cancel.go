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
	// cancelRetry is the delay before a cancel request is repeated at a pooler
	// that has not received the request yet: the cancel may have overtaken it.
	cancelRetry = 10 * time.Millisecond
)

// activeRequest is the request that a session is executing.
type activeRequest struct {
	cancelWaits context.CancelFunc // ends the request's waits; nil when there is no request
	hop         *hop               // nil between attempts
	cancelled   bool
}

// hop is one attempt of a request at a pooler.
type hop struct {
	pooler topology.VM
	cancel *peerpb.CancelRequest
}

// beginRequest registers the request, so that cancel requests find it.
func (s *callerSession) beginRequest(cancelWaits context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequest = activeRequest{cancelWaits: cancelWaits}
}

func (s *callerSession) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequest = activeRequest{}
}

// beginHop registers the attempt. It returns false when the request has been
// cancelled already.
func (s *callerSession) beginHop(pooler topology.VM, msg *peerpb.ExecuteRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequest.hop = &hop{pooler: pooler, cancel: &peerpb.CancelRequest{
		Entry:            msg.Entry,
		EntryIncarnation: msg.EntryIncarnation,
		Target:           msg.Target,
		HopId:            msg.HopId,
	}}
	return !s.activeRequest.cancelled
}

func (s *callerSession) endHop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequest.hop = nil
}

// cancelRequest cancels the request in progress, if any. When the request is at a
// pooler, the pooler cancels the statement at its target, and the answer reports
// whether it has run.
func (s *callerSession) cancelRequest() {
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

// markCancelled returns the attempt in progress. Between attempts it returns nil
// and ends the request's waits at this entry.
func (s *callerSession) markCancelled() *hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeRequest.cancelWaits == nil {
		return nil
	}
	s.activeRequest.cancelled = true
	if s.activeRequest.hop == nil {
		s.activeRequest.cancelWaits()
	}
	return s.activeRequest.hop
}

func (s *callerSession) currentHop() *hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeRequest.hop
}

// cancelled returns the Cancelled result of a request that was cancelled before
// it ran, or nil when the request was not cancelled or may have run.
func (s *callerSession) cancelled(failure *result.Error) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.activeRequest.cancelled || failure.Ran != result.NotRun {
		return nil
	}
	e := result.New(result.Cancelled, "it has not run")
	e.Ran = result.NotRun
	return e
}
