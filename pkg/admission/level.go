package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/fairqueue"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// entry is a waiting request.
type entry struct {
	Request
	arrived mono.Time
	// sequence is the request's number in order of arrival.
	sequence uint64
	// cost is the expected time in the slot. It is fixed at arrival so that the sums
	// of waiting work stay exact.
	cost time.Duration
}

// The places within a priority, in the order in which they are served.
const (
	placeOpen = iota // requests of open transactions
	placeNew
	placeLower
	places
)

func placeOf(r *Request) int {
	switch {
	case r.continues():
		return placeOpen
	case r.LowerPlace:
		return placeLower
	}
	return placeNew
}

// flowKey identifies a flow. Requests that open a transaction have a flow of their
// own, so that the limit on transactions delays no other requests.
type flowKey struct {
	member string
	opens  bool
}

// requests is the FIFO queue of one flowKey at one place.
type requests struct {
	waiting []*entry
	work    time.Duration
}

func newRequests() *requests { return &requests{} }

// Len implements fairqueue.Queue.
func (r *requests) Len() int { return len(r.waiting) }

func (r *requests) remove(i int) {
	r.work -= r.waiting[i].cost
	copy(r.waiting[i:], r.waiting[i+1:])
	r.waiting[len(r.waiting)-1] = nil
	r.waiting = r.waiting[:len(r.waiting)-1]
}

type flow = fairqueue.Flow[flowKey, *requests]

// place holds the flows of one place of a priority and shares it among members.
type place struct {
	fairqueue.Flows[flowKey, *requests]
}

func (p *place) push(e *entry) {
	f := p.Get(flowKey{e.Member, e.Opens}, newRequests)
	if f.Queue.Len() == 0 {
		p.Enter(f, 0)
	}
	f.Queue.waiting = append(f.Queue.waiting, e)
	f.Queue.work += e.cost
}

// head returns the flow to be served next, or nil if none can be.
func (p *place) head(opensAllowed bool) *flow {
	return p.Head(func(f *flow) bool { return f.Queue.Len() > 0 && (opensAllowed || !f.Key.opens) })
}

// pop removes the first request of the flow and charges it to the flow.
func (p *place) pop(f *flow, weight float64) {
	cost := f.Queue.waiting[0].cost
	f.Queue.remove(0)
	p.Serve(f, cost, weight)
}

// level holds the waiting requests of one priority.
type level struct {
	places [places]place
	count  int
	work   time.Duration
}

func (l *level) push(e *entry) {
	l.places[placeOf(&e.Request)].push(e)
	l.count++
	l.work += e.cost
}

// head returns the place and the flow to be served next, or nil if none can be.
func (l *level) head(opensAllowed bool) (*place, *flow) {
	for i := range l.places {
		if f := l.places[i].head(opensAllowed); f != nil {
			return &l.places[i], f
		}
	}
	return nil, nil
}

// removed updates the sums after a request was removed from the level.
func (l *level) removed(e *entry) {
	l.count--
	l.work -= e.cost
}

// removeIf removes the waiting requests that match and calls taken for each.
func (l *level) removeIf(match func(*entry) bool, taken func(*entry)) {
	for i := range l.places {
		for _, f := range l.places[i].All() {
			for j := len(f.Queue.waiting) - 1; j >= 0; j-- {
				e := f.Queue.waiting[j]
				if match(e) {
					f.Queue.remove(j)
					l.removed(e)
					taken(e)
				}
			}
		}
	}
}

// each calls visit for each waiting request.
func (l *level) each(visit func(*entry)) {
	for i := range l.places {
		for _, f := range l.places[i].All() {
			for _, e := range f.Queue.waiting {
				visit(e)
			}
		}
	}
}

// youngest returns the member's latest arrival, or nil. It leaves out requests of
// open transactions, because refusing them would only keep their connections held.
func (l *level) youngest(member string) *entry {
	var last *entry
	for i := placeNew; i < places; i++ {
		for _, f := range l.places[i].All() {
			if member != anyMember && f.Key.member != member {
				continue
			}
			if n := f.Queue.Len(); n > 0 && (last == nil || f.Queue.waiting[n-1].sequence > last.sequence) {
				last = f.Queue.waiting[n-1]
			}
		}
	}
	return last
}
