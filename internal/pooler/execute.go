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

// SQL states of a target that the pooler understands.
const (
	sqlTermRefused     = "BT202"
	sqlUniqueViolation = "23505"
	sqlCancelled       = pgwire.StateCancelled
)

// request is one unit on its way through the pooler.
type request struct {
	*peerpb.ExecuteRequest
	class ClassLimits
	key   txKey
	group topology.GroupID
	// flight can be cancelled.
	flight *flight
	right  authority.Right // of a request to a primary
	// leaveSlot gives the slot back; a wait for replicas needs none.
	leaveSlot func()
}

func (p *Pooler) execute(ctx context.Context, f *flight, in *peerpb.ExecuteRequest, resp *peerpb.ExecuteResponse) *result.Error {
	class, ok := p.o.Directory.Class(in.Service, in.Class)
	if !ok {
		return result.New(result.UnknownClass, "%s", in.Class)
	}
	tp, err := p.pool(topology.TargetID(in.Target))
	if err != nil {
		return err
	}
	req := &request{
		ExecuteRequest: in,
		class:          class,
		key:            txKey{in.Entry, in.EntryIncarnation, in.Transaction},
		group:          topology.GroupID(in.Group),
		flight:         f,
	}
	if err := p.begin(tp, in); err != nil {
		return err
	}
	defer tp.work.end()
	// Before the queue: a replica that is behind must not hold a slot idle.
	if err := p.waitForFloor(ctx, tp, req); err != nil {
		return err
	}
	// As the answer leaves: entries weigh targets by it, and what the queue was
	// when the request left it says nothing of the time that it ran.
	defer func() { resp.QueueLength = uint32(tp.gate.length()) }()
	begun := time.Now()
	slot, err := tp.gate.enter(ctx, p.admissionRequest(req))
	if err != nil {
		return err
	}
	resp.QueueUs = uint32(time.Since(begun).Microseconds())
	p.o.Metrics.Queued(in.Member, in.Class, time.Since(begun))
	begun = time.Now()
	req.leaveSlot = sync.OnceFunc(func() {
		slot.leave()
		resp.RunUs = uint32(time.Since(begun).Microseconds())
		p.o.Metrics.Ran(in.Member, in.Class, time.Since(begun))
	})
	defer req.leaveSlot()
	if err := p.takeRight(req); err != nil {
		return err
	}
	if in.InTransaction {
		return p.continueTransaction(ctx, tp, req, resp)
	}
	return p.start(ctx, tp, req, resp)
}

// admissionRequest says what the queue weighs. A read at the primary comes after
// the writes of its priority: it could have run elsewhere.
func (p *Pooler) admissionRequest(req *request) admission.Request {
	if p.o.FirstCome {
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

// deadlineOf turns the context's deadline into an instant.
func deadlineOf(ctx context.Context, now mono.Time) mono.Time {
	deadline, _ := ctx.Deadline() // Execute always sets one.
	return now.Add(time.Until(deadline))
}

// takeRight guards everything that runs on a primary: its writes, and its reads
// too, since a replaced primary lacks what its successor acknowledged. It is
// asked for after the queue, so that it is fresh when the request goes out.
func (p *Pooler) takeRight(req *request) (failure *result.Error) {
	if req.Term == 0 {
		return nil
	}
	req.right, failure = p.rights.Right(req.group, req.Term)
	return failure
}

// start runs a unit outside a transaction; it may open one.
func (p *Pooler) start(ctx context.Context, tp *targetPool, req *request, resp *peerpb.ExecuteResponse) *result.Error {
	want, err := p.settingsFor(req)
	if err != nil {
		return err
	}
	c, err := tp.acquire(ctx, want)
	if err != nil {
		p.evidence.Doubted(tp.target.ID)
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
		p.doubtAfter(tp, failure)
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

// bindInTime bounds the settings' round trip: a connection that went silent would
// hold the request, and its slot, up to the deadline.
func bindInTime(ctx context.Context, c *conn, want connSettings) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return c.bind(ctx, want)
}

// doubtAfter has the target probed after a failure of its connection.
func (p *Pooler) doubtAfter(tp *targetPool, failure *result.Error) {
	if failure.Code == result.TargetSilent || failure.Code == result.TargetUnreachable {
		p.evidence.Doubted(tp.target.ID)
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
		p.doubtAfter(tp, failure)
		return failure
	}
	p.evidence.Answered(tp.target.ID, time.Since(begun))
	at := h.conn.position
	tp.settle(req.key, h, a.status)
	return p.conclude(ctx, tp, req, at, a, resp)
}

// rebind binds the transaction's connection as the present statement's class
// needs, and refuses a class that waits for a replica while none counts: its
// commit could not be acknowledged.
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

// conclude finishes the request. When it fails with its transaction open the
// caller is told that the transaction is gone, so it must be.
func (p *Pooler) conclude(ctx context.Context, tp *targetPool, req *request, at position.Position, a answer, resp *peerpb.ExecuteResponse) *result.Error {
	req.leaveSlot()
	tp.floors.completed(req.Session, a.committed)
	failure := p.finish(ctx, tp, req, at, a, resp)
	if failure != nil {
		tp.abandon(req.key)
	}
	return failure
}

// settle gives the connection back when the transaction has ended.
func (p *pool) settle(key txKey, h *heldConn, status byte) {
	if p.stays(h, status) {
		return
	}
	p.drop(key)
	if h.conn.tainted || status != pgwire.Idle {
		p.discard(h.conn)
		return
	}
	p.release(h.conn)
}

// stays puts the connection back to its open transaction; false when that has
// ended or was abandoned meanwhile.
func (p *pool) stays(h *heldConn, status byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status == pgwire.Idle || h.gone {
		h.conn.tainted = h.conn.tainted || h.gone
		return false
	}
	h.busy = false
	h.since = time.Now()
	return true
}

// settingsFor tells what the connection must be bound to for the request.
func (p *Pooler) settingsFor(req *request) (connSettings, *result.Error) {
	want := connSettings{term: req.Term, readOnly: !req.class.Write}
	if req.class.WaitsForReplica && len(req.right.WaitFor) == 0 {
		return want, result.New(result.NoReplicaForClass, "%s in %s", req.Class, req.group).After(time.Second)
	}
	return want, nil
}

// runUnit sends the unit; a class that may not be repeated gets its ledger row
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
		return a, lostAnswer(topology.TargetID(req.Target), err)
	}
	return a, nil
}

// lostAnswer says what a failed exchange means: the request was sent, so unless
// the caller knows better its outcome is unknown.
func lostAnswer(id topology.TargetID, err error) *result.Error {
	if errors.Is(err, pgwire.ErrFrameTooLarge) {
		return result.New(result.ResultTooLarge, "%s", id)
	}
	if errors.Is(err, errCopy) {
		e := result.New(result.BadProtocol, "COPY is not served")
		e.Ran = result.Unknown // What came before it in its batch may have run.
		return e
	}
	return result.New(result.TargetSilent, "%s: %v", id, err).After(verifyAfter)
}

// finish checks the right once more and fills the answer.
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

// termRefused is "not run" only when the refusal came before anything: a unit
// of several statements may have had its first ones committed.
func termRefused(req *request, a answer) *result.Error {
	e := result.New(result.TermRefused, "%s", req.Target).After(verifyAfter)
	if len(commandTags(a.messages)) > 0 && !req.InTransaction {
		e.Ran = result.Unknown
	}
	return e
}
