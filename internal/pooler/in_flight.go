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

// inFlightKey identifies an in-flight request by the entry that sent it, the entry's
// incarnation and the hop id.
type inFlightKey struct {
	entry       string
	incarnation uint64
	hop         uint64
}

// inFlightRequest is an in-flight request, from its arrival to its answer.
type inFlightRequest struct {
	key  inFlightKey
	stop context.CancelFunc // ends the wait in the queue

	// mu is held while a cancel request is delivered, so that the connection is not
	// given to the next request until then; the cancel would end that request.
	mu              sync.Mutex
	cancelled       bool
	conn            *conn  // the connection that runs the request; nil if none does
	address         string // of the target of conn
	target          topology.TargetID
	group           topology.GroupID
	term            uint64    // 0 if conn is not bound to a term
	cancelMayArrive bool      // set if a cancel request may still arrive for conn
	since           time.Time // when conn was attached or last checked
	checking        bool      // set while a check for a silent connection is running
}

// inFlightRequests holds the in-flight requests. The zero value is ready to use.
// Safe for concurrent use.
type inFlightRequests struct {
	mu  sync.Mutex
	all map[inFlightKey]*inFlightRequest
}

// begin registers a request. The returned context ends when the request is cancelled.
func (fs *inFlightRequests) begin(ctx context.Context, key inFlightKey) (context.Context, *inFlightRequest) {
	ctx, stop := context.WithCancel(ctx)
	f := &inFlightRequest{key: key, stop: stop}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.all == nil {
		fs.all = map[inFlightKey]*inFlightRequest{}
	}
	fs.all[key] = f
	return ctx, f
}

func (fs *inFlightRequests) end(f *inFlightRequest) {
	f.stop()
	fs.mu.Lock()
	defer fs.mu.Unlock()
	delete(fs.all, f.key)
}

func (fs *inFlightRequests) find(key inFlightKey) *inFlightRequest {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.all[key]
}

// interruptSuperseded ends the exchanges whose group has moved to a later term. A
// frozen primary would delay them until their deadlines. Its answer could no longer
// be acknowledged, so the caller is told at once that the outcome is unknown.
func (fs *inFlightRequests) interruptSuperseded(d Directory) {
	for _, f := range fs.list() {
		f.interruptIfSuperseded(d)
	}
}

func (fs *inFlightRequests) list() []*inFlightRequest {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	all := make([]*inFlightRequest, 0, len(fs.all))
	for _, f := range fs.all {
		all = append(all, f)
	}
	return all
}

func (f *inFlightRequest) interruptIfSuperseded(d Directory) {
	if !f.mu.TryLock() {
		return // A cancel request is being delivered; the next tick checks again.
	}
	defer f.mu.Unlock()
	if f.conn == nil || f.term == 0 {
		return
	}
	if row := d.Group(f.group); row != nil && row.Term > f.term {
		_ = f.conn.net.SetDeadline(time.Now())
	}
}

// attach records that c runs the request from now on. It returns false if the request
// was already cancelled, in which case nothing may be sent.
func (f *inFlightRequest) attach(c *conn, address string, req *request) bool {
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

// detach waits until a cancel request that is being delivered is done. safe is false
// if a cancel request may still reach the target and end the next statement on the
// connection.
func (f *inFlightRequest) detach() (safe bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	return !f.cancelMayArrive
}

// asCancelled returns a Cancelled result in place of the failure of a cancelled
// request that has not run, and any other failure unchanged.
func (f *inFlightRequest) asCancelled(failure *result.Error) *result.Error {
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

// cancel ends the request: at once if it waits in the queue, or by a cancel request
// on a separate connection if it runs at its target.
func (f *inFlightRequest) cancel(ctx context.Context, d Dialer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = true
	if f.conn == nil {
		f.stop()
		return
	}
	f.cancelMayArrive = sendCancel(ctx, d, f.address, f.conn) != nil
}

// sendCancel delivers a cancel request and waits until the target has processed it
// and closes the connection.
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

// runCancellable runs the request with its connection attached, so that Cancel can
// find it.
func (p *Pooler) runCancellable(ctx context.Context, tp *targetPool, c *conn, req *request, run runner) (answer, *result.Error) {
	if !req.inFlightRequest.attach(c, tp.target.Address, req) {
		return answer{}, cancelledUnsent()
	}
	a, failure := run(ctx, c, req)
	if !req.inFlightRequest.detach() {
		c.tainted = true
	}
	return a, failure
}

// Cancel implements peerpb.Pooler.
func (p *Pooler) Cancel(ctx context.Context, req *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	f := p.inFlightRequests.find(inFlightKey{req.Entry, req.EntryIncarnation, req.HopId})
	if f == nil {
		return &peerpb.CancelResponse{}, nil
	}
	if !req.Ask {
		f.cancel(ctx, p.o.Dialer)
	}
	return &peerpb.CancelResponse{Found: true}, nil
}
