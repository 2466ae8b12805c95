package database

import (
	"context"
	"sync"
)

// slots bounds the statements that run at once; waiters are served in order of
// arrival.
type slots struct {
	mu      sync.Mutex
	free    int
	waiters []chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	s.waiters = append(s.waiters, ready)
	s.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		s.leave(ready)
		return contextError(ctx)
	}
}

// leave takes a waiter out of the queue. A slot that was handed over at the
// same moment goes to the next waiter; otherwise it would be lost for good.
func (s *slots) leave(ready chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiters {
		if w == ready {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
	s.releaseLocked()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	next := s.waiters[0]
	s.waiters = s.waiters[1:]
	close(next)
}
