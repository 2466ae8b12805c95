package target

import "github.com/buckthornshore/buckthornshore/pkg/waitlist"

// grantsInTurn reports whether a free link stays idle until a request may be given one. Otherwise no request waits
// while a link that serves it is idle.
func (p *Pool) grantsInTurn(l *Link) bool {
	return p.retention != nil || p.slots != nil && !l.indirect
}

// mayGrant reports whether a request may be given an idle link now. If the statements in flight are limited, more
// connections may be open than are used; if connections are only retained by demand, the requests that hold one are.
func (p *Pool) mayGrant(r *waitlist.Request) bool {
	switch {
	case p.slots != nil:
		return r.Anyone || p.slotFree()
	case p.retention != nil:
		return p.granted() < p.grantLimit()
	}
	return true
}

// grantInTurn gives idle links to waiting requests, and has refused statements sent again, as far as the limits allow.
func (p *Pool) grantInTurn() {
	switch {
	case p.slots == nil && p.retention == nil:
		return
	case p.closed:
		p.resumeAll()
		return
	}
	for p.resumeFirst() || p.grantFirst() {
	}
	p.observeSlots()
}

// grantFirst gives an idle link to the first waiting request that may have one, and reports whether there was one.
func (p *Pool) grantFirst() bool {
	if p.waiting.Len() == 0 || len(p.idle) == 0 {
		return false
	}
	now := p.clock.Now()
	p.dialForFirst(now)
	free := p.mayGrant(&waitlist.Request{})
	eligible := func(r *waitlist.Request) bool {
		return (free || r.Anyone && p.mayGrant(r)) && p.idleLinkFor(r) >= 0
	}
	w := p.waiting.NextOf(eligible, now, p.health.latency)
	if w == nil {
		return false
	}
	i := p.idleLinkFor(&w.Request)
	l := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	l.assignTo(w.Request, now, now.Sub(w.Since))
	p.noteGrant(&w.Request, l.waited)
	w.Value <- grant{link: l}
	return true
}
