package entry

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/wait"
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
	s.beginFlight(cancel)
	defer s.endFlight()
	if s.tx != nil {
		return s.continueTransaction(ctx, req)
	}
	deadline := s.server.deadline(ctx)
	policy := retry.DefaultPolicy()
	reached := 0
	for attempt := 1; ; attempt++ {
		resp, failure := s.tryInTurn(ctx, req)
		if failure == nil {
			return resp, nil
		}
		if stopped := s.cancelled(failure); stopped != nil {
			return nil, stopped
		}
		if reachedTarget(failure) {
			reached++
		}
		if reached >= req.class.MaxAttempts {
			return nil, final(failure, req)
		}
		outcome := retry.FailedAttempt{Attempt: attemptsThatCount(req, failure, attempt, reached), Err: failure, Member: s.options.member}
		decision := s.server.router.next(policy, outcome, retryClass(req.class), deadline)
		if decision.Err != nil {
			return nil, decision.Err
		}
		s.server.o.Metrics.Retry(s.options.member, req.class.Name)
		s.server.o.Log.Debug("event=retry", "class", req.class.Name, "attempt", attempt, "failure", failure)
		if !waitForNext(ctx, req, failure, min(decision.After, longestPauseOf(req, attempt))) {
			return nil, final(failure, req)
		}
	}
}

// longestPause bounds the wait for a group's row to change: the row may come at
// any moment, and then the next attempt finds the new primary.
const longestPause = 50 * time.Millisecond

const (
	// quickTries of a read go to other targets almost at once: what failed at
	// one of them says nothing of the next. A few, as a group has few targets.
	quickTries = 3
	quickPause = 2 * time.Millisecond
)

func longestPauseOf(req *request, attempt int) time.Duration {
	if req.class.Kind == config.Read && attempt <= quickTries {
		return quickPause
	}
	return longestPause
}

// waitForNext pauses before the next attempt; false when the time is up. A write
// whose primary takes none does not: it waits for its turn in awaitPrimary. A
// read has no such turn and would spend its attempts within milliseconds.
func waitForNext(ctx context.Context, req *request, failure *result.Error, d time.Duration) bool {
	if req.class.Kind == config.Write && interrupts(failure) {
		return true
	}
	return wait.For(ctx, d)
}

// attemptsThatCount leaves out a write's attempts that found nobody to run them:
// awaitPrimary paces these, one each 20 ms, and the policy's 200 would be spent
// after 4 s of a failover though the write's deadline is minutes away.
func attemptsThatCount(req *request, failure *result.Error, attempt, reached int) int {
	if req.class.Kind == config.Write && interrupts(failure) {
		return reached + 1
	}
	return attempt
}

// reachedTarget tells attempts that count against the class's limit from those
// that found nobody to run them.
func reachedTarget(failure *result.Error) bool {
	return !interrupts(failure) && failure.Code != result.AgeNotShown && failure.Code != result.ReplicaBehind
}

// final is the answer when no further attempt is made. A write of unknown outcome
// that may not run twice has no time to come back.
func final(failure *result.Error, req *request) *result.Error {
	if failure.Ran == result.Unknown && req.class.Kind == config.Write && !req.class.Repeatable {
		return result.New(result.OutcomeUnknown, "%s: %s", failure.Code.Name(), failure.Detail)
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
	hopCtx, cancel := context.WithTimeout(ctx, s.server.router.patienceFor(row, d.target))
	defer cancel()
	resp, failure := s.attempt(hopCtx, req, d, false)
	if failure != nil {
		return nil, failure
	}
	accepted, failure := s.accept(ctx, req, row, resp)
	if failure != nil {
		s.releaseTransaction()
	}
	return accepted, failure
}

// continueTransaction runs the request where its transaction is open.
func (s *caller) continueTransaction(ctx context.Context, req *request) (*peerpb.ExecuteResponse, *result.Error) {
	row := s.server.o.View.Group(req.group)
	d := destination{target: s.tx.target, pooler: s.tx.pooler, term: s.tx.term}
	resp, failure := s.attempt(ctx, req, d, true)
	if failure != nil {
		if stopped := s.cancelled(failure); stopped != nil {
			return nil, stopped
		}
		return nil, failure
	}
	if req.class.Kind == config.Write {
		return resp, nil
	}
	return s.accept(ctx, req, row, resp)
}

// need tells what a target must hold to answer the request.
func (s *caller) need(ctx context.Context, req *request, row *topology.Group) (routing.Request, *result.Error) {
	floor, err := s.session.ReadFloor(row)
	if err != nil {
		// A write, too: its transaction may read, and would miss the lost one.
		return routing.Request{}, result.From(err)
	}
	if req.class.Kind == config.Write {
		return routing.Request{Write: true}, nil
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
	s.noteTransaction(req, d, resp)
	s.measureServed(req, d)
	return resp, nil
}

// hop carries the request to the pooler's VM and its answer back.
func (s *caller) hop(ctx context.Context, req *request, d destination, inTransaction bool) (*peerpb.ExecuteResponse, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.server.hops.add(req.group, d.term, cancel)()
	if failure := s.server.loads.takeHop(d.pooler.ID); failure != nil {
		return nil, failure
	}
	defer s.server.loads.hops.give(d.pooler.ID)
	msg := s.message(ctx, req, d, inTransaction)
	defer s.endHop()
	if !s.beginHop(d.pooler, msg) {
		e := result.New(result.Cancelled, "it has not run")
		e.Ran = result.NotRun
		return nil, e
	}
	ctx, unwatch := s.watchHop(ctx, d.pooler, msg)
	defer unwatch()
	if log := s.server.o.Log; log != nil && log.Enabled(ctx, slog.LevelDebug) {
		log.Debug("event=hop", "entry", msg.Entry, "hop", msg.HopId, "vm", d.pooler.ID, "target", msg.Target, "class", msg.Class)
	}
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
	hopID := s.server.hopID.Add(1)
	number := hopID // of the transaction that the request may open
	if s.tx != nil {
		number = s.tx.number
	}
	left := max(0, min(time.Until(deadline).Milliseconds(), math.MaxUint32))
	return &peerpb.ExecuteRequest{
		HopId:            hopID,
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
		Transaction:      number,
		InTransaction:    inTransaction,
		Repeatable:       req.repeats,
		Messages:         req.messages,
		Write:            req.class.Kind == config.Write,
		Syncs:            req.syncs,
	}
}
