package admission

import (
	"time"

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

// flow is the FIFO queue of one flowKey at one place.
type flow struct {
	key     flowKey
	waiting []*entry
	// start is the virtual start time of the first waiting request.
	start float64
	work  time.Duration
}

// place holds the flows of one place of a priority and shares it among members by
// start-time fair queueing: the flow with the earliest start is served next, and
// each request advances its flow's start by cost divided by weight.
type place struct {
	flows   []*flow
	virtual float64
}

func (p *place) flow(key flowKey) *flow {
	for _, f := range p.flows {
		if f.key == key {
			return f
		}
	}
	f := &flow{key: key}
	p.flows = append(p.flows, f)
	return f
}

func (p *place) push(e *entry) {
	f := p.flow(flowKey{e.Member, e.Opens})
	if len(f.waiting) == 0 {
		// A flow gets no credit for the time that it was idle.
		f.start = max(f.start, p.virtual)
	}
	f.waiting = append(f.waiting, e)
	f.work += e.cost
}

// head returns the flow to be served next, or nil if none can be.
func (p *place) head(opensAllowed bool) *flow {
	var best *flow
	for _, f := range p.flows {
		if len(f.waiting) == 0 || f.key.opens && !opensAllowed {
			continue
		}
		if best == nil || f.start < best.start {
			best = f
		}
	}
	return best
}

// pop removes the first request of the flow and advances the virtual time.
func (p *place) pop(f *flow, weight float64) {
	cost := f.waiting[0].cost
	f.remove(0)
	p.virtual = f.start
	f.start += cost.Seconds() / weight
	p.dropIdle()
}

// dropIdle drops idle flows whose start is not ahead of the virtual time, so that
// flows of members that send no more requests don't accumulate.
func (p *place) dropIdle() {
	kept := p.flows[:0]
	for _, f := range p.flows {
		if len(f.waiting) > 0 || f.start > p.virtual {
			kept = append(kept, f)
		}
	}
	clear(p.flows[len(kept):])
	p.flows = kept
}

func (f *flow) remove(i int) {
	f.work -= f.waiting[i].cost
	copy(f.waiting[i:], f.waiting[i+1:])
	f.waiting[len(f.waiting)-1] = nil
	f.waiting = f.waiting[:len(f.waiting)-1]
}

// level holds the waiting requests of one priority.
type level struct {
	places [places]place
	count  int
	work   time.Duration
	// credit is the slot time that the level has earned while requests of other
	// levels ran.
	credit time.Duration
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
	if l.count == 0 {
		l.credit = 0
	}
}

// removeIf removes the waiting requests that match and calls taken for each.
func (l *level) removeIf(match func(*entry) bool, taken func(*entry)) {
	for i := range l.places {
		for _, f := range l.places[i].flows {
			for j := len(f.waiting) - 1; j >= 0; j-- {
				e := f.waiting[j]
				if match(e) {
					f.remove(j)
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
		for _, f := range l.places[i].flows {
			for _, e := range f.waiting {
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
		for _, f := range l.places[i].flows {
			if member != anyMember && f.key.member != member {
				continue
			}
			if n := len(f.waiting); n > 0 && (last == nil || f.waiting[n-1].sequence > last.sequence) {
				last = f.waiting[n-1]
			}
		}
	}
	return last
}
