// Package fairqueue shares one resource among flows by start-time fair queueing, and guarantees each
// priority a minimum share of it.
//
// It does no I/O and reads no clock. Its types are not safe for concurrent use.
package fairqueue

import (
	"math"
	"time"
)

// Queue holds the waiting requests of one flow, in an order of the caller's choice.
type Queue interface {
	// Len returns the number of waiting requests.
	Len() int
}

// Flow holds the requests of one key.
type Flow[K comparable, Q Queue] struct {
	Key   K
	Queue Q

	// start is the virtual start time of the next request, in seconds of cost per unit of weight.
	start float64
	// granted is the number of grants that are not settled, and reserved what they were charged.
	granted  int
	reserved float64
	// early is the virtual time by which the flow may start ahead of the others.
	early float64
}

// Start returns the virtual start time of the flow's next request, in seconds of cost per unit of weight.
func (f *Flow[K, Q]) Start() float64 { return f.start }

// Flows shares a resource among flows in proportion to their weights: the flow with the earliest virtual start
// is served next, and each request advances its flow's start by its cost divided by the flow's weight. The zero
// value has no flows.
type Flows[K comparable, Q Queue] struct {
	flows   []*Flow[K, Q]
	virtual float64
}

// All returns the flows in the order in which they were added. The slice must not be changed.
func (s *Flows[K, Q]) All() []*Flow[K, Q] { return s.flows }

// Find returns the flow of a key, or nil.
func (s *Flows[K, Q]) Find(key K) *Flow[K, Q] {
	for _, f := range s.flows {
		if f.Key == key {
			return f
		}
	}
	return nil
}

// Get returns the flow of a key. If there is none, it adds one with an empty queue.
func (s *Flows[K, Q]) Get(key K, empty func() Q) *Flow[K, Q] {
	if f := s.Find(key); f != nil {
		return f
	}
	f := &Flow[K, Q]{Key: key, Queue: empty(), start: math.Inf(-1)}
	s.flows = append(s.flows, f)
	return f
}

// Enter moves the start of a flow that was idle to EntryStart if it is earlier, so that the flow gets no more credit
// for the time that it was idle than the allowance early, in seconds of cost per unit of weight.
func (s *Flows[K, Q]) Enter(f *Flow[K, Q], early float64) {
	f.early = early
	f.start = max(f.start, s.EntryStart(early))
}

// EntryStart returns the earliest start of a flow that enters: the virtual time less the flow's allowance.
func (s *Flows[K, Q]) EntryStart(early float64) float64 { return s.virtual - early }

// Head returns the eligible flow that is served next, or nil.
func (s *Flows[K, Q]) Head(eligible func(*Flow[K, Q]) bool) *Flow[K, Q] {
	var best *Flow[K, Q]
	for _, f := range s.flows {
		if (best == nil || f.start < best.start) && eligible(f) {
			best = f
		}
	}
	return best
}

// Serve charges a flow for a request of known cost, which the caller has removed from its queue.
func (s *Flows[K, Q]) Serve(f *Flow[K, Q], cost time.Duration, weight float64) {
	s.virtual = f.start
	f.start += cost.Seconds() / weight
	s.dropIdle()
}

// Grant charges a flow for a request that the caller has removed from its queue, with the expected cost until
// Settle corrects it. Without that charge one flow could get all grants until the first request ends. The
// virtual time does not go back, since a grant may be out of turn.
func (s *Flows[K, Q]) Grant(f *Flow[K, Q], expected time.Duration, weight float64) {
	s.virtual = max(s.virtual, f.start)
	charge := expected.Seconds() / weight
	f.start += charge
	f.reserved += charge
	f.granted++
	s.dropIdle()
}

// Settle replaces the expected cost of one of the flow's grants by the actual cost. A request that was served
// without a grant is charged in full.
func (s *Flows[K, Q]) Settle(f *Flow[K, Q], cost time.Duration, weight float64) {
	if f.granted > 0 {
		charged := f.reserved / float64(f.granted)
		f.granted--
		f.reserved -= charged
		f.start -= charged
	}
	f.start += cost.Seconds() / weight
	s.dropIdle()
}

// dropIdle drops idle flows that would enter as new ones do, so that flows of keys that send no more requests don't
// accumulate.
func (s *Flows[K, Q]) dropIdle() {
	kept := s.flows[:0]
	for _, f := range s.flows {
		if f.Queue.Len() > 0 || f.granted > 0 || f.start > s.EntryStart(f.early) {
			kept = append(kept, f)
		}
	}
	clear(s.flows[len(kept):])
	s.flows = kept
}

// Reset drops all flows, which must be idle. Flows that are added later start equal.
func (s *Flows[K, Q]) Reset() { *s = Flows[K, Q]{} }
