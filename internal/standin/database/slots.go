package database

import (
	"context"
	"sync"
)

// slots limits the number of concurrent statements. Waiters are served in order
// of arrival.
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
		s.removeWaiter(ready)
		return contextError(ctx)
	}
}

// removeWaiter removes a waiter from the queue. If a slot was granted to it
// meanwhile, the slot is released; otherwise it would be lost permanently.
func (s *slots) removeWaiter(ready chan struct{}) {
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
