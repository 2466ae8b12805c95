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
	// floorWait bounds the wait for a replica that is behind the floor.
	floorWait = 20 * time.Millisecond
	// readTimeoutFactor is the time-out of a read's attempt, without queueing, as a
	// multiple of the target's average latency, and minReadTimeout is the lower
	// bound of that time-out. After it the read tries another target.
	readTimeoutFactor = 8
	minReadTimeout    = 250 * time.Millisecond
)

// route sends the request to a target that may execute it, retries as its class
// permits, and returns the complete answer.
func (s *callerSession) route(req *request) (*peerpb.ExecuteResponse, *result.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), req.class.Deadline.Std())
	defer cancel()
	s.beginRequest(cancel)
	defer s.endRequest()
	if s.tx != nil {
		return s.continueTransaction(ctx, req)
	}
	deadline := s.server.deadline(ctx)
	policy := retry.DefaultPolicy()
	reached := 0
	for attempt := 1; ; attempt++ {
		resp, failure := s.tryWhenWritable(ctx, req)
		if failure == nil {
			return resp, nil
		}
		if cancellation := s.cancelled(failure); cancellation != nil {
			return nil, cancellation
		}
		if reachedTarget(failure) {
			reached++
		}
		if reached >= req.class.MaxAttempts {
			return nil, finalError(failure, req)
		}
		failed := retry.FailedAttempt{Attempt: countedAttempts(req, failure, attempt, reached), Err: failure, Member: s.options.member}
		decision := s.server.router.decideRetry(policy, failed, retryClass(req.class), deadline)
		if decision.Err != nil {
			return nil, decision.Err
		}
		s.server.o.Metrics.Retry(s.options.member, req.class.Name)
		s.server.o.Log.Debug("event=retry", "class", req.class.Name, "attempt", attempt, "failure", failure)
		if !waitForNext(ctx, req, failure, min(decision.After, maxRetryPauseOf(req, attempt))) {
			return nil, finalError(failure, req)
		}
	}
}

// maxRetryPause bounds the pause between attempts. A newer row of the group may
// arrive at any moment, and the next attempt then uses the new primary.
const maxRetryPause = 50 * time.Millisecond

const (
	// fastRetries is the number of retries of a read that follow after only
	// fastRetryPause, since a failure at one target does not predict a failure at the
	// next. It is small because a group has few targets.
	fastRetries    = 3
	fastRetryPause = 2 * time.Millisecond
)

func maxRetryPauseOf(req *request, attempt int) time.Duration {
	if req.class.Kind == config.Read && attempt <= fastRetries {
		return fastRetryPause
	}
	return maxRetryPause
}

// waitForNext pauses before the next attempt. It returns false when ctx is done. A
// write whose primary accepts no writes skips the pause, as awaitPrimary paces it.
// Nothing else paces reads: without the pause, a read would use up its attempts
// within milliseconds.
func waitForNext(ctx context.Context, req *request, failure *result.Error, d time.Duration) bool {
	if req.class.Kind == config.Write && primaryUnavailable(failure) {
		return true
	}
	return wait.For(ctx, d)
}

// countedAttempts returns the number of attempts for the retry policy. It leaves
// out a write's attempts that found no primary to execute them: awaitPrimary paces
// these at one per 20 ms, so that the policy's limit of 200 would be reached after
// 4 s of a failover although the write's deadline may be minutes away.
func countedAttempts(req *request, failure *result.Error, attempt, reached int) int {
	if req.class.Kind == config.Write && primaryUnavailable(failure) {
		return reached + 1
	}
	return attempt
}

// reachedTarget reports whether the attempt counts against the class's limit.
// Attempts that found no target to execute them do not.
func reachedTarget(failure *result.Error) bool {
	return !primaryUnavailable(failure) && failure.Code != result.AgeNotShown && failure.Code != result.ReplicaBehind
}

// finalError returns the error for the caller when no further attempt is made. A
// write of unknown outcome that must not run twice carries no retry time.
func finalError(failure *result.Error, req *request) *result.Error {
	if failure.Ran == result.Unknown && req.class.Kind == config.Write && !req.class.Repeatable {
		return result.New(result.OutcomeUnknown, "%s: %s", failure.Code.Name(), failure.Detail)
	}
	if failure.RetryAfter == 0 && failure.Ran == result.NotRun {
		return failure.After(defaultRetryAfter)
	}
	return failure
}

// retryClass returns the class as the retry policy sees it. The callers of a
// repeatable class guarantee that a second execution does no harm. Requests of other
// write classes are recorded in the ledger and never sent twice.
func retryClass(c config.Class) retry.Class {
	return retry.Class{
		Name:       c.Name,
		Read:       c.Kind == config.Read,
		Repeatable: c.Repeatable,
		Ledger:     c.Repeatable,
	}
}

// deadline converts the context's deadline to monotonic time.
func (s *Server) deadline(ctx context.Context) mono.Time {
	at, _ := ctx.Deadline() // route always sets one.
	return s.o.Clock.Now().Add(time.Until(at))
}

// tryWhenWritable makes one attempt. A write first waits while its group's primary
// accepts no writes.
func (s *callerSession) tryWhenWritable(ctx context.Context, req *request) (*peerpb.ExecuteResponse, *result.Error) {
	if req.class.Kind != config.Write {
		return s.try(ctx, req)
	}
	if failure := s.server.router.awaitPrimary(ctx, req.group); failure != nil {
		return nil, failure
	}
	resp, failure := s.try(ctx, req)
	s.server.router.recordWriteResult(req.group, failure)
	return resp, failure
}

// try makes one attempt at a target that meets the request's requirements.
func (s *callerSession) try(ctx context.Context, req *request) (*peerpb.ExecuteResponse, *result.Error) {
	row := s.server.o.View.Group(req.group)
	if row == nil {
		return nil, result.New(result.NoPrimary, "%s", req.group).After(defaultRetryAfter)
	}
	if b := s.server.o.Baseline; b != "" {
		d, failure := s.server.router.chooseBaseline(b, row, req.class.Kind == config.Write)
		if failure != nil {
			return nil, failure
		}
		return s.attempt(ctx, req, d, false)
	}
	requirements, failure := s.requirements(ctx, req, row)
	if failure != nil {
		return nil, failure
	}
	d, failure := s.server.router.choose(row, requirements)
	if failure != nil && failure.Code == result.AgeNotShown {
		d, failure = s.chooseWithSample(ctx, row, requirements)
	}
	if failure != nil {
		return nil, failure
	}
	if requirements.Write {
		return s.attempt(ctx, req, d, false)
	}
	hopCtx, cancel := context.WithTimeout(ctx, s.server.router.readTimeout(row, d.target))
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

// continueTransaction sends the request to the target of its open transaction.
func (s *callerSession) continueTransaction(ctx context.Context, req *request) (*peerpb.ExecuteResponse, *result.Error) {
	row := s.server.o.View.Group(req.group)
	d := destination{target: s.tx.target, pooler: s.tx.pooler, term: s.tx.term}
	resp, failure := s.attempt(ctx, req, d, true)
	if failure != nil {
		if cancellation := s.cancelled(failure); cancellation != nil {
			return nil, cancellation
		}
		return nil, failure
	}
	if req.class.Kind == config.Write {
		return resp, nil
	}
	return s.accept(ctx, req, row, resp)
}

// requirements returns what a target must fulfil to answer the request.
func (s *callerSession) requirements(ctx context.Context, req *request, row *topology.Group) (routing.Request, *result.Error) {
	floor, err := s.session.ReadFloor(row)
	if err != nil {
		// This applies to writes too: their transactions may read, and would
		// miss the lost write.
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
	// The newest position covers all writes that were acknowledged before the
	// fetch began. So a target that has applied it returns an up-to-date result.
	return routing.Request{Staleness: routing.AnyAge, Floor: position.Max(floor.Position, got.newest)}, nil
}

// chooseWithSample fetches the primary's position and then chooses a target. It is
// used when no sample is recent enough to prove a replica's staleness, as the group
// had no traffic lately.
func (s *callerSession) chooseWithSample(ctx context.Context, row *topology.Group, requirements routing.Request) (destination, *result.Error) {
	if _, failure := s.server.router.fetchFloor(ctx, row.ID, ""); failure != nil {
		return destination{}, failure
	}
	d, failure := s.server.router.choose(row, requirements)
	return d, failure
}

// readTimeout returns the time-out of a read's attempt. Without it a target that
// hangs would use up the request's whole deadline, although another target could
// answer.
func (r *router) readTimeout(row *topology.Group, id topology.TargetID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.group(row).estimate(id)
	queueing := time.Duration(e.queue+e.inFlight) * e.service
	return max(minReadTimeout, readTimeoutFactor*e.latency+2*queueing)
}

// attempt sends the request to one pooler and records the result in the router's
// estimates.
func (s *callerSession) attempt(ctx context.Context, req *request, d destination, inTransaction bool) (*peerpb.ExecuteResponse, *result.Error) {
	row := s.server.o.View.Group(req.group)
	begun := s.server.router.sent(row, d.target)
	resp, failure := s.hop(ctx, req, d, inTransaction)
	if failure != nil {
		s.server.router.failed(row, d.target, failure)
		return nil, failure
	}
	s.server.router.answered(row, d, begun, answerInfo{
		position: peers.Position(resp.Position),
		queue:    int(resp.QueueLength),
		queued:   time.Duration(resp.QueueUs) * time.Microsecond,
		ran:      time.Duration(resp.RunUs) * time.Microsecond,
	})
	s.noteTransaction(req, d, resp)
	s.recordReadServed(req, d)
	return resp, nil
}

// hop sends the request to the pooler's VM and returns its answer.
func (s *callerSession) hop(ctx context.Context, req *request, d destination, inTransaction bool) (*peerpb.ExecuteResponse, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.server.hops.add(req.group, d.term, cancel)()
	if failure := s.server.limiter.acquireHop(d.pooler.ID); failure != nil {
		return nil, failure
	}
	defer s.server.limiter.hops.release(d.pooler.ID)
	msg := s.newExecuteRequest(ctx, req, d, inTransaction)
	defer s.endHop()
	if !s.beginHop(d.pooler, msg) {
		e := result.New(result.Cancelled, "it has not run")
		e.Ran = result.NotRun
		return nil, e
	}
	ctx, stopWatch := s.watchHop(ctx, d.pooler, msg)
	defer stopWatch()
	if log := s.server.o.Log; log != nil && log.Enabled(ctx, slog.LevelDebug) {
		log.Debug("event=hop", "entry", msg.Entry, "hop", msg.HopId, "vm", d.pooler.ID, "target", msg.Target, "class", msg.Class)
	}
	resp, err := s.server.o.Peers.Get(d.pooler).Execute(ctx, msg)
	if err != nil {
		return nil, peers.HopResult(d.pooler, err)
	}
	// A late answer to an earlier request on a connection that is out of step
	// would give this caller the rows of another.
	if resp.HopId != msg.HopId {
		return nil, result.New(result.InvariantBroken, "answer %d to request %d", resp.HopId, msg.HopId)
	}
	return resp, peers.Result(resp.Failure)
}

func (s *callerSession) newExecuteRequest(ctx context.Context, req *request, d destination, inTransaction bool) *peerpb.ExecuteRequest {
	self := s.server.o.View.Self()
	deadline, _ := ctx.Deadline()
	hopID := s.server.hopID.Add(1)
	number := hopID // id of the transaction, in case the request opens one
	if s.tx != nil {
		number = s.tx.number
	}
	remaining := max(0, min(time.Until(deadline).Milliseconds(), math.MaxUint32))
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
		DeadlineMs:       uint32(remaining),
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
