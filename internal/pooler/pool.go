package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Time limits of a target's connections.
const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// verifyAfter is the idle time after which a connection is verified before it is
	// used. A write sent on a connection that no longer works would have an unknown
	// outcome; the check costs a round trip, and only after an idle period.
	verifyAfter = 250 * time.Millisecond
	// verifyTimeout bounds that check; after it a new connection is opened.
	verifyTimeout = 200 * time.Millisecond
	// idleClose is the idle time after which a connection is closed.
	idleClose = 30 * time.Second
)

// txKey identifies a transaction by its entry, the entry's incarnation and the hop
// that opened the transaction. A session id would not be enough: an attempt that its
// entry has abandoned may open its transaction late, and would replace the one that
// the retry opened.
type txKey struct {
	entry       string
	incarnation uint64
	hop         uint64
}

// heldConn is a connection that an open transaction owns.
type heldConn struct {
	conn      *conn
	busy      bool // a request is using it
	abandoned bool // abandoned while busy; the request in progress discards the connection
	since     time.Time
}

// pool owns the connections to one target. Every connection that serves requests
// is opened by it.
type pool struct {
	target topology.Target
	dialer Dialer
	limit  int

	mu       sync.Mutex
	idle     []*conn
	open     int
	held     map[txKey]*heldConn
	position position.Position // newest position that the target reported
}

func newPool(t topology.Target, d Dialer, limit int) *pool {
	return &pool{
		target: t,
		dialer: d,
		limit:  limit,
		held:   map[txKey]*heldConn{},
	}
}

// acquire returns a verified connection, preferably one that is already bound as
// wanted. When it fails, nothing of the request has been sent. It does not wait for a
// connection: the request holds a slot, and the open transactions that hold all
// connections may need that slot to end.
func (p *pool) acquire(ctx context.Context, want connSettings) (*conn, *result.Error) {
	for {
		c, mayOpen := p.takeOrReserve(want)
		switch {
		case c == nil && !mayOpen:
			return nil, result.New(result.ConnectionsInUse, "%s", p.target.ID).After(verifyAfter)
		case c == nil:
			return p.connect(ctx)
		case p.usable(ctx, c):
			return c, nil
		}
		p.discard(c)
	}
}

// takeOrReserve returns an idle connection if there is one. Otherwise mayOpen reports
// whether a new one may be opened, which is then already counted as open.
func (p *pool) takeOrReserve(want connSettings) (c *conn, mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		best := n - 1
		for i := n - 1; i >= 0; i-- {
			if p.idle[i].settings == want {
				best = i
				break
			}
		}
		c := p.idle[best]
		p.idle = append(p.idle[:best], p.idle[best+1:]...)
		return c, false
	}
	if p.open >= p.limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// usable prepares an idle connection for its next request and reports whether it
// can be used.
func (p *pool) usable(ctx context.Context, c *conn) bool {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	switch {
	case c.altered:
		return c.resetSession(ctx) == nil
	case time.Since(c.lastUsed) < verifyAfter:
		return true
	}
	return c.verify(ctx) == nil
}

// connect opens the connection that takeOrReserve has counted as open.
func (p *pool) connect(ctx context.Context) (*conn, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := dial(ctx, p.dialer, p.target.Address, nil)
	if err != nil {
		p.decrementOpen()
		return nil, connectResult(p.target.ID, err)
	}
	return c, nil
}

// sqlTooManyConnections is the SQLSTATE of a server that accepts no more connections.
const sqlTooManyConnections = "53300"

func connectResult(id topology.TargetID, err error) *result.Error {
	var refused *targetError
	if errors.As(err, &refused) && refused.state == sqlTooManyConnections {
		return result.New(result.ConnectionsInUse, "%s", id).After(verifyAfter)
	}
	return result.New(result.TargetUnreachable, "%s: %v", id, err).After(verifyAfter)
}

// release returns a working connection to the pool.
func (p *pool) release(c *conn) {
	if c.tainted {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advancePosition(c.position)
	p.idle = append(p.idle, c)
}

// discard closes a connection that can't be reused, because a late answer on it would
// reach the wrong caller.
func (p *pool) discard(c *conn) {
	c.close()
	p.decrementOpen()
}

func (p *pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) advancePosition(at position.Position) {
	p.position = position.Max(p.position, at)
}

func (p *pool) newestPosition() position.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position
}

// claim reserves the connection of an open transaction for one request.
func (p *pool) claim(key txKey) (*heldConn, *result.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.held[key]
	if h == nil {
		return nil, result.New(result.TransactionAborted, "the transaction is not open at %s any more", p.target.ID)
	}
	if h.busy {
		return nil, result.New(result.TransactionAborted, "another request of the transaction is under way")
	}
	h.busy = true
	return h, nil
}

// hold keeps the connection for the transaction that its request opened.
func (p *pool) hold(key txKey, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advancePosition(c.position)
	p.held[key] = &heldConn{conn: c, since: time.Now()}
}

func (p *pool) openTransactions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// drop removes the transaction; the caller keeps its connection.
func (p *pool) drop(key txKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, key)
}

// abandon ends a transaction whose session has ended, by closing its connection, which
// rolls the transaction back at the target. If a request is using the connection, that
// request discards it: discarding it twice would let the pool open one connection too
// many.
func (p *pool) abandon(key txKey) {
	if h := p.removeHeld(key); h != nil {
		p.discard(h.conn)
	}
}

// removeHeld removes an idle transaction and returns it with its connection. If a
// request is using the connection, removeHeld returns nil and only closes the
// connection, which ends the request with an error.
func (p *pool) removeHeld(key txKey) *heldConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.held[key]
	if h == nil {
		return nil
	}
	if h.busy {
		h.abandoned = true
		h.conn.close()
		return nil
	}
	delete(p.held, key)
	return h
}

// sweep closes transactions idle for longer than txIdle and connections idle
// for longer than idleClose.
func (p *pool) sweep(now time.Time, txIdle time.Duration) {
	for _, key := range p.idleTransactions(now, txIdle) {
		p.abandon(key)
	}
	p.mu.Lock()
	var keep, stale []*conn
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) > idleClose {
			stale = append(stale, c)
			continue
		}
		keep = append(keep, c)
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range stale {
		p.discard(c)
	}
}

func (p *pool) idleTransactions(now time.Time, txIdle time.Duration) []txKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []txKey
	for key, h := range p.held {
		if !h.busy && now.Sub(h.since) > txIdle {
			keys = append(keys, key)
		}
	}
	return keys
}

// closeAll closes every connection that no request or transaction is using.
func (p *pool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
