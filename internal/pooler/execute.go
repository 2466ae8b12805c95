package pooler

import (
	"context"
	"strings"
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
	sqlNotReplicated   = "BT208"
	sqlUniqueViolation = "23505"
)

// request is one unit on its way through the pooler.
type request struct {
	*peerpb.ExecuteRequest
	class ClassLimits
	key   txKey
	group topology.GroupID
	right authority.Right // of a request to a primary
}

func (p *Pooler) execute(ctx context.Context, in *peerpb.ExecuteRequest, resp *peerpb.ExecuteResponse) *result.Error {
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
	}
	if err := p.begin(tp, in); err != nil {
		return err
	}
	defer tp.work.end()
	begun := time.Now()
	slot, err := tp.gate.enter(ctx, p.admissionRequest(req))
	if err != nil {
		return err
	}
	defer slot.leave()
	resp.QueueLength = uint32(tp.gate.length())
	resp.QueueUs = uint32(time.Since(begun).Microseconds())
	p.o.Metrics.Queued(in.Member, in.Class, time.Since(begun))
	begun = time.Now()
	defer func() {
		resp.RunUs = uint32(time.Since(begun).Microseconds())
		p.o.Metrics.Ran(in.Member, in.Class, time.Since(begun))
	}()
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

// confirmRight is asked for before the answer goes out.
func (p *Pooler) confirmRight(req *request) *result.Error {
	if req.Term == 0 {
		return nil
	}
	return p.rights.Confirm(req.right, req.class.Write && req.class.WaitsForReplica)
}

// start runs a unit outside a transaction; it may open one.
func (p *Pooler) start(ctx context.Context, tp *targetPool, req *request, resp *peerpb.ExecuteResponse) *result.Error {
	if err := tp.waitForFloor(ctx, req); err != nil {
		return err
	}
	want, err := p.settingsFor(req)
	if err != nil {
		return err
	}
	c, err := tp.acquire(ctx, want)
	if err != nil {
		p.evidence.Doubted(tp.target.ID)
		return err
	}
	if err := c.bind(ctx, want); err != nil {
		tp.discard(c)
		return result.New(result.TargetUnreachable, "%s: %v", tp.target.ID, err).After(verifyAfter)
	}
	begun := time.Now()
	landed := p.flights.add(req, c)
	a, failure := p.runUnit(ctx, c, req)
	landed()
	if failure != nil {
		tp.discard(c)
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
	return p.conclude(tp, req, at, a, resp)
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
	landed := p.flights.add(req, h.conn)
	a, err := h.conn.exchange(ctx, req.Messages, int(req.Syncs), p.o.MaxResult)
	landed()
	if err != nil {
		tp.drop(req.key)
		tp.discard(h.conn)
		p.evidence.Doubted(tp.target.ID)
		return lostAnswer(tp.target.ID, err)
	}
	p.evidence.Answered(tp.target.ID, time.Since(begun))
	at := h.conn.position
	tp.settle(req.key, h, a.status)
	return p.conclude(tp, req, at, a, resp)
}

// rebind has the transaction's commit wait for the replicas that count by now:
// they may have changed since it began.
func (p *Pooler) rebind(ctx context.Context, c *conn, req *request) *result.Error {
	want, failure := p.settingsFor(req)
	if failure != nil {
		return failure
	}
	if err := c.bind(ctx, want); err != nil {
		return result.New(result.TransactionAborted, "%s: %v", req.Target, err).After(verifyAfter)
	}
	return nil
}

// conclude finishes the request. When it fails with its transaction open the
// caller is told that the transaction is gone, so it must be.
func (p *Pooler) conclude(tp *targetPool, req *request, at position.Position, a answer, resp *peerpb.ExecuteResponse) *result.Error {
	tp.floors.completed(req.Session, a.committed)
	failure := p.finish(req, at, a, resp)
	if failure != nil {
		tp.abandon(req.key)
	}
	return failure
}

// settle gives the connection back when the transaction has ended.
func (p *pool) settle(key txKey, h *heldConn, status byte) {
	if status == pgwire.Idle {
		p.drop(key)
		p.release(h.conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.busy = false
	h.since = time.Now()
}

// settingsFor tells what the connection must be bound to for the request.
func (p *Pooler) settingsFor(req *request) (connSettings, *result.Error) {
	want := connSettings{term: req.Term, readOnly: !req.class.Write}
	if !req.class.WaitsForReplica {
		return want, nil
	}
	if len(req.right.WaitFor) == 0 {
		return want, result.New(result.NoReplicaForClass, "%s in %s", req.Class, req.group).After(time.Second)
	}
	names := make([]string, 0, len(req.right.WaitFor))
	for _, r := range req.right.WaitFor {
		names = append(names, string(r))
	}
	want.waitFor = strings.Join(names, ",")
	return want, nil
}

// runUnit sends the unit; a class that may not be repeated gets its ledger row
// in the same transaction.
func (p *Pooler) runUnit(ctx context.Context, c *conn, req *request) (answer, *result.Error) {
	if req.class.Write && !req.class.Repeatable {
		return p.runOnce(ctx, c, req)
	}
	a, err := c.exchange(ctx, req.Messages, int(req.Syncs), p.o.MaxResult)
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
	return result.New(result.TargetSilent, "%s: %v", id, err).After(verifyAfter)
}

// finish checks the right once more and fills the answer.
func (p *Pooler) finish(req *request, at position.Position, a answer, resp *peerpb.ExecuteResponse) *result.Error {
	if a.sqlState == sqlTermRefused {
		return termRefused(req, a)
	}
	// The holder may have been paused between the target's completion and this
	// line and its group been given a new primary meanwhile. An acknowledgement
	// then would promise a write that the new primary may lack.
	if failure := p.confirmRight(req); failure != nil {
		return failure
	}
	if a.sqlState == sqlNotReplicated {
		return result.New(result.NotReplicated, "%s", req.Target).After(time.Second)
	}
	if at.Less(peers.Position(req.Floor)) {
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

// floorPoll is how often a replica that is behind is asked again.
const floorPoll = 2 * time.Millisecond

// waitForFloor waits a short while until the target holds the request's floor.
func (tp *targetPool) waitForFloor(ctx context.Context, req *request) *result.Error {
	floor := peers.Position(req.Floor)
	if floor.IsZero() || !tp.newestPosition().Less(floor) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.FloorWaitMs)*time.Millisecond+verifyTimeout)
	defer cancel()
	deadline := time.Now().Add(time.Duration(req.FloorWaitMs) * time.Millisecond)
	for {
		s, err := tp.control.Status(ctx)
		if err != nil {
			return result.New(result.TargetUnreachable, "%s: %v", req.Target, err).After(verifyAfter)
		}
		tp.seen(s.Position)
		if !s.Position.Less(floor) {
			return nil
		}
		if time.Now().After(deadline) {
			return result.New(result.ReplicaBehind, "%s holds %s, wanted %s", req.Target, s.Position, floor).After(verifyAfter)
		}
		time.Sleep(floorPoll)
	}
}

func (p *pool) seen(at position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notePosition(at)
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
