package target

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/retention"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// subpool identifies the connections of a pool that serve the same requests. The customer is sent to the target
// when a connection is opened, so a direct connection serves that customer alone, and the subpool is named by
// the customer. A connection through another VM serves all customers whose connections that VM holds, and the
// subpool is named by the VM. Where no customers are declared, all connections belong to one subpool.
type subpool string

// switchAfter is how long a request may wait while connections are assigned to later requests of their own
// subpools. Opening a connection takes a slot of the target for about as long as a short statement, so
// replacing connections for each request would cost most when slots are scarce.
const switchAfter = 20 * time.Millisecond

// subpoolOf returns the subpool of a customer's requests.
func (p *Pool) subpoolOf(customer topology.CustomerID) subpool {
	if customer == "" {
		return ""
	}
	if p.indirect {
		return subpool(p.holderOf(customer))
	}
	return subpool(customer)
}

// noHolder is the holderOf of a pool whose connections serve all customers alike.
func noHolder(topology.CustomerID) topology.VMID { return "" }

// serves reports whether a link may run a request.
//
// Whether the link itself is direct decides, not whether the pool is: a VM may become a holder while it
// opens a connection.
func (p *Pool) serves(l *Link, r *waitlist.Request) bool {
	switch {
	case r.Anyone:
		return true
	case l.indirect:
		return l.subpool == p.subpoolOf(r.Customer)
	}
	return l.customer == r.Customer
}

// requestsWithoutDial returns the waiting requests, by priority, for which a connection of their subpool has yet to be
// opened.
func (p *Pool) requestsWithoutDial() []waitlist.Request {
	dials := make(map[subpool]int, len(p.dialing))
	for s, n := range p.dialing {
		dials[s] = n
	}
	var all []waitlist.Request
	p.waiting.Each(func(r *waitlist.Request) {
		s := p.subpoolOf(r.Customer)
		if dials[s] > 0 {
			dials[s]--
			return
		}
		if p.openingDelayed(r) {
			return
		}
		all = append(all, *r)
	})
	if p.fair.enabled {
		return all // They are in fair order.
	}
	slices.SortStableFunc(all, func(a, b waitlist.Request) int { return a.Priority - b.Priority })
	return all
}

// dialCount returns the number of connections that are being opened.
func (p *Pool) dialCount() int {
	n := 0
	for _, k := range p.dialing {
		n += k
	}
	return n
}

// makeRoom reports whether another connection may be opened. At the limit it closes an idle connection, if there is one,
// to make room: the least recently used one, unless connections are retained by demand.
func (p *Pool) makeRoom() bool {
	if p.retention != nil && p.slots == nil && p.granted()+p.dialCount() >= p.grantLimit() {
		return false
	}
	if len(p.links)+p.dialCount() < p.connectionLimit() {
		return true
	}
	return p.dropLeastValuable(retention.Room)
}

// mustReplace reports whether a link that was just released has to be closed for a request of another subpool:
// the next request in turn has waited for switchAfter, and no connection is being opened for its subpool.
func (p *Pool) mustReplace(l *Link, now mono.Time) bool {
	if len(p.links)+p.dialCount() < p.connectionLimit() {
		return false
	}
	w := p.waiting.Peek(now, p.health.latency)
	if w == nil || p.serves(l, &w.Request) || now.Sub(w.Since) < switchAfter {
		return false
	}
	return p.dialing[p.subpoolOf(w.Customer)] == 0
}
