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

// atPrimary runs a single statement at the primary. It is tried again while it is
// proved that it has not run, and a read also when that is not known.
func (r *request) atPrimary() statement.Answer {
	var last *result.Error
	for r.left(sendReserve) && r.ctx.Err() == nil {
		answer, failure := r.tryPrimary()
		if failure == nil {
			return answer
		}
		last = failure
		if failure.Code == result.NoRight && (r.server.Rights.CutOff() || r.server.router.lacks(r.class.Group, needRight)) {
			break
		}
		if overloaded(failure) && r.hopeless() || r.server.router.lacksTarget(&r.class, failure, needPrimary) {
			break
		}
		if r.writes && failure.Ran != result.NotRun || failure.Code == result.DeadlineExceeded {
			return statement.Fail(failure, statement.Idle)
		}
		r.pause(retryPause)
	}
	return statement.Fail(refuse(last), statement.Idle)
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
	r.server.router.has(r.class.Group, needPrimary)
	if !r.server.Rights.Confirm(right) {
		return statement.Answer{}, noRight(right)
	}
	begun, held := r.server.Clock.Now(), r.server.router.newest(r.class.Group)
	answer, err := r.run(link, position.Position{}, yields)
	if err != nil {
		return answer, r.lost(right.Primary, err)
	}
	if answer.Failure != nil {
		return answer, answer.Failure
	}
	if answer.Position.Less(held) {
		return answer, r.lostLog(right, answer.Position, held)
	}
	if failure := r.acknowledge(right, begun, answer.Position); failure != nil {
		return answer, failure
	}
	return answer, nil
}

// primary waits for the right to acknowledge at the group's primary.
func (r *request) primary() (lease.Right, *target.Pool, *result.Error) {
	right, ok := r.right()
	if !ok {
		return right, nil, result.New(result.NoRight, "group %s", r.class.Group).After(comeBack)
	}
	r.note(right.Primary)
	pool, ok := r.server.Pools.Get(right.Primary)
	if !ok {
		return right, nil, result.New(result.NoPrimary, "%s is not registered", right.Primary).After(comeBack)
	}
	return right, pool, nil
}

// right returns the right for the group's primary, and waits for it unless it has been lacking for
// long.
func (r *request) right() (lease.Right, bool) {
	group, router := r.class.Group, r.server.router
	right, ok := r.server.Rights.Right(group)
	if !ok && !router.lacks(group, needRight) {
		right, ok = r.server.Rights.Await(r.ctx, group)
	}
	if ok {
		router.has(group, needRight)
	}
	return right, ok
}

func noRight(r lease.Right) *result.Error {
	return result.New(result.NoRight, "it ended for %s in term %d", r.Primary, r.Term)
}

// lostLog is the failure of a request whose primary holds less than it did before the request was
// sent.
//
// A database that starts again under its id without its log takes connections before its registration tells
// of the start, and reads at the primary carry no position to check. Positions of one term only rise, so a
// lower one proves the loss.
func (r *request) lostLog(right lease.Right, holds, held position.Position) *result.Error {
	r.server.Log.Warn("event=primary_lost_log", "request", r.st.ID, "group", right.Group, "target", right.Primary,
		"holds", holds, "held", held)
	if r.writes {
		return result.New(result.OutcomeUnknown, "%s holds less than it did", right.Primary)
	}
	return noRight(right)
}

// acknowledge reports whether the caller may be told of a success. The right is
// looked at after the answer came: if it has ended, another primary may lead by
// now, and the commit may be among what is rolled back.
func (r *request) acknowledge(right lease.Right, begun mono.Time, p position.Position) *result.Error {
	if !r.server.Rights.Confirm(right) {
		if r.writes {
			return result.New(result.OutcomeUnknown, "the right for %s ended while it ran", right.Primary)
		}
		return noRight(right)
	}
	r.server.router.learnPrimary(right, begun, p)
	if r.writes {
		r.floors.Raise(right.Group, p)
	}
	return nil
}

// lost turns a lost connection into a result: what was sent may have run.
func (r *request) lost(id topology.TargetID, err error) *result.Error {
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

// note remembers where the request went, for the log.
func (r *request) note(id topology.TargetID) {
	r.target = id
	r.targets++
}

// log writes one line for a request that failed or was late, and counts every one.
func (r *request) log(a statement.Answer) {
	took := r.server.Clock.Now().Sub(r.begun)
	r.server.Metrics.Request(string(r.class.Group), r.class.Name, a.Failure, took)
	r.server.Customers.Request(r.customer, a.Failure, took)
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
		"in_transaction", r.tx != nil, "target", r.target, "attempts", r.targets, "took", took.Round(time.Millisecond),
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
