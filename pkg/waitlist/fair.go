package waitlist

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/fairqueue"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The sets of waiting requests, in the order in which they are served.
const (
	inTimeSet = iota // requests that can still meet their objective
	lateSet
	sets
)

// credit counts parts of a grant.
type credit int64

const (
	// grantCost is the credit that pays for one grant. A priority that waits earns a credit of 1 for each grant
	// to another one, so it gets at least one grant in twenty.
	grantCost credit = 19
	// maxCredit is how much credit a priority keeps for which no connection is eligible.
	maxCredit = 4 * grantCost
	// earlyRequests is how many requests of a customer that has used less than its share are ahead of customers
	// that use theirs in full. The requests of a customer come irregularly: without this, one whose mean load is
	// close to its share waits behind its own last requests as long as those that exceed theirs.
	earlyRequests = 8
	// holdWeight is the weight of a new hold time in a priority's moving average.
	holdWeight = 0.1
)

// flowKey identifies a flow. The proxy's own requests, which any connection can serve, are not charged, and have a
// flow of their own.
type flowKey struct {
	customer topology.CustomerID
	anyone   bool
}

func keyOf(r *Request) flowKey {
	if r.Anyone {
		return flowKey{anyone: true}
	}
	return flowKey{customer: r.Customer}
}

// requests holds the waiting requests of one flow.
type requests[T any] struct {
	sets [sets]queue[T]
}

func newRequests[T any]() *requests[T] { return &requests[T]{} }

// Len implements fairqueue.Queue.
func (q *requests[T]) Len() int { return len(q.sets[inTimeSet].items) + len(q.sets[lateSet].items) }

// enters reports whether a request that is added to a set makes its flow enter the competition.
func (q *requests[T]) enters(set int) bool {
	return q.Len() == 0 || set == inTimeSet && len(q.sets[set].items) == 0
}

type flow[T any] = fairqueue.Flow[flowKey, *requests[T]]

// level holds the waiting requests of one priority.
type level[T any] struct {
	priority int
	flows    fairqueue.Flows[flowKey, *requests[T]]
	waiting  [sets]int
	demand   demand
	progress progress
	// hold is the moving average of how long a request of the priority holds its connection; 0 if not known.
	hold time.Duration
}

func (l *level[T]) len() int { return l.waiting[inTimeSet] + l.waiting[lateSet] }

// head returns the request of a set that is granted next among the eligible ones, or nil.
func (l *level[T]) head(set int, eligible func(*Request) bool) *Waiter[T] {
	if l.waiting[set] == 0 {
		return nil
	}
	f := l.flows.Head(func(f *flow[T]) bool {
		items := f.Queue.sets[set].items
		return len(items) > 0 && eligible(&items[0].Request)
	})
	if f == nil {
		return nil
	}
	return f.Queue.sets[set].items[0]
}

// push adds a request to its flow. A flow without requests that can be in time gets no credit for the grants to
// those of others. early is the flow's allowance.
func (l *level[T]) push(w *Waiter[T], early float64) {
	set := w.set()
	w.flow = l.flows.Get(keyOf(&w.Request), newRequests[T])
	if w.flow.Queue.enters(set) {
		l.flows.Enter(w.flow, early)
	}
	heap.Push(&w.flow.Queue.sets[set], w)
	l.waiting[set]++
}

// take removes a request from its flow.
func (l *level[T]) take(w *Waiter[T]) {
	set := w.set()
	heap.Remove(&w.flow.Queue.sets[set], w.index)
	l.waiting[set]--
}

// resetIfIdle makes all flows equal once no request waits: there is nothing to share until one does.
func (l *level[T]) resetIfIdle() {
	if l.len() == 0 {
		l.flows.Reset()
		l.progress = progress{}
	}
}

// holdOr returns the usual hold time of the priority's requests, or other if it is not known.
func (l *level[T]) holdOr(other time.Duration) time.Duration {
	if l.hold > 0 {
		return l.hold
	}
	return other
}

func (l *level[T]) noteHold(d time.Duration) {
	if l.hold == 0 {
		l.hold = d
		return
	}
	l.hold += time.Duration(holdWeight * float64(d-l.hold))
}

// fair is the order of a List with fair queueing.
type fair[T any] struct {
	weightOf func(topology.CustomerID) float64
	// levels are in ascending order of priority, as are priorities, their numbers.
	levels     []*level[T]
	priorities []int
	credits    [sets]fairqueue.Credits[credit]
	// granted is the work of the list: the sum of the expected hold times of all grants.
	granted time.Duration
}

func newFair[T any](weight func(topology.CustomerID) float64) *fair[T] {
	f := &fair[T]{weightOf: weight}
	for set := range f.credits {
		f.credits[set].Most = maxCredit
	}
	return f
}

// weight returns a customer's weight, which is above zero.
func (f *fair[T]) weight(customer topology.CustomerID) float64 {
	if w := f.weightOf(customer); w > 0 {
		return w
	}
	return 1
}

func (f *fair[T]) len() int {
	n := 0
	for _, l := range f.levels {
		n += l.len()
	}
	return n
}

// find returns the level of a priority, or nil.
func (f *fair[T]) find(priority int) *level[T] {
	if i, ok := slices.BinarySearch(f.priorities, priority); ok {
		return f.levels[i]
	}
	return nil
}

// level returns the level of a priority, which it adds if there is none.
func (f *fair[T]) level(priority int) *level[T] {
	i, ok := slices.BinarySearch(f.priorities, priority)
	if !ok {
		f.priorities = slices.Insert(f.priorities, i, priority)
		f.levels = slices.Insert(f.levels, i, &level[T]{priority: priority})
	}
	return f.levels[i]
}

// add adds a request that has just arrived. service is the hold time assumed until one has been measured.
func (f *fair[T]) add(w *Waiter[T], now mono.Time, service time.Duration) {
	l := f.level(w.Priority)
	if !w.late && !w.Anyone {
		l.demand.add(l.holdOr(service), now)
	}
	f.push(l, w)
}

func (f *fair[T]) push(l *level[T], w *Waiter[T]) { l.push(w, f.early(l, keyOf(&w.Request), 0)) }

// early returns the allowance of a flow: the virtual time by which it may start ahead of the others. hold is the hold
// time assumed until one has been measured. The proxy's own requests go first.
func (f *fair[T]) early(l *level[T], key flowKey, hold time.Duration) float64 {
	if key.anyone {
		return math.Inf(1)
	}
	return earlyRequests * f.step(l, key, hold)
}

// step returns the virtual time by which a usual request advances its flow.
func (f *fair[T]) step(l *level[T], key flowKey, hold time.Duration) float64 {
	if key.anyone {
		return 0
	}
	return l.holdOr(hold).Seconds() / f.weight(key.customer)
}

func anyRequest(*Request) bool { return true }

// head returns the request that is granted next among the eligible ones, or nil.
func (f *fair[T]) head(eligible func(*Request) bool) *Waiter[T] {
	for set := range sets {
		var next *Waiter[T]
		_, ok := f.credits[set].Pick(f.priorities, func(p int) (credit, bool) {
			next = f.find(p).head(set, eligible)
			return grantCost, next != nil
		})
		if ok {
			return next
		}
	}
	return nil
}

// demote moves the requests that can't meet their objective any more to the late ones, and calls missed for each.
func (f *fair[T]) demote(now mono.Time, service time.Duration, missed func(priority int)) {
	for _, l := range f.levels {
		if l.waiting[inTimeSet] == 0 {
			continue
		}
		for _, fl := range l.flows.All() {
			q := &fl.Queue.sets[inTimeSet]
			for len(q.items) > 0 && now.Add(service).After(q.items[0].Useful) {
				w := q.items[0]
				l.take(w)
				w.late = true
				f.push(l, w)
				missed(w.Priority)
			}
		}
		f.clearCredit(l)
	}
}

// remove removes a request without a charge.
func (f *fair[T]) remove(w *Waiter[T]) {
	l := f.level(w.Priority)
	l.take(w)
	l.resetIfIdle()
	f.clearCredit(l)
}

// clearCredit removes a priority's credit in the sets in which none of its requests waits.
func (f *fair[T]) clearCredit(l *level[T]) {
	for set, n := range l.waiting {
		if n == 0 {
			f.credits[set].Clear(l.priority)
		}
	}
}

// grant removes a request and charges its customer and its priority. service is the expected hold time until one
// has been measured.
func (f *fair[T]) grant(w *Waiter[T], service time.Duration) {
	l, set := f.level(w.Priority), w.set()
	l.take(w)
	if !w.Anyone {
		l.flows.Grant(w.flow, l.holdOr(service), f.weight(w.Customer))
		f.noteWork(l.holdOr(service))
	}
	f.credits[set].Spend(l.priority, grantCost)
	for _, other := range f.levels[1:] {
		if other != l && other.waiting[set] > 0 {
			f.credits[set].Earn(other.priority, 1)
		}
	}
	l.resetIfIdle()
	f.clearCredit(l)
}

// noteWork records that a request was granted which is expected to hold its connection for the given time.
func (f *fair[T]) noteWork(hold time.Duration) {
	f.granted += hold
	for _, l := range f.levels {
		l.progress.note(l.flows.EntryStart(0), f.granted, l.holdOr(hold))
	}
}

// charge replaces the expected hold time of one of the customer's requests by the actual one.
func (f *fair[T]) charge(customer topology.CustomerID, priority int, hold time.Duration) {
	l := f.level(priority)
	l.noteHold(hold)
	if l.len() == 0 {
		return // Nothing is shared while no request of the priority waits.
	}
	key := flowKey{customer: customer}
	fl := l.flows.Find(key)
	if fl == nil {
		fl = l.flows.Get(key, newRequests[T])
		l.flows.Enter(fl, f.early(l, key, hold))
	}
	l.flows.Settle(fl, hold, f.weight(customer))
}

// withinShare reports whether a customer's next request goes before those of customers that use their share in full.
func (f *fair[T]) withinShare(customer topology.CustomerID, priority int) bool {
	l := f.find(priority)
	if l == nil {
		return true
	}
	fl := l.flows.Find(flowKey{customer: customer})
	return fl == nil || fl.Start() < l.flows.EntryStart(0)
}

// turn is a waiting request with the virtual time at which it is granted.
type turn[T any] struct {
	*Waiter[T]
	at float64
}

// each calls visit for each waiting request in the order in which they are granted if no others arrive, except that
// of the minimum shares only that of the next request is observed.
func (f *fair[T]) each(visit func(*Request)) {
	next := f.head(anyRequest)
	if next == nil {
		return
	}
	visit(&next.Request)
	for set := range sets {
		for _, l := range f.levels {
			for _, t := range f.turns(l, set) {
				if t.Waiter != next {
					visit(&t.Request)
				}
			}
		}
	}
}

// turns returns the requests of a set of a level in the order in which they are granted.
func (f *fair[T]) turns(l *level[T], set int) []turn[T] {
	if l.waiting[set] == 0 {
		return nil
	}
	turns := make([]turn[T], 0, l.waiting[set])
	for _, fl := range l.flows.All() {
		first, at, step := len(turns), fl.Start(), f.step(l, fl.Key, time.Millisecond)
		for _, w := range fl.Queue.sets[set].items {
			turns = append(turns, turn[T]{w, 0})
		}
		own := turns[first:]
		slices.SortFunc(own, func(a, b turn[T]) int {
			if a.before(b.Waiter) {
				return -1
			}
			return 1
		})
		for i := range own {
			own[i].at = at + float64(i)*step
		}
	}
	slices.SortFunc(turns, func(a, b turn[T]) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	return turns
}
