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

// Times of a target's connections.
const (
	// connectTimeout of a new connection.
	connectTimeout = time.Second
	// verifyAfter: a connection idle for longer is verified before it is used.
	// One that has gone silent would turn the write sent on it into an unknown
	// outcome; the check costs a round trip, and only after a quiet spell.
	verifyAfter = 250 * time.Millisecond
	// verifyTimeout of that check; a new connection is opened after it.
	verifyTimeout = 200 * time.Millisecond
	// idleClose: connections idle for longer are closed.
	idleClose = 30 * time.Second
)

// txKey names a transaction: by the hop that opened it, at one start of its entry.
// A session's number would not do: an attempt that its entry gave up may open its
// transaction late, and would take the place of the one that the retry opened.
type txKey struct {
	entry       string
	incarnation uint64
	hop         uint64
}

// heldConn is a connection that an open transaction owns.
type heldConn struct {
	conn  *conn
	busy  bool // a request is using it
	gone  bool // abandoned while busy; its request discards the connection
	since time.Time
}

// pool owns the connections of one target: nothing else opens any for requests.
type pool struct {
	target topology.Target
	dialer Dialer
	limit  int

	mu       sync.Mutex
	idle     []*conn
	open     int
	held     map[txKey]*heldConn
	position position.Position // newest that the target reported
}

func newPool(t topology.Target, d Dialer, limit int) *pool {
	return &pool{
		target: t,
		dialer: d,
		limit:  limit,
		held:   map[txKey]*heldConn{},
	}
}

// acquire returns a verified connection, preferably one bound as wanted.
// Nothing has been sent for the request when it fails: not run. It does not wait
// for a connection: the request holds a slot, and open transactions that hold
// all connections need that slot to end.
func (p *pool) acquire(ctx context.Context, want connSettings) (*conn, *result.Error) {
	for {
		c, mayOpen := p.take(want)
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

// take returns an idle connection; or none, and whether a new one may be opened,
// whose place is then reserved.
func (p *pool) take(want connSettings) (c *conn, mayOpen bool) {
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

// usable prepares an idle connection for its next request.
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

// connect opens the connection whose place take reserved.
func (p *pool) connect(ctx context.Context) (*conn, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := dial(ctx, p.dialer, p.target.Address, nil)
	if err != nil {
		p.freePlace()
		return nil, connectResult(p.target.ID, err)
	}
	return c, nil
}

// sqlTooManyConnections is PostgreSQL's state for a full target.
const sqlTooManyConnections = "53300"

func connectResult(id topology.TargetID, err error) *result.Error {
	var refused *targetError
	if errors.As(err, &refused) && refused.state == sqlTooManyConnections {
		return result.New(result.ConnectionsInUse, "%s", id).After(verifyAfter)
	}
	return result.New(result.TargetUnreachable, "%s: %v", id, err).After(verifyAfter)
}

// release gives a healthy connection back.
func (p *pool) release(c *conn) {
	if c.tainted {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notePosition(c.position)
	p.idle = append(p.idle, c)
}

// discard closes a connection that can't be trusted any more: an answer that
// still comes on it would reach the wrong caller.
func (p *pool) discard(c *conn) {
	c.close()
	p.freePlace()
}

func (p *pool) freePlace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) notePosition(at position.Position) {
	p.position = position.Max(p.position, at)
}

func (p *pool) newestPosition() position.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position
}

// claim takes the connection of an open transaction for one request.
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
	p.notePosition(c.position)
	p.held[key] = &heldConn{conn: c, since: time.Now()}
}

func (p *pool) openTransactions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// drop forgets the transaction; the caller has its connection.
func (p *pool) drop(key txKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, key)
}

// abandon ends a transaction whose session has gone: its connection is closed,
// which rolls it back at the target. While a request uses the connection, that
// request gives its place back: twice would let the pool open one too many.
func (p *pool) abandon(key txKey) {
	if h := p.removeHeld(key); h != nil {
		p.discard(h.conn)
	}
}

// removeHeld returns the connection of an idle transaction. One in use is closed
// only, which ends its request with an error.
func (p *pool) removeHeld(key txKey) *heldConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.held[key]
	if h == nil {
		return nil
	}
	if h.busy {
		h.gone = true
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

// closeAll ends every connection that no request is using.
func (p *pool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
