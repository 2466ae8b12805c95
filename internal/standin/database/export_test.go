package database

import "context"

// NewSlots and the methods below open the slots to the tests.
var NewSlots = newSlots

func (s *slots) Acquire(ctx context.Context) error { return s.acquire(ctx) }

func (s *slots) Release() { s.release() }

func (s *slots) Free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free
}

func (s *slots) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

// Like opens the matching of patterns to the tests.
var Like = like
