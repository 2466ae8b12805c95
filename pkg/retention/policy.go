// Package retention decides which idle connections to a target a holder keeps, and which it opens. A connection belongs
// to one customer, and opening one takes a slot of the target for about as long as a short statement, so the connections
// of the customers that need them most often are kept.
//
// It does no I/O and reads no clock. Its types are not safe for concurrent use.
package retention

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// MaxIdle is how long a connection may be idle, whatever its value.
	MaxIdle = 15 * time.Second
	// recentlyUsed is how long a connection counts as busy after it was used, while few connections are open.
	recentlyUsed = 250 * time.Millisecond
	// reducedFor is how long fewer idle connections are kept after the target had no connection left: as long as the
	// connections of a VM that lost power count at the target.
	reducedFor = 3 * time.Second
	// reducedDivisor divides the number of idle connections during that time.
	reducedDivisor = 2
	// aheadWithin is the time within which a connection that is opened ahead of need must be expected to be used.
	aheadWithin = time.Second
	// maxOpenDelay bounds OpenDelay: opening takes long at a target that is overloaded, and a connection that has been
	// busy for longer than most statements take may be so for much longer.
	maxOpenDelay = 20 * time.Millisecond
	// costWeight is the weight of a new measurement of the cost in its moving average.
	costWeight = 0.1
)

// Reason is why a connection was closed.
type Reason string

// The reasons for which connections are closed.
const (
	// Idle means that it was idle for too long, or that idle connections of greater value are kept.
	Idle Reason = "idle"
	// Room means that another customer's request needed its place.
	Room Reason = "room"
	// Starved means that another VM got fewer connections than its share.
	Starved Reason = "starved"
	// Refused means that the target had no connection left.
	Refused Reason = "refused"
	// Revoked means that no key opens sessions of its customer any more.
	Revoked Reason = "revoked"
	// Ended means that it broke, or that its target is gone.
	Ended Reason = "ended"
)

// Connection is an idle connection.
type Connection struct {
	// Customer is the customer whose requests it serves, or empty if it serves none.
	Customer topology.CustomerID
	// Since is when it became idle.
	Since mono.Time
	// Revoked is set if no key opens sessions of the customer any more.
	Revoked bool
}

// State is the state of a holder's connections to the target.
type State struct {
	Idle []Connection
	// Open counts the connections of each customer: idle ones, busy ones and those that are being opened.
	Open map[topology.CustomerID]int
}

// total returns the number of all connections.
func (s *State) total() int {
	n := 0
	for _, open := range s.Open {
		n += open
	}
	return n
}

// Closing is an idle connection that is to be closed, as an index of State.Idle.
type Closing struct {
	Index  int
	Reason Reason
}

// Policy decides about a holder's connections to one target.
type Policy struct {
	// Places is the greatest number of connections, and IdlePlaces that of idle ones.
	Places, IdlePlaces int
	// Share is the number of open connections up to which those that were used recently are kept beyond IdlePlaces, as a
	// holder without a policy does.
	Share int

	demand demand
	// cost is the moving average of the time that opening a connection takes.
	cost time.Duration
	// reducedUntil is until when fewer idle connections are kept.
	reducedUntil mono.Time
}

// Use records that a request of a customer needs a connection while the given number of its connections is busy.
func (p *Policy) Use(customer topology.CustomerID, busy int, now mono.Time) {
	p.demand.record(customer, busy, now)
}

// Opened records how long opening a connection took.
func (p *Policy) Opened(took time.Duration) {
	if p.cost == 0 {
		p.cost = took
		return
	}
	p.cost += time.Duration(costWeight * float64(took-p.cost))
}

// Refused records that the target had no connection left.
func (p *Policy) Refused(now mono.Time) { p.reducedUntil = now.Add(reducedFor) }

func (p *Policy) reduced(now mono.Time) bool { return now.Before(p.reducedUntil) }

// idleLimit returns the greatest number of idle connections to keep now.
func (p *Policy) idleLimit(now mono.Time) int {
	limit := p.IdlePlaces
	if p.reduced(now) {
		limit /= reducedDivisor
	}
	return max(limit, 1)
}

// idleAllowed returns how many of the idle connections may be kept.
func (p *Policy) idleAllowed(s *State, now mono.Time) int {
	limit := p.idleLimit(now)
	if p.reduced(now) {
		return limit
	}
	recent := 0
	for _, c := range s.Idle {
		if now.Sub(c.Since) <= recentlyUsed {
			recent++
		}
	}
	busy := s.total() - len(s.Idle)
	return max(limit, min(limit+recent, p.Share-busy))
}

// OpenDelay returns how long a request whose customer has busy connections waits for one of them before another is
// opened. Waiting for as long as opening takes costs at most twice the better of the two.
func (p *Policy) OpenDelay() time.Duration { return min(p.cost, maxOpenDelay) }

// Surplus returns the idle connections to close now: those that are of no use any more, and those of the lowest value
// beyond the greatest number of idle connections.
func (p *Policy) Surplus(s State, now mono.Time) []Closing {
	var closings []Closing
	for i, c := range s.Idle {
		switch {
		case c.Revoked:
			closings = append(closings, Closing{i, Revoked})
		case now.Sub(c.Since) > MaxIdle:
			closings = append(closings, Closing{i, Idle})
		}
	}
	reason := Idle
	if p.reduced(now) {
		reason = Refused
	}
	for _, i := range p.lowest(s, len(s.Idle)-len(closings)-p.idleAllowed(&s, now), closings, now) {
		closings = append(closings, Closing{i, reason})
	}
	return closings
}

// Lowest returns the indices of the n idle connections of the lowest value, or of all if there are fewer.
func (p *Policy) Lowest(s State, n int, now mono.Time) []int { return p.lowest(s, n, nil, now) }

// lowest is Lowest without the connections that are to be closed already. The value of a connection is the rate at which
// its customer needs it: the time for which it could be kept and the cost of another are the same for all.
func (p *Policy) lowest(s State, n int, closings []Closing, now mono.Time) []int {
	open := maps.Clone(s.Open)
	left := make([]int, 0, len(s.Idle))
	for i, c := range s.Idle {
		if slices.ContainsFunc(closings, func(x Closing) bool { return x.Index == i }) {
			open[c.Customer]--
			continue
		}
		left = append(left, i)
	}
	var chosen []int
	for len(chosen) < n && len(left) > 0 {
		at := p.leastValuable(s, left, open, now)
		open[s.Idle[left[at]].Customer]--
		chosen = append(chosen, left[at])
		left = slices.Delete(left, at, at+1)
	}
	return chosen
}

// leastValuable returns the position in left of the connection of the lowest value. Among equals it is the one that has
// been idle for the longest time.
func (p *Policy) leastValuable(s State, left []int, open map[topology.CustomerID]int, now mono.Time) int {
	best, lowest := 0, 0.0
	for at, i := range left {
		c := s.Idle[i]
		value := p.demand.rate(c.Customer, open[c.Customer], now)
		if at == 0 || value < lowest || value == lowest && c.Since < s.Idle[left[best]].Since {
			best, lowest = at, value
		}
	}
	return best
}

// Ahead returns the customer for which to open a connection ahead of need, and false if there is none. It is the one
// with the highest demand among those without a connection, if a request is expected soon. There must be so few
// connections that all could be idle: otherwise the new one would be closed as soon as others become idle.
func (p *Policy) Ahead(s State, now mono.Time) (topology.CustomerID, bool) {
	if p.reduced(now) || s.total() >= p.idleLimit(now) {
		return "", false
	}
	least := 1 / aheadWithin.Seconds()
	customer, rate := p.demand.highest(func(id topology.CustomerID) bool { return s.Open[id] == 0 }, now)
	return customer, rate >= least
}
