package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// retryPause is the pause between attempts if nothing ran: about the time of one statement.
	retryPause = 10 * time.Millisecond
	// replicaBehindPause is the pause after a replica that lags refused a read. The expected catch-up
	// time tells when to retry, but no more precisely than the time in which a usual commit
	// reaches the replica.
	replicaBehindPause = 5 * time.Millisecond
	// defaultRetryAfter is when a caller whose request found no target in time may retry:
	// most failovers are over within a second.
	defaultRetryAfter = 500 * time.Millisecond
)

// sessionFloor returns the position that a target must hold for the session to read its
// own writes; zero if the class does not require that.
func (r *request) sessionFloor() position.Position {
	if r.class.Reads != directory.OwnWrites {
		return position.Position{}
	}
	r.settleFloors()
	return r.floors.Floor(r.class.Group)
}

// readAnywhere runs a read at the replica or primary that is expected to serve it soonest
// and holds what it must see. A read changes nothing, so it is retried at another target
// when one fails.
func (r *request) readAnywhere() statement.Answer {
	if r.server.AvoidOutliers {
		return r.readBounded()
	}
	var last, busy *result.Error
	tried := map[topology.TargetID]bool{}
	for r.hasTime() && r.ctx.Err() == nil {
		c, failure := r.server.router.chooseRead(&r.class, r.sessionFloor(), r.maxWait(), tried)
		if failure != nil {
			last = failure
			if r.server.Rights.CutOff() || r.ageMissingForLong(failure) || r.server.router.noTargetSoon(&r.class, failure, needTarget) {
				break
			}
			if busy != nil && r.maxWaitOver() {
				last = busy
				break
			}
			r.beforeNextRead(failure, tried)
			continue
		}
		r.server.router.recordFound(r.class.Group, needAge)
		r.pause(c.catchUp)
		answer, failure := r.readAt(c)
		if failure == nil {
			return answer
		}
		last = failure
		if failure.Code == result.DeadlineExceeded {
			break
		}
		if overloaded(failure) {
			busy = failure
		}
		r.excludeTarget(c, failure, answer.Position, tried)
	}
	return statement.Fail(withRetryAfter(last), r.state())
}

// ageMissingForLong reports whether the age of the data has been unknown for longer than longOutage and is
// not expected to become known. With a right for the primary the request first asks for a position itself:
// where requests are rare, the last one that could not show an age may date from an outage that has ended.
func (r *request) ageMissingForLong(failure *result.Error) bool {
	if failure.Code != result.AgeNotShown {
		return false
	}
	if !r.server.router.recordMissing(r.class.Group, needAge) {
		return false
	}
	_, held := r.server.Rights.Right(r.class.Group)
	asked := r.askedPosition
	r.askedPosition = true
	return asked || !held
}

// maxWaitShare is the share of its class's objective during which a request is retried at
// targets that refuse it because of their load. It is meant for a lasting overload: targets
// serve the same number of requests whatever their age, so requests that go on retrying
// displace others that would still be answered in time. A request that is accepted waits
// about as long again in the target's own queue.
const maxWaitShare = 0.5

// maxWaitOver reports whether the request has been retried for too long to meet its class's objective.
func (r *request) maxWaitOver() bool {
	return r.class.Objective > 0 && r.maxWait() == 0
}

// maxWait returns for how long the request may still be retried, or wait, to meet its class's objective.
func (r *request) maxWait() time.Duration {
	maxWait := time.Duration(maxWaitShare * float64(r.class.Objective))
	return max(0, maxWait-r.server.Clock.Now().Sub(r.begun))
}

// overloaded reports whether a target refused the request because of its load.
func overloaded(e *result.Error) bool {
	switch e.Code {
	case result.QueueFull, result.DeadlineInQueue, result.TargetBusy:
		return true
	}
	return false
}

// excludeTarget excludes a target that failed from further attempts, unless it is a replica that lags and
// is expected to catch up: then the next attempt goes to it or to the primary, whichever is sooner.
func (r *request) excludeTarget(c choice, failure *result.Error, holds position.Position, tried map[topology.TargetID]bool) {
	if failure.Code == result.ReplicaBehind && r.server.router.recordReplicaBehind(r.class.Group, c, holds) > 0 {
		r.pause(replicaBehindPause)
		return
	}
	tried[c.pool.Target().ID] = true
}

// beforeNextRead waits for what the read needs: a position of the primary, or targets
// that were tried and may serve again.
func (r *request) beforeNextRead(failure *result.Error, tried map[topology.TargetID]bool) {
	if failure.Code == result.AgeNotShown {
		r.server.router.awaitSample(r.ctx, r.class.Group)
		r.pause(time.Millisecond)
		return
	}
	clear(tried)
	r.pause(retryPause)
}

func (r *request) pause(d time.Duration) { wait.For(r.ctx, d) }

// readAt runs the read at one target. The target itself refuses it if its log has not
// reached the floor.
func (r *request) readAt(c choice) (statement.Answer, *result.Error) {
	t := c.pool.Target()
	r.recordTarget(t.ID)
	link, failure := r.acquire(c.pool)
	if failure != nil {
		return statement.Answer{}, failure
	}
	defer link.Release()
	answer, err := r.run(link, c.floor, returnRefusal)
	if err != nil {
		return answer, r.connectionFailure(t.ID, err)
	}
	if answer.Failure != nil {
		return answer, answer.Failure
	}
	r.server.router.recordPosition(r.class.Group, t.ID, answer.Position)
	answer.State = r.state()
	return answer, nil
}

// overloadPolicy is what to do when a target refuses a statement because of its load.
type overloadPolicy bool

const (
	// retryInPlace sends the statement again on the same connection.
	retryInPlace overloadPolicy = true
	// returnRefusal returns the refusal as the answer.
	returnRefusal overloadPolicy = false
)

// run sends the statement over a connection after setting the session's values on it.
func (r *request) run(link *target.Link, after position.Position, p overloadPolicy) (statement.Answer, error) {
	wallDeadline := r.wallDeadline()
	if err := link.ApplyValues(wallDeadline, r.context.Values()); err != nil {
		return statement.Answer{}, notSent{err}
	}
	cmd := target.Command{Kind: target.Caller, ID: r.st.ID, Text: r.st.Text, After: after, Insist: p == retryInPlace}
	if r.st.Kind == statement.Execute {
		name, err := link.EnsurePrepared(wallDeadline, r.prepared)
		if err != nil {
			return statement.Answer{}, notSent{err}
		}
		cmd.Kind, cmd.Name, cmd.Value = target.Execute, name, r.st.Arguments
	}
	begun := r.server.Clock.Now()
	answer, err := link.Run(wallDeadline, cmd)
	if answer.Failure != nil && answer.Failure.Code == result.UnknownStatement {
		err = notSent{result.New(result.TargetUnreachable, "%s has forgotten a prepared statement", r.target)}
	}
	if succeeded := err == nil && answer.Failure == nil; succeeded && answer.State != r.st.Kind.StateAfter(r.tx != nil) {
		link.Discard()
		err = errWrongState
	}
	r.recordAnswer(begun, answer, err)
	return answer, err
}

// errWrongState is the failure of a statement that ran outside its transaction, or in one though it has none.
var errWrongState = errors.New("gateway: wrong transaction state at the target")

// notSent is a failure before the caller's statement was sent, or one that proves that it has not run.
type notSent struct{ error }

func (e notSent) Unwrap() error { return e.error }

// withRetryAfter returns the failure, with a time to retry after if nothing has run. Without a
// failure it returns DeadlineInQueue.
func withRetryAfter(e *result.Error) *result.Error {
	if e == nil {
		return result.New(result.DeadlineInQueue, "no target in time").After(defaultRetryAfter)
	}
	if e.Ran == result.NotRun && e.RetryAfter == 0 {
		return e.After(defaultRetryAfter)
	}
	return e
}
