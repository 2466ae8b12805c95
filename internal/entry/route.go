package entry

import (
	"context"
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/retry"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// floorWait is how long a replica that is behind may be waited for.
	floorWait = 20 * time.Millisecond
	// patience is how many times its usual latency a read waits for a target
	// before it tries another, and leastPatience the least of it.
	patience      = 8
	leastPatience = 250 * time.Millisecond
)

// route runs the request where it may run and returns the whole answer.
func (s *caller) route(req *request) (*peerpb.ExecuteResponse, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), req.class.Deadline.Std())
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	if s.tx != nil {
		d := destination{target: s.tx.target, pooler: s.tx.pooler, term: s.tx.term}
		return s.attempt(ctx, req, d, true)
	}
	deadline := s.server.deadline(ctx)
	policy := retry.DefaultPolicy()
	reached := 0
	for attempt := 1; ; attempt++ {
		resp, failure := s.tryInTurn(ctx, req)
		if failure == nil {
			return resp, nil
		}
		if reachedTarget(failure) {
			reached++
		}
		if reached >= req.class.MaxAttempts {
			return nil, final(failure, req)
		}
		outcome := retry.Outcome{Attempt: attempt, Err: failure, Member: s.options.member}
		decision := s.server.router.next(policy, outcome, retryClass(req.class), deadline)
		if decision.Err != nil {
			return nil, decision.Err
		}
		s.server.o.Metrics.Retry(s.options.member, req.class.Name)
		if !interrupts(failure) && !pause(ctx, decision.After) {
			return nil, final(failure, req)
		}
	}
}

// reachedTarget tells attempts that count against the class's limit from those
// that found nobody to run them.
func reachedTarget(failure *result.Error) bool {
	return !interrupts(failure) && failure.Code != result.AgeNotShown
}

// final is the answer when no further attempt is made. A write of unknown outcome
// that may not run twice has no time to come back.
func final(failure *result.Error, req *request) *result.Error {
	if failure.Ran == result.Unknown && req.class.Kind == config.Write && !req.class.Repeatable {
		return result.New(result.OutcomeUnknown, "%s", failure.Error())
	}
	if failure.RetryAfter == 0 && failure.Ran == result.NotRun {
		return failure.After(comeBack)
	}
	return failure
}

// retryClass: a class that may be repeated has its caller's word that a second
// run does no harm; others have the ledger, and are never sent twice.
func retryClass(c config.Class) retry.Class {
	return retry.Class{
		Name:       c.Name,
		Read:       c.Kind == config.Read,
		Repeatable: c.Repeatable,
		Ledger:     c.Repeatable,
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// deadline turns the context's deadline into an instant.
func (s *Server) deadline(ctx context.Context) mono.Time {
	at, _ := ctx.Deadline() // route always sets one.
	return s.o.Clock.Now().Add(time.Until(at))
}

// tryInTurn makes one attempt; a write waits while its group's primary takes none.
func (s *caller) tryInTurn(ctx context.Context, req *request) (*peerpb.ExecuteResponse, *result.Error) {
	if req.class.Kind != config.Write {
		return s.try(ctx, req)
	}
	if failure := s.server.router.awaitPrimary(ctx, req.group); failure != nil {
		return nil, failure
	}
	resp, failure := s.try(ctx, req)
	s.server.router.noteWrite(req.group, failure)
	return resp, failure
}

// try makes one attempt.
func (s *caller) try(ctx context.Context, req *request) (*peerpb.ExecuteResponse, *result.Error) {
	row := s.server.o.View.Group(req.group)
	if row == nil {
		return nil, result.New(result.NoPrimary, "%s", req.group).After(comeBack)
	}
	if b := s.server.o.Baseline; b != "" {
		d, failure := s.server.router.chooseBaseline(b, row, req.class.Kind == config.Write)
		if failure != nil {
			return nil, failure
		}
		return s.attempt(ctx, req, d, false)
	}
	need, failure := s.need(ctx, req, row)
	if failure != nil {
		return nil, failure
	}
	d, failure := s.server.router.choose(row, need)
	if failure != nil && failure.Code == result.AgeNotShown {
		d, failure = s.chooseWithSample(ctx, row, need)
	}
	if failure != nil {
		return nil, failure
	}
	if need.Write {
		return s.attempt(ctx, req, d, false)
	}
	ctx, cancel := context.WithTimeout(ctx, s.server.router.patienceFor(row, d.target))
	defer cancel()
	return s.attempt(ctx, req, d, false)
}

// need tells what a target must hold to answer the request.
func (s *caller) need(ctx context.Context, req *request, row *topology.Group) (routing.Request, *result.Error) {
	if req.class.Kind == config.Write {
		return routing.Request{Write: true}, nil
	}
	floor, err := s.session.ReadFloor(row)
	if err != nil {
		return routing.Request{}, result.From(err)
	}
	staleness := req.class.Staleness.Std()
	if staleness > 0 && !floor.Fetch {
		return routing.Request{Staleness: staleness, Floor: floor.Position}, nil
	}
	got, failure := s.server.router.fetchFloor(ctx, row.ID, s.options.session)
	if failure != nil {
		return routing.Request{}, failure
	}
	if staleness > 0 {
		return routing.Request{Staleness: staleness, Floor: position.Max(floor.Position, got.session)}, nil
	}
	// Everything acknowledged before the fetch began is below the newest
	// position, so a target that holds it shows what a fresh read must show.
	return routing.Request{Staleness: routing.AnyAge, Floor: position.Max(floor.Position, got.newest)}, nil
}

// chooseWithSample asks the primary for its position when no sample is young
// enough to show an age: the group had no traffic lately.
func (s *caller) chooseWithSample(ctx context.Context, row *topology.Group, need routing.Request) (destination, *result.Error) {
	if _, failure := s.server.router.fetchFloor(ctx, row.ID, ""); failure != nil {
		return destination{}, failure
	}
	d, failure := s.server.router.choose(row, need)
	return d, failure
}

// patienceFor bounds a read's attempt: a target that hangs would else use up the
// whole deadline, and the caller get no answer that another target could give.
func (r *router) patienceFor(row *topology.Group, id topology.TargetID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.group(row).estimate(id)
	queueing := time.Duration(e.queue+e.inFlight) * e.service
	return max(leastPatience, patience*e.latency+2*queueing)
}

// attempt sends the request to one pooler.
func (s *caller) attempt(ctx context.Context, req *request, d destination, inTransaction bool) (*peerpb.ExecuteResponse, *result.Error) {
	row := s.server.o.View.Group(req.group)
	begun := s.server.router.sent(row, d.target)
	resp, failure := s.hop(ctx, req, d, inTransaction)
	if failure != nil {
		s.server.router.failed(row, d.target, failure)
		return nil, failure
	}
	s.server.router.answered(row, d, begun, reply{
		position: peers.Position(resp.Position),
		queue:    int(resp.QueueLength),
		queued:   time.Duration(resp.QueueUs) * time.Microsecond,
		ran:      time.Duration(resp.RunUs) * time.Microsecond,
	})
	s.noteTransaction(req, d, byte(resp.TxStatus))
	s.measureServed(req, d)
	return resp, nil
}

// hop carries the request to the pooler's VM and its answer back.
func (s *caller) hop(ctx context.Context, req *request, d destination, inTransaction bool) (*peerpb.ExecuteResponse, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.server.hops.add(req.group, d.term, cancel)()
	msg := s.message(ctx, req, d, inTransaction)
	resp, err := s.server.o.Peers.Get(d.pooler).Execute(ctx, msg)
	if err != nil {
		return nil, peers.HopResult(d.pooler, err)
	}
	// A late answer of an earlier request on a confused connection would give
	// this caller another's rows.
	if resp.HopId != msg.HopId {
		return nil, result.New(result.InvariantBroken, "answer %d to request %d", resp.HopId, msg.HopId)
	}
	return resp, peers.Result(resp.Failure)
}

func (s *caller) message(ctx context.Context, req *request, d destination, inTransaction bool) *peerpb.ExecuteRequest {
	self := s.server.o.View.Self()
	deadline, _ := ctx.Deadline()
	left := max(0, min(time.Until(deadline).Milliseconds(), math.MaxUint32))
	return &peerpb.ExecuteRequest{
		HopId:            s.server.hopID.Add(1),
		Entry:            string(self.ID),
		EntryIncarnation: uint64(self.Incarnation),
		Group:            string(req.group),
		Target:           string(d.target),
		Term:             d.term,
		Member:           s.options.member,
		Service:          s.options.service,
		Class:            req.class.Name,
		CallerRequestId:  s.options.requestID,
		Session:          s.options.session,
		DeadlineMs:       uint32(left),
		Floor:            peers.PositionTo(d.floor),
		FloorWaitMs:      uint32(floorWait.Milliseconds()),
		Transaction:      s.number,
		InTransaction:    inTransaction,
		Messages:         req.messages,
		Write:            req.class.Kind == config.Write,
		Syncs:            req.syncs,
	}
}

// noteTransaction remembers where the session's open transaction runs.
func (s *caller) noteTransaction(req *request, d destination, status byte) {
	if status == pgwire.Idle {
		s.tx = nil
		return
	}
	s.tx = &transaction{
		group:  req.group,
		target: d.target,
		pooler: d.pooler,
		term:   d.term,
		write:  req.class.Kind == config.Write,
	}
}

// releaseTimeout bounds the message that frees a transaction; its pooler frees
// it by itself after the idle time-out when the message is lost.
const releaseTimeout = time.Second

// releaseTransaction frees the connection of a transaction that the session
// leaves open.
func (s *caller) releaseTransaction() {
	if s.tx == nil {
		return
	}
	tx := s.tx
	s.tx = nil
	self := s.server.o.View.Self()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := s.server.o.Peers.Get(tx.pooler).Release(ctx, &peerpb.ReleaseRequest{
		Entry:            string(self.ID),
		EntryIncarnation: uint64(self.Incarnation),
		Target:           string(tx.target),
		Transaction:      s.number,
	})
	if err != nil {
		s.server.o.Log.Info("event=release_failed", "target", tx.target, "error", err)
	}
}
