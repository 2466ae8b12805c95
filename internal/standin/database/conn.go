package database

import (
	"context"
	"crypto/rand"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

const (
	// startupTimeout limits the time until a connection has sent its start-up message.
	startupTimeout = 10 * time.Second
	// maxMessage is the maximum size of a message body in bytes: a length read
	// from garbage would otherwise allocate gigabytes.
	maxMessage    = 16 << 20
	receiveBuffer = 64
	secretLength  = 4
)

// conn is one connection. A separate goroutine reads its messages ahead, so that
// a closed connection is detected while a statement runs.
type conn struct {
	db      *Database
	nc      net.Conn
	be      *pgproto3.Backend
	pid     uint32
	secret  []byte
	counted bool // counts towards the connection limit; guarded by db.connMu
	control bool

	ctx    context.Context
	stop   context.CancelCauseFunc
	msgs   chan pgproto3.FrontendMessage
	peeked pgproto3.FrontendMessage

	// committed is the newest commit since ready was last sent.
	committed position.Position

	mu         sync.Mutex
	cancelStmt context.CancelCauseFunc
}

func newConn(d *Database, nc net.Conn, pid uint32) *conn {
	secret := make([]byte, secretLength)
	_, err := rand.Read(secret)
	invariant(err == nil, "cannot read random bytes: %v", err)
	c := &conn{
		db: d, nc: nc, pid: pid, secret: secret,
		be:   pgproto3.NewBackend(nc, nc),
		msgs: make(chan pgproto3.FrontendMessage, receiveBuffer),
	}
	c.be.SetMaxBodyLen(maxMessage)
	c.ctx, c.stop = context.WithCancelCause(context.Background())
	return c
}

// abort closes the connection at once; a running statement fails with cause.
func (c *conn) abort(cause error) {
	c.stop(cause)
	c.nc.Close()
}

func (c *conn) serve() {
	defer c.abort(errClosed)
	start, err := c.startUp()
	if err != nil {
		c.fatal(err)
		return
	}
	if start == nil {
		return
	}
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		c.readAll()
	}()
	defer func() {
		c.abort(errClosed)
		<-reading
	}()
	if start.Parameters[paramReplication] == valueOn {
		c.serveReplication()
		return
	}
	newSession(c, start.Parameters).run()
}

// readAll passes the received messages to msgs until the connection ends.
func (c *conn) readAll() {
	for {
		msg, err := c.be.Receive()
		if err != nil {
			c.abort(errClosed)
			return
		}
		select {
		case c.msgs <- cloneMessage(msg):
		case <-c.ctx.Done():
			return
		}
	}
}

// cloneMessage copies a message, since the backend reuses its memory for the next
// one.
func cloneMessage(msg pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := msg.(type) {
	case *pgproto3.Query:
		c := *m
		return &c
	case *pgproto3.Parse:
		c := *m
		c.ParameterOIDs = slices.Clone(m.ParameterOIDs)
		return &c
	case *pgproto3.Bind:
		return cloneBind(m)
	case *pgproto3.Describe:
		c := *m
		return &c
	case *pgproto3.Execute:
		c := *m
		return &c
	case *pgproto3.Close:
		c := *m
		return &c
	case *pgproto3.CopyData:
		return &pgproto3.CopyData{Data: slices.Clone(m.Data)}
	}
	return msg
}

func cloneBind(m *pgproto3.Bind) *pgproto3.Bind {
	c := *m
	c.ParameterFormatCodes = slices.Clone(m.ParameterFormatCodes)
	c.ResultFormatCodes = slices.Clone(m.ResultFormatCodes)
	c.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		c.Parameters[i] = slices.Clone(p)
	}
	return &c
}

// receive returns the next message, or false when the connection is over.
func (c *conn) receive() (pgproto3.FrontendMessage, bool) {
	if msg := c.peeked; msg != nil {
		c.peeked = nil
		return msg, true
	}
	select {
	case msg := <-c.msgs:
		return msg, true
	case <-c.ctx.Done():
		return nil, false
	}
}

// receiveWithin is receive with a timeout, after which it aborts the connection.
func (c *conn) receiveWithin(timeout time.Duration) (pgproto3.FrontendMessage, bool) {
	timer := time.AfterFunc(timeout, func() { c.abort(errClosed) })
	defer timer.Stop()
	return c.receive()
}

// peek returns the next message without consuming it, or nil when the connection
// is over.
func (c *conn) peek() pgproto3.FrontendMessage {
	if c.peeked == nil {
		c.peeked, _ = c.receive()
	}
	return c.peeked
}

// send queues a message until the next flush.
func (c *conn) send(msg pgproto3.BackendMessage) { c.be.Send(msg) }

func (c *conn) flush() error { return c.be.Flush() }

// fatal sends an error that ends the connection.
func (c *conn) fatal(err error) {
	c.send(responseTo(err, "FATAL"))
	// A failure is ignored: the client may have disconnected already.
	_ = c.flush()
}

// statementContext returns a context that a cancel request cancels.
func (c *conn) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.setCancel(cancel)
	return ctx, func() {
		c.setCancel(nil)
		cancel(nil)
	}
}

func (c *conn) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelStmt = cancel
}

// running reports whether the connection runs a statement.
func (c *conn) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelStmt != nil
}

func (c *conn) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStmt != nil {
		c.cancelStmt(errCanceled)
	}
}
