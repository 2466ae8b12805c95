package pooler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// SQL states of a target that the pooler handles.
const (
	sqlTermRefused     = "BT202"
	sqlUniqueViolation = "23505"
	sqlCancelled       = pgwire.StateCancelled
)

// request is one unit that the pooler is processing.
type request struct {
	*peerpb.ExecuteRequest
	class ClassLimits
	key   txKey
	group topology.GroupID
	// inFlightRequest is the record by which Cancel finds the request.
	inFlightRequest *inFlightRequest
	right           authority.Right // set for requests to a primary
	// releaseSlot releases the slot. It is called before a wait for replicas, which
	// needs no slot.
	releaseSlot func()
}

func (p *Pooler) execute(ctx context.Context, f *inFlightRequest, in *peerpb.ExecuteRequest, resp *peerpb.ExecuteResponse) *result.Error {
	class, ok := p.o.Directory.Class(in.Service, in.Class)
	if !ok {
		return result.New(result.UnknownClass, "%s", in.Class)
	}
	tp, err := p.pool(topology.TargetID(in.Target))
	if err != nil {
		return err
	}
	req := &request{
		ExecuteRequest:  in,
		class:           class,
		key:             txKey{in.Entry, in.EntryIncarnation, in.Transaction},
		group:           topology.GroupID(in.Group),
		inFlightRequest: f,
	}
	if err := p.admit(tp, in); err != nil {
		return err
	}
	defer tp.requestCounter.end()
	// The wait comes before the queue, so that a slot is not held idle while a
	// replica is behind.
	if err := p.waitForFloor(ctx, tp, req); err != nil {
		return err
	}
	// The queue length is read when the answer is sent, because entries weigh targets
	// by it. Its value when the request left the queue is out of date once the request
	// has run.
	defer func() { resp.QueueLength = uint32(tp.gate.length()) }()
	begun := time.Now()
	slot, err := tp.gate.acquire(ctx, p.admissionRequest(req))
	if err != nil {
		return err
	}
	resp.QueueUs = uint32(time.Since(begun).Microseconds())
	p.o.Metrics.Queued(in.Member, in.Class, time.Since(begun))
	begun = time.Now()
	req.releaseSlot = sync.OnceFunc(func() {
		slot.release()
		resp.RunUs = uint32(time.Since(begun).Microseconds())
		p.o.Metrics.Ran(in.Member, in.Class, time.Since(begun))
	})
	defer req.releaseSlot()
	if err := p.obtainRight(req); err != nil {
		return err
	}
	if in.InTransaction {
		return p.continueTransaction(ctx, tp, req, resp)
	}
	return p.start(ctx, tp, req, resp)
}

// admissionRequest returns the attributes by which the queue orders the request. A
// read at the primary comes after the writes of its priority, because it could have
// run on a replica.
func (p *Pooler) admissionRequest(req *request) admission.Request {
	if p.o.FIFO {
		return admission.Request{Member: req.Member, Class: req.Class, Priority: admission.Normal}
	}
	r := admission.Request{
		Member:     req.Member,
		Class:      req.Class,
		Priority:   req.class.Priority,
		LowerPlace: !req.class.Write && req.Term != 0,
	}
	if req.InTransaction {
		r.Transaction = req.Transaction
	}
	return r
}

// deadlineOf converts the context's deadline to monotonic time.
func deadlineOf(ctx context.Context, now mono.Time) mono.Time {
	deadline, _ := ctx.Deadline() // Execute always sets one.
	return now.Add(time.Until(deadline))
}

// obtainRight gets the right that every request to a primary needs: writes, and reads
// too, since a replaced primary lacks what its successor acknowledged. It is called
// after the wait in the queue, so that the right is current when the request is sent.
func (p *Pooler) obtainRight(req *request) (failure *result.Error) {
	if req.Term == 0 {
		return nil
	}
	req.right, failure = p.rights.Right(req.group, req.Term)
	return failure
}

// start runs a unit that is not part of an open transaction; the unit may open one.
func (p *Pooler) start(ctx context.Context, tp *targetPool, req *request, resp *peerpb.ExecuteResponse) *result.Error {
	want, err := p.settingsFor(req)
	if err != nil {
		return err
	}
	c, err := tp.acquire(ctx, want)
	if err != nil {
		p.evidence.Suspected(tp.target.ID)
		return err
	}
	if err := bindInTime(ctx, c, want); err != nil {
		tp.discard(c)
		return result.New(result.TargetUnreachable, "%s: %v", tp.target.ID, err).After(verifyAfter)
	}
	begun := time.Now()
	a, failure := p.runCancellable(ctx, tp, c, req, p.runUnit)
	if failure != nil {
		p.discardLost(tp, c, failure)
		p.suspectIfUnreachable(tp, failure)
		return failure
	}
	p.evidence.Answered(tp.target.ID, time.Since(begun))
	at := c.position
	if a.status != pgwire.Idle {
		tp.hold(req.key, c)
	} else {
		tp.release(c)
	}
	return p.conclude(ctx, tp, req, at, a, resp)
}

// bindInTime binds the connection within connectTimeout. Without that bound, a
// connection that no longer answers would hold the request and its slot until the
// deadline.
func bindInTime(ctx context.Context, c *conn, want connSettings) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return c.bind(ctx, want)
}

// suspectIfUnreachable has the target probed if the failure is one of its connection.
func (p *Pooler) suspectIfUnreachable(tp *targetPool, failure *result.Error) {
	if failure.Code == result.TargetSilent || failure.Code == result.TargetUnreachable {
		p.evidence.Suspected(tp.target.ID)
	}
}

// continueTransaction runs a unit on the connection that the transaction holds.
func (p *Pooler) continueTransaction(ctx context.Context, tp *targetPool, req *request, resp *peerpb.ExecuteResponse) *result.Error {
	h, failure := tp.claim(req.key)
	if failure != nil {
		return failure
	}
	if failure := p.rebind(ctx, h.conn, req); failure != nil {
		tp.drop(req.key)
		tp.discard(h.conn)
		return failure
	}
	begun := time.Now()
	a, failure := p.runCancellable(ctx, tp, h.conn, req, p.runPlain)
	if failure != nil {
		tp.drop(req.key)
		p.discardLost(tp, h.conn, failure)
		p.suspectIfUnreachable(tp, failure)
		return failure
	}
	p.evidence.Answered(tp.target.ID, time.Since(begun))
	at := h.conn.position
	tp.settle(req.key, h, a.status)
	return p.conclude(ctx, tp, req, at, a, resp)
}

// rebind binds the transaction's connection as the class of the current statement
// requires. It refuses a class that waits for a replica while the right lists none,
// because the commit could not be acknowledged.
func (p *Pooler) rebind(ctx context.Context, c *conn, req *request) *result.Error {
	want, failure := p.settingsFor(req)
	if failure != nil {
		return failure
	}
	if err := bindInTime(ctx, c, want); err != nil {
		return result.New(result.TransactionAborted, "%s: %v", req.Target, err).After(verifyAfter)
	}
	return nil
}

// conclude finishes the request. On a failure the caller is told that its transaction
// has ended, so a transaction that is still open is abandoned.
func (p *Pooler) conclude(ctx context.Context, tp *targetPool, req *request, at position.Position, a answer, resp *peerpb.ExecuteResponse) *result.Error {
	req.releaseSlot()
	tp.floors.completed(req.Session, a.committed)
	failure := p.finish(ctx, tp, req, at, a, resp)
	if failure != nil {
		tp.abandon(req.key)
	}
	return failure
}

// settle returns the connection to the pool if the transaction has ended, or closes
// it if it can't be reused.
func (p *pool) settle(key txKey, h *heldConn, status byte) {
	if p.keepHeld(h, status) {
		return
	}
	p.drop(key)
	if h.conn.tainted || status != pgwire.Idle {
		p.discard(h.conn)
		return
	}
	p.release(h.conn)
}

// keepHeld marks the connection of an open transaction as idle and reports whether the
// transaction keeps it; false if the transaction has ended or was abandoned.
func (p *pool) keepHeld(h *heldConn, status byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status == pgwire.Idle || h.abandoned {
		h.conn.tainted = h.conn.tainted || h.abandoned
		return false
	}
	h.busy = false
	h.since = time.Now()
	return true
}

// settingsFor returns the settings that the request needs on its connection.
func (p *Pooler) settingsFor(req *request) (connSettings, *result.Error) {
	want := connSettings{term: req.Term, readOnly: !req.class.Write}
	if req.class.WaitsForReplica && len(req.right.WaitFor) == 0 {
		return want, result.New(result.NoReplicaForClass, "%s in %s", req.Class, req.group).After(time.Second)
	}
	return want, nil
}

// runUnit sends the unit. A write that is not repeatable also writes its ledger row,
// in the same transaction.
func (p *Pooler) runUnit(ctx context.Context, c *conn, req *request) (answer, *result.Error) {
	if req.class.Write && !req.class.Repeatable && !req.Repeatable {
		return p.runOnce(ctx, c, req)
	}
	return p.runPlain(ctx, c, req)
}

func (p *Pooler) runPlain(ctx context.Context, c *conn, req *request) (answer, *result.Error) {
	a, err := c.exchange(ctx, req.Messages, int(req.Syncs), p.o.Directory.Bounds().ResultBytes)
	if err != nil {
		return a, exchangeFailure(topology.TargetID(req.Target), err)
	}
	return a, nil
}

// exchangeFailure returns the result of a failed exchange. The request was sent, so its
// outcome is unknown unless the result is refined later.
func exchangeFailure(id topology.TargetID, err error) *result.Error {
	if errors.Is(err, pgwire.ErrFrameTooLarge) {
		return result.New(result.ResultTooLarge, "%s", id)
	}
	if errors.Is(err, errCopy) {
		e := result.New(result.BadProtocol, "COPY is not served")
		e.Ran = result.Unknown // Earlier statements of the batch may have run.
		return e
	}
	return result.New(result.TargetSilent, "%s: %v", id, err).After(verifyAfter)
}

// finish checks the right again and fills in the response.
func (p *Pooler) finish(ctx context.Context, tp *targetPool, req *request, at position.Position, a answer, resp *peerpb.ExecuteResponse) *result.Error {
	if a.sqlState == sqlTermRefused {
		return termRefused(req, a)
	}
	if failure := p.confirm(ctx, tp, req, a); failure != nil {
		return failure
	}
	if !p.holds(req.group, at, peers.Position(req.Floor)) {
		return result.New(result.ReplicaBehind, "%s holds %s", req.Target, at).After(verifyAfter)
	}
	resp.Messages = a.messages
	resp.TxStatus = uint32(a.status)
	resp.Position = peers.PositionTo(at)
	if !a.committed.IsZero() {
		resp.Position = peers.PositionTo(a.committed)
	}
	return nil
}

// termRefused returns the result for a term that the target refused. Outside a
// transaction it is "not run" only if the refusal came before any statement completed:
// the first statements of a unit of several may have been committed.
func termRefused(req *request, a answer) *result.Error {
	e := result.New(result.TermRefused, "%s", req.Target).After(verifyAfter)
	if len(commandTags(a.messages)) > 0 && !req.InTransaction {
		e.Ran = result.Unknown
	}
	return e
}
