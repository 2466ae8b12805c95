// Package waitlist decides which of the requests that wait for a connection to a target gets
// the next one, how long a new request would wait, and whether it should wait at all.
//
// It does no I/O and reads no clock. Its types are not safe for concurrent use.
package waitlist

import (
	"container/heap"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Request is a request for a connection.
type Request struct {
	// Priority is lower for more urgent requests.
	Priority int
	// Useful is the time by which the answer must arrive to meet the latency objective of the request's class.
	Useful mono.Time
	// Deadline is the time until which the request may wait.
	Deadline mono.Time
	// Customer is the customer of the session; a connection may belong to one customer.
	Customer topology.CustomerID
	// Anyone is set if a connection of any customer can serve the request.
	Anyone bool
}

// Waiter is a waiting request.
type Waiter[T any] struct {
	Request
	// Value is the caller's, and Since is when the request was added.
	Value T
	Since mono.Time

	seq   uint64
	index int
	late  bool
	// flow is the flow that the request waits in, or nil without fair queueing.
	flow *flow[T]
}

// set returns the set that the request waits in.
func (a *Waiter[T]) set() int {
	if a.late {
		return lateSet
	}
	return inTimeSet
}

// List orders the waiting requests while all connections of a target are in use. Requests that can
// still be answered within their objective go first, by priority, then by objective. The others
// follow, by priority, then by deadline, with the capacity that is left. Ordering by deadline alone
// would make all requests late once more arrive than can be served, and keep them late for as long
// as the load lasts. The zero value is an empty list.
//
// With fair queueing, within each of these two sets, customers share the connections of a priority by weight, and
// each priority with waiting requests gets at least a twentieth of the grants. The requests of one customer are in
// the order given above.
type List[T any] struct {
	inTime, late queue[T]
	seq          uint64
	// lastMiss is when a request last became late, by priority.
	lastMiss map[int]mono.Time
	// fair holds the requests in place of inTime and late, or is nil without fair queueing.
	fair *fair[T]
}

// Fair enables fair queueing. It must be called before the first request is added. weight returns a customer's
// weight; a weight that isn't above zero counts as 1.
func (l *List[T]) Fair(weight func(topology.CustomerID) float64) { l.fair = newFair[T](weight) }

// Charge records for how long a request of the customer held its connection. Next and NextOf
// charge a request with the usual time, which this corrects. Without fair queueing it does nothing.
func (l *List[T]) Charge(customer topology.CustomerID, priority int, hold time.Duration) {
	if l.fair != nil {
		l.fair.charge(customer, priority, hold)
	}
}

// WithinShare reports whether a customer uses less than its share of a priority, so that its next request goes
// before those of customers that use theirs in full. Without fair queueing there are no shares, and it returns false.
func (l *List[T]) WithinShare(customer topology.CustomerID, priority int) bool {
	return l.fair != nil && l.fair.withinShare(customer, priority)
}

// Len returns the number of waiting requests.
func (l *List[T]) Len() int {
	if l.fair != nil {
		return l.fair.len()
	}
	return len(l.inTime.items) + len(l.late.items)
}

// Add adds a request. service is the usual time from getting a connection to the answer.
func (l *List[T]) Add(r Request, value T, now mono.Time, service time.Duration) *Waiter[T] {
	l.seq++
	w := &Waiter[T]{Request: r, Value: value, Since: now, seq: l.seq, late: now.Add(service).After(r.Useful)}
	if l.fair != nil {
		l.fair.add(w, now, service)
	} else {
		heap.Push(l.queueOf(w), w)
	}
	return w
}

// RecordMiss records that a request of the priority can't be answered within its objective.
func (l *List[T]) RecordMiss(priority int, now mono.Time) {
	if l.lastMiss == nil {
		l.lastMiss = map[int]mono.Time{}
	}
	l.lastMiss[priority] = now
}

// MissedSince reports whether a request of the priority, or of a more urgent one, has become late
// after since, which means that the target can't serve all of them in time.
func (l *List[T]) MissedSince(priority int, since mono.Time) bool {
	for p, at := range l.lastMiss {
		if p <= priority && at.After(since) {
			return true
		}
	}
	return false
}

func (l *List[T]) queueOf(w *Waiter[T]) *queue[T] {
	if w.late {
		return &l.late
	}
	return &l.inTime
}

// Peek returns the next request without removing it, or nil if none is waiting.
func (l *List[T]) Peek(now mono.Time, service time.Duration) *Waiter[T] {
	if l.fair != nil {
		l.fair.demote(now, service, func(priority int) { l.RecordMiss(priority, now) })
		return l.fair.head(anyRequest)
	}
	for len(l.inTime.items) > 0 {
		w := l.inTime.items[0]
		if !now.Add(service).After(w.Useful) {
			return w
		}
		heap.Pop(&l.inTime)
		w.late = true
		l.RecordMiss(w.Priority, now)
		heap.Push(&l.late, w)
	}
	if len(l.late.items) == 0 {
		return nil
	}
	return l.late.items[0]
}

// Next removes and returns the next request, or nil if none is waiting.
func (l *List[T]) Next(now mono.Time, service time.Duration) *Waiter[T] {
	w := l.Peek(now, service)
	if w != nil {
		l.grant(w, service)
	}
	return w
}

// NextOf removes and returns the next request among those for which eligible returns true, or nil if
// there is none. With fair queueing, eligible must be the same for all requests with the same Customer and Anyone.
func (l *List[T]) NextOf(eligible func(*Request) bool, now mono.Time, service time.Duration) *Waiter[T] {
	w := l.Peek(now, service)
	if w == nil {
		return nil
	}
	if !eligible(&w.Request) {
		w = l.first(eligible)
	}
	if w != nil {
		l.grant(w, service)
	}
	return w
}

// grant removes a request that gets a connection.
func (l *List[T]) grant(w *Waiter[T], service time.Duration) {
	if l.fair != nil {
		l.fair.grant(w, service)
		return
	}
	l.Remove(w)
}

// first returns the next of the eligible requests, or nil.
func (l *List[T]) first(eligible func(*Request) bool) *Waiter[T] {
	if l.fair != nil {
		return l.fair.head(eligible)
	}
	if w := l.inTime.first(eligible); w != nil {
		return w
	}
	return l.late.first(eligible)
}

// Each calls f for each waiting request, in the order in which they get connections with fair queueing, and in no
// particular order without it.
func (l *List[T]) Each(f func(*Request)) {
	if l.fair != nil {
		l.fair.each(f)
		return
	}
	for _, w := range l.inTime.items {
		f(&w.Request)
	}
	for _, w := range l.late.items {
		f(&w.Request)
	}
}

// Remove removes a request, and reports whether it was still waiting.
func (l *List[T]) Remove(w *Waiter[T]) bool {
	if w.index < 0 {
		return false
	}
	if l.fair != nil {
		l.fair.remove(w)
		return true
	}
	heap.Remove(l.queueOf(w), w.index)
	return true
}

// EstimateWait returns how long a new request would wait for one of the connections, each of which is held
// for the given time per request. If this would make the request late, it waits behind all requests that
// are not late.
func (l *List[T]) EstimateWait(r Request, now mono.Time, service, hold time.Duration, connections int) time.Duration {
	if connections == 0 {
		return 0 // No connection is known yet.
	}
	if l.fair != nil {
		return l.fair.estimate(r, now, service, hold, connections)
	}
	waitBehind := func(n int) time.Duration { return time.Duration(n+1) * hold / time.Duration(connections) }
	wait := waitBehind(l.inTime.countBefore(r.Priority))
	if !now.Add(wait + service).After(r.Useful) {
		return wait
	}
	return waitBehind(len(l.inTime.items) + l.late.countBefore(r.Priority))
}

// RetryAfter returns the time after which the caller of a request that is refused, because it would have waited for
// the given time, should try again; hold and connections are those of EstimateWait. With fair queueing the wait
// includes requests that are yet to arrive. The caller is asked to return when the request would have missed its
// objective, by which time most requests before it have been granted or are late, or if it is late itself, once those
// that wait now have been granted.
func (l *List[T]) RetryAfter(r Request, wait time.Duration, now mono.Time, hold time.Duration, connections int) time.Duration {
	switch {
	case l.fair == nil:
		return wait
	case r.Useful.After(now):
		return min(wait, r.Useful.Sub(now))
	}
	return min(wait, time.Duration(l.Len()+1)*hold/time.Duration(max(connections, 1)))
}

// queue is a heap ordered by priority, then by objective or deadline, then by arrival.
type queue[T any] struct{ items []*Waiter[T] }

func (q *queue[T]) Len() int { return len(q.items) }

func (q *queue[T]) Less(i, j int) bool { return q.items[i].before(q.items[j]) }

// first returns the first of the eligible requests, or nil.
func (q *queue[T]) first(eligible func(*Request) bool) *Waiter[T] {
	var best *Waiter[T]
	for _, w := range q.items {
		if (best == nil || w.before(best)) && eligible(&w.Request) {
			best = w
		}
	}
	return best
}

func (a *Waiter[T]) before(b *Waiter[T]) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.due() != b.due():
		return a.due().Before(b.due())
	}
	return a.seq < b.seq
}

func (a *Waiter[T]) due() mono.Time {
	if a.late {
		return a.Deadline
	}
	return a.Useful
}

func (q *queue[T]) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(q.items)
	q.items = append(q.items, w)
}

// Pop implements heap.Interface.
func (q *queue[T]) Pop() any {
	last := len(q.items) - 1
	w := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	w.index = -1
	return w
}

// countBefore returns how many requests a new one of the priority would wait for.
func (q *queue[T]) countBefore(priority int) int {
	n := 0
	for _, w := range q.items {
		if w.Priority <= priority {
			n++
		}
	}
	return n
}
