package target

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// lane names what a connection serves. A target is told the customer as a connection opens, so a direct
// one serves that customer alone; one through another VM serves all customers whose connections that VM
// holds. Where no customers are declared all connections are of one lane.
type lane string

// switchAfter is how long a request waits at most while connections are handed to later requests of
// their own lanes. Opening one takes a slot of the target about as long as a short statement, so
// changing lanes with each request would cost the most when slots are scarce.
const switchAfter = 20 * time.Millisecond

// laneOf returns the lane of a customer's requests.
func (p *Pool) laneOf(customer topology.CustomerID) lane {
	if customer == "" {
		return ""
	}
	if p.indirect {
		return lane(p.holderOf(customer))
	}
	return lane(customer)
}

// anyHolder is for a pool whose connections are not told apart by customer.
func anyHolder(topology.CustomerID) topology.VMID { return "" }

// serves reports whether a link may run a request.
//
// The kind of the link counts, not that of the pool: a VM may become a holder while it connects.
func (p *Pool) serves(l *Link, r *waitlist.Request) bool {
	switch {
	case r.Anyone:
		return true
	case l.shared:
		return l.lane == p.laneOf(r.Customer)
	}
	return l.customer == r.Customer
}

// missing returns the requests that wait for connections of a lane beyond those that are being opened, one
// for each connection.
func (p *Pool) missing() []waitlist.Request {
	opening := make(map[lane]int, len(p.dialing))
	for l, n := range p.dialing {
		opening[l] = n
	}
	var all []waitlist.Request
	p.waiting.Each(func(r *waitlist.Request) {
		l := p.laneOf(r.Customer)
		if opening[l] > 0 {
			opening[l]--
			return
		}
		all = append(all, *r)
	})
	slices.SortStableFunc(all, func(a, b waitlist.Request) int { return a.Priority - b.Priority })
	return all
}

// opening counts the connections that are being opened.
func (p *Pool) opening() int {
	n := 0
	for _, k := range p.dialing {
		n += k
	}
	return n
}

// room reports whether a further connection may be opened. An unused one of another lane gives its place
// up, the one that was used longest ago first.
func (p *Pool) room() bool {
	if len(p.links)+p.opening() < p.bound() {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.drop(p.idle[0])
	p.idle = p.idle[1:]
	return true
}

// gives reports whether a link that was just freed gives its place up for a request of another lane: the
// one whose turn it is has waited for long, and no connection is being opened for it.
func (p *Pool) gives(l *Link, now mono.Time) bool {
	if len(p.links)+p.opening() < p.bound() {
		return false
	}
	w := p.waiting.Peek(now, p.health.latency)
	if w == nil || p.serves(l, &w.Request) || now.Sub(w.Since) < switchAfter {
		return false
	}
	return p.dialing[p.laneOf(w.Customer)] == 0
}
