package gateway

import (
	"errors"
	"os"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// atPrimary runs a single statement at the primary. A write is retried only if it
// certainly has not run; a read is retried also if it may have run.
func (r *request) atPrimary() statement.Answer {
	var last *result.Error
	for r.hasTime() && r.ctx.Err() == nil {
		answer, failure := r.tryPrimary()
		if failure == nil {
			return answer
		}
		last = failure
		if failure.Code == result.NoRight && (r.server.Rights.CutOff() || r.server.router.recordMissing(r.class.Group, needRight)) {
			break
		}
		if overloaded(failure) && r.maxWaitOver() || r.server.router.noTargetSoon(&r.class, failure, needPrimary) {
			break
		}
		if r.writes && failure.Ran != result.NotRun || failure.Code == result.DeadlineExceeded {
			return statement.Fail(failure, statement.Idle)
		}
		if !r.pauseBetweenAttempts(failure) {
			break
		}
	}
	return statement.Fail(r.retryAfterLoad(last), statement.Idle)
}

func (r *request) tryPrimary() (statement.Answer, *result.Error) {
	right, pool, failure := r.primary()
	if failure != nil {
		return statement.Answer{}, failure
	}
	link, failure := r.acquire(pool)
	if failure != nil {
		return statement.Answer{}, failure
	}
	defer link.Release()
	r.server.router.recordFound(r.class.Group, needPrimary)
	if !r.server.Rights.Confirm(right) {
		return statement.Answer{}, noRight(right)
	}
	begun, heldBefore := r.server.Clock.Now(), r.server.router.newest(r.class.Group)
	answer, err := r.run(link, position.Position{}, returnRefusal)
	if err != nil {
		return answer, r.connectionFailure(right.Primary, err)
	}
	if answer.Failure != nil {
		return answer, answer.Failure
	}
	if answer.Position.Less(heldBefore) {
		return answer, r.lostLogFailure(right, answer.Position, heldBefore)
	}
	if failure := r.acknowledge(right, begun, answer.Position); failure != nil {
		return answer, failure
	}
	return answer, nil
}

// primary waits for the right to acknowledge for the group's primary, and returns it
// with the primary's pool.
func (r *request) primary() (lease.Right, *target.Pool, *result.Error) {
	right, ok := r.right()
	if !ok {
		return right, nil, result.New(result.NoRight, "group %s", r.class.Group).After(defaultRetryAfter)
	}
	r.recordTarget(right.Primary)
	pool, ok := r.server.Pools.Get(right.Primary)
	if !ok {
		return right, nil, result.New(result.NoPrimary, "%s is not registered", right.Primary).After(defaultRetryAfter)
	}
	return right, pool, nil
}

// right returns the right for the group's primary. It waits for the right, unless rights for the
// group have been unavailable for longer than longOutage.
func (r *request) right() (lease.Right, bool) {
	group, router := r.class.Group, r.server.router
	right, ok := r.server.Rights.Right(group)
	if !ok && !router.recordMissing(group, needRight) {
		right, ok = r.server.Rights.Await(r.ctx, group)
	}
	if ok {
		router.recordFound(group, needRight)
	}
	return right, ok
}

func noRight(r lease.Right) *result.Error {
	return result.New(result.NoRight, "it ended for %s in term %d", r.Primary, r.Term)
}

// lostLogFailure logs and returns the failure of a request whose primary holds less than it did before the
// request was sent.
//
// A database that restarts under the same ID without its log accepts connections before its registration
// shows the restart, and reads at the primary carry no position to check. Positions of one term only rise,
// so a lower one proves the loss.
func (r *request) lostLogFailure(right lease.Right, holds, heldBefore position.Position) *result.Error {
	r.server.Log.Warn("event=primary_lost_log", "request", r.st.ID, "group", right.Group, "target", right.Primary,
		"holds", holds, "held_before", heldBefore)
	if r.writes {
		return result.New(result.OutcomeUnknown, "%s holds less than it did", right.Primary)
	}
	return noRight(right)
}

// acknowledge returns nil if the success may be reported to the caller. The right is
// checked after the answer has arrived: if it has ended, there may be another primary
// by now, and the commit may be among those that are rolled back.
func (r *request) acknowledge(right lease.Right, begun mono.Time, p position.Position) *result.Error {
	if failure := r.confirm(right, p); failure != nil {
		return failure
	}
	r.server.router.recordPrimaryPosition(right, begun, p)
	if r.writes {
		r.floors.Raise(right.Group, p)
	}
	return nil
}

// confirm returns nil if a read or a commit at the position may be acknowledged.
func (r *request) confirm(right lease.Right, p position.Position) *result.Error {
	if r.writes {
		if err := r.server.Rights.ConfirmCommit(r.ctx, right, p); err != nil {
			return result.New(result.OutcomeUnknown, "%s: %v", right.Primary, err)
		}
		return nil
	}
	if !r.server.Rights.Confirm(right) {
		return noRight(right)
	}
	return nil
}

// connectionFailure returns the failure for an error on a target's connection. A statement that
// was sent may have run.
func (r *request) connectionFailure(id topology.TargetID, err error) *result.Error {
	var before notSent
	if errors.As(err, &before) {
		e := result.From(before.error)
		if e.Code == result.Internal || e.Ran != result.NotRun {
			e = result.New(result.TargetUnreachable, "%s: %v", id, err)
		}
		return e
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "%s did not answer in time", id)
	}
	return result.New(result.OutcomeUnknown, "the connection to %s broke: %v", id, err)
}

// recordTarget records the target of an attempt, for the log.
func (r *request) recordTarget(id topology.TargetID) {
	r.target = id
	r.attempts++
}

// log counts the request, and logs it if it failed or exceeded its class's objective.
func (r *request) log(a statement.Answer) {
	took := r.server.Clock.Now().Sub(r.begun)
	r.server.Metrics.Request(string(r.class.Group), r.class.Name, a.Failure, took)
	r.server.Customers.Request(r.customer, a.Failure, took)
	r.server.Refusals.Request(r.target, a.Failure)
	if a.Failure == nil && took <= r.class.Objective {
		return
	}
	row := r.server.Rights.Row(r.class.Group)
	var version, term uint64
	if row != nil {
		version, term = row.Version, row.Term
	}
	args := []any{
		"request", r.st.ID, "session", r.number, "customer", r.customer, "class", r.class.Name, "group", r.class.Group, "kind", r.st.Kind,
		"in_transaction", r.tx != nil, "target", r.target, "attempts", r.attempts, "took", took.Round(time.Millisecond),
		"waited", r.waited.Round(time.Millisecond),
		"row_version", version, "term", term,
	}
	if a.Failure == nil {
		r.server.Log.Info("event=request_late", args...)
		return
	}
	args = append(args, "code", int(a.Failure.Code), "result", a.Failure.Code.Name(), "ran", a.Failure.Ran.String(),
		"retry_after", a.Failure.RetryAfter, "detail", a.Failure.Detail)
	r.server.Log.Info("event=request_failed", args...)
}
