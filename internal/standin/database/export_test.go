package database

import "context"

// NewSlots and the methods below export slots for tests.
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

// Like exports like for tests.
var Like = like
