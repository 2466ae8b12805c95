package pooler

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// cancelTimeout bounds the delivery of one cancel request to a target.
const cancelTimeout = time.Second

// flightKey names a request under way, as its entry does.
type flightKey struct {
	entry       string
	incarnation uint64
	hop         uint64
}

// flight is a request under way, from its arrival to its answer.
type flight struct {
	key  flightKey
	stop context.CancelFunc // ends its wait in the queue

	// mu is held while a cancel request is delivered, so that the connection is
	// not given to the next request before: the cancel would end that one.
	mu        sync.Mutex
	cancelled bool
	conn      *conn  // runs the request now; nil when none does
	address   string // of conn's target
	target    topology.TargetID
	group     topology.GroupID
	term      uint64    // 0: conn is not bound to one
	unsure    bool      // a cancel request may still arrive on conn
	since     time.Time // when conn was attached, or last found running
	checking  bool
}

// flights holds the requests under way. The zero value is ready. Safe for
// concurrent use.
type flights struct {
	mu  sync.Mutex
	all map[flightKey]*flight
}

// begin registers a request; the context returned ends when it is cancelled.
func (fs *flights) begin(ctx context.Context, key flightKey) (context.Context, *flight) {
	ctx, stop := context.WithCancel(ctx)
	f := &flight{key: key, stop: stop}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.all == nil {
		fs.all = map[flightKey]*flight{}
	}
	fs.all[key] = f
	return ctx, f
}

func (fs *flights) end(f *flight) {
	f.stop()
	fs.mu.Lock()
	defer fs.mu.Unlock()
	delete(fs.all, f.key)
}

func (fs *flights) find(key flightKey) *flight {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.all[key]
}

// cut ends the exchanges whose group has gone on to another term. A frozen
// primary would hold them to their deadlines; its answer could not be
// acknowledged any more, so the caller is told at once that it is unknown.
func (fs *flights) cut(d Directory) {
	for _, f := range fs.list() {
		f.cutAfter(d)
	}
}

func (fs *flights) list() []*flight {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	all := make([]*flight, 0, len(fs.all))
	for _, f := range fs.all {
		all = append(all, f)
	}
	return all
}

func (f *flight) cutAfter(d Directory) {
	if !f.mu.TryLock() {
		return // A cancel request is on its way; the next tick looks again.
	}
	defer f.mu.Unlock()
	if f.conn == nil || f.term == 0 {
		return
	}
	if row := d.Group(f.group); row != nil && row.Term > f.term {
		_ = f.conn.net.SetDeadline(time.Now())
	}
}

// attach tells that c runs the request from now on; false when it was cancelled
// before, so that nothing may be sent.
func (f *flight) attach(c *conn, address string, req *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		return false
	}
	f.conn, f.address = c, address
	f.target = topology.TargetID(req.Target)
	f.group, f.term = req.group, req.Term
	f.since = time.Now()
	return true
}

// detach waits for a cancel request on its way; safe is false when one may still
// reach the target and end the statement that the connection runs next.
func (f *flight) detach() (safe bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	return !f.unsure
}

// explain names the cancel as the reason why a request has not run.
func (f *flight) explain(failure *result.Error) *result.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if failure == nil || !f.cancelled || failure.Ran != result.NotRun {
		return failure
	}
	return cancelledUnsent()
}

func cancelledUnsent() *result.Error {
	e := result.New(result.Cancelled, "before it was sent to a target")
	e.Ran = result.NotRun
	return e
}

// cancel ends the request: in the queue at once, at its target by a cancel
// request on a connection of its own.
func (f *flight) cancel(ctx context.Context, d Dialer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = true
	if f.conn == nil {
		f.stop()
		return
	}
	f.unsure = sendCancel(ctx, d, f.address, f.conn) != nil
}

// sendCancel delivers a cancel request and waits until the target has taken it,
// which it tells by closing the connection.
func sendCancel(ctx context.Context, d Dialer, address string, c *conn) error {
	ctx, done := context.WithTimeout(ctx, cancelTimeout)
	defer done()
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer nc.Close()
	deadline, _ := ctx.Deadline()
	_ = nc.SetDeadline(deadline)
	out, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := nc.Write(out); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, nc)
	return err
}

// runner sends a request on a connection.
type runner func(ctx context.Context, c *conn, req *request) (answer, *result.Error)

// runCancellable runs the request so that Cancel finds its connection.
func (p *Pooler) runCancellable(ctx context.Context, tp *targetPool, c *conn, req *request, run runner) (answer, *result.Error) {
	if !req.flight.attach(c, tp.target.Address, req) {
		return answer{}, cancelledUnsent()
	}
	a, failure := run(ctx, c, req)
	if !req.flight.detach() {
		c.tainted = true
	}
	return a, failure
}

// Cancel implements peerpb.Pooler.
func (p *Pooler) Cancel(ctx context.Context, req *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	f := p.flights.find(flightKey{req.Entry, req.EntryIncarnation, req.HopId})
	if f == nil {
		return &peerpb.CancelResponse{}, nil
	}
	if !req.Ask {
		f.cancel(ctx, p.o.Dialer)
	}
	return &peerpb.CancelResponse{Found: true}, nil
}
