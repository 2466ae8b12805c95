package target

import (
	"errors"
	"os"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/retention"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// closingsLogInterval is the shortest time between two log lines about closed connections to the same target.
const closingsLogInterval = time.Second

// retained is the state of a pool whose connections are retained by demand.
type retained struct {
	policy retention.Policy
	// delayed holds the customers whose waiting requests may still get one of the customer's busy connections before
	// another is opened for them.
	delayed map[topology.CustomerID]bool
	// closings counts the connections closed since loggedAt, by reason.
	closings map[retention.Reason]int
	loggedAt mono.Time
}

// setRetention starts or ends the retention of connections by demand.
func (p *Pool) setRetention(s Share) {
	if s.Places == 0 || s.Indirect {
		p.retention = nil
		return
	}
	if p.retention == nil {
		p.retention = &retained{delayed: map[topology.CustomerID]bool{}, closings: map[retention.Reason]int{}}
	}
	policy := &p.retention.policy
	policy.Places, policy.IdlePlaces, policy.Share = s.Places, s.IdlePlaces, s.Connections
}

// granted returns the number of connections that requests hold.
func (p *Pool) granted() int { return len(p.links) - len(p.idle) }

// grantLimit returns how many connections requests may hold at once where connections are retained by demand, so that
// more are open than may be used.
func (p *Pool) grantLimit() int { return p.shareLimit() }

// grantable returns how many of the open connections requests can hold at once.
func (p *Pool) grantable() int {
	if p.retention == nil || p.slots != nil {
		return len(p.links)
	}
	return min(len(p.links), p.grantLimit())
}

// releaseRetained takes back a link from a request.
func (p *Pool) releaseRetained(l *Link, now mono.Time) {
	l.releasedAt = now
	p.idle = append(p.idle, l)
	if now.Before(p.shareLimitUntil) {
		p.closeBeyondShare()
	}
	p.openOverdue(now)
	p.grow()
	p.closeSurplus(now)
}

// openOverdue opens a connection for the next request in turn if it has waited for switchAfter while connections of
// other customers were given to later requests. Unlike mustReplace it closes the least valuable connection, and only if
// all places are taken.
func (p *Pool) openOverdue(now mono.Time) {
	if p.slots != nil {
		return // See dialForFirst.
	}
	w := p.waiting.Peek(now, p.health.latency)
	if w == nil || now.Sub(w.Since) < switchAfter || now.Before(p.noDialUntil) || p.dialing[p.subpoolOf(w.Customer)] > 0 {
		return
	}
	if p.idleLinkFor(&w.Request) < 0 && p.makeRoom() {
		p.startDial(w.Customer)
	}
}

// customerOf returns the customer whose requests a link serves. A link to a holder that remains from when the pool was
// indirect serves none; the holder's name stands for it, so that it has no value.
func customerOf(l *Link) topology.CustomerID {
	if l.indirect {
		return topology.CustomerID(l.subpool)
	}
	return l.customer
}

// retentionState returns the policy's view of the connections, and the links of State.Idle. An idle link for which a
// request of its customer waits counts as busy: closed, it would have to be opened again at once. While another VM is
// short of connections it is idle all the same.
func (p *Pool) retentionState() (retention.State, []*Link) {
	wanted := map[topology.CustomerID]bool{}
	if !p.clock.Now().Before(p.shareLimitUntil) {
		p.waiting.Each(func(r *waitlist.Request) { wanted[r.Customer] = wanted[r.Customer] || !r.Anyone })
	}
	var idle []*Link
	s := retention.State{Open: map[topology.CustomerID]int{}}
	for l := range p.links {
		s.Open[customerOf(l)]++
	}
	for customer, n := range p.dialing {
		s.Open[topology.CustomerID(customer)] += n
	}
	for _, l := range p.idle {
		customer := customerOf(l)
		if wanted[customer] {
			continue
		}
		idle = append(idle, l)
		s.Idle = append(s.Idle, retention.Connection{
			Customer: customer, Since: l.releasedAt, Revoked: !l.indirect && !p.permitted(customer),
		})
	}
	return s, idle
}

// permitted reports whether a customer may still have sessions. Those of open classes have no customer.
func (p *Pool) permitted(customer topology.CustomerID) bool {
	return customer == "" || p.hasKey(customer)
}

// dropLeastValuable closes the idle connection that is worth least, or without retention the least recently used one. It
// reports whether there was one to close.
func (p *Pool) dropLeastValuable(reason retention.Reason) bool {
	if len(p.idle) == 0 {
		return false
	}
	if p.retention == nil {
		p.dropIdle(p.idle[0], reason)
		return true
	}
	s, idle := p.retentionState()
	lowest := p.retention.policy.Lowest(s, 1, p.clock.Now())
	for _, i := range lowest {
		p.dropIdle(idle[i], reason)
	}
	return len(lowest) > 0
}

// dropIdle closes an idle connection.
func (p *Pool) dropIdle(l *Link, reason retention.Reason) {
	p.idle = slices.DeleteFunc(p.idle, func(other *Link) bool { return other == l })
	p.drop(l, reason)
}

// closeUnretained closes the idle connections that the policy doesn't retain.
func (p *Pool) closeUnretained(now mono.Time) {
	if p.retention == nil {
		return
	}
	p.logClosings(now)
	if len(p.idle) == 0 {
		return
	}
	s, idle := p.retentionState()
	for _, c := range p.retention.policy.Surplus(s, now) {
		if len(p.links) > 1 || c.Reason == retention.Revoked {
			p.dropIdle(idle[c.Index], c.Reason)
		}
	}
}

// logClosings logs the connections that were closed for other reasons than the usual changes of demand.
func (p *Pool) logClosings(now mono.Time) {
	r := p.retention
	if len(r.closings) == 0 || now.Sub(r.loggedAt) < closingsLogInterval {
		return
	}
	p.log.Info("event=idle_connections_closed", "target", p.target.ID, "refused", r.closings[retention.Refused],
		"starved", r.closings[retention.Starved], "revoked", r.closings[retention.Revoked], "open", len(p.links))
	clear(r.closings)
	r.loggedAt = now
}

// openAhead opens a connection for a customer that has none and will probably need one soon.
func (p *Pool) openAhead(now mono.Time) {
	if p.retention == nil || p.closed || p.waiting.Len() > 0 || p.health.failing() || now.Before(max(p.noDialUntil, p.shareLimitUntil)) ||
		p.drainEnded(now) || !p.mayGrant(&waitlist.Request{}) {
		return
	}
	s, _ := p.retentionState()
	customer, ok := p.retention.policy.Ahead(s, now)
	if ok && p.permitted(customer) {
		p.startDial(customer)
	}
}

// busyOf returns how many of a customer's connections are held by requests, and how many of them will be free after
// the running statement, since no transaction is open on them.
func (p *Pool) busyOf(customer topology.CustomerID) (busy, soonFree int) {
	for l := range p.links {
		if customerOf(l) != customer || slices.Contains(p.idle, l) {
			continue
		}
		busy++
		if !l.inTransaction {
			soonFree++
		}
	}
	return busy, soonFree
}

// noteUse records that a request needs a connection.
func (p *Pool) noteUse(r *waitlist.Request) {
	if p.retention == nil || r.Anyone {
		return
	}
	busy, _ := p.busyOf(r.Customer)
	p.retention.policy.Use(r.Customer, busy, p.clock.Now())
}

// delayOpening lets a request wait for a busy connection of its customer before another is opened.
func (p *Pool) delayOpening(r *waitlist.Request) {
	rt := p.retention
	if rt == nil || r.Anyone || rt.delayed[r.Customer] {
		return
	}
	delay := rt.policy.OpenDelay()
	if _, soonFree := p.busyOf(r.Customer); soonFree == 0 || delay == 0 {
		return
	}
	rt.delayed[r.Customer] = true
	customer := r.Customer
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(rt.delayed, customer)
		p.grow()
	})
}

// openingDelayed reports whether the request waits for a busy connection of its customer.
func (p *Pool) openingDelayed(r *waitlist.Request) bool {
	return p.retention != nil && !r.Anyone && p.retention.delayed[r.Customer]
}

// noteOpened records a connection that was opened.
func (p *Pool) noteOpened(l *Link, took time.Duration) {
	if l.indirect {
		return
	}
	p.metrics.Opened(string(p.target.ID), len(p.links))
	if p.retention != nil {
		p.retention.policy.Opened(took)
	}
}

// noteGranted records that a request is given a connection.
func (p *Pool) noteGranted(l *Link) {
	if l.used && !l.indirect {
		p.metrics.Reused(string(p.target.ID))
	}
	l.used = true
}

// noteClosed records a connection that was closed.
func (p *Pool) noteClosed(l *Link, reason retention.Reason) {
	if l.indirect {
		return
	}
	p.metrics.Closed(string(p.target.ID), string(reason), len(p.links))
	if p.retention == nil {
		return
	}
	switch reason {
	case retention.Refused, retention.Starved, retention.Revoked:
		p.retention.closings[reason]++
	default:
	}
}

// closeIdleAfterLoss closes the idle connections after another to the same target was lost. The target or the path to it
// has probably failed, and each idle connection would otherwise fail a request. An answer that is late shows only load.
func (p *Pool) closeIdleAfterLoss(err error) {
	if p.retention == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	for len(p.idle) > 0 {
		p.dropIdle(p.idle[0], retention.Ended)
	}
}

// noteRefused records that the target had no connection left, and closes idle connections.
func (p *Pool) noteRefused(now mono.Time) {
	if p.retention == nil {
		return
	}
	p.retention.policy.Refused(now)
	p.closeSurplus(now)
}
