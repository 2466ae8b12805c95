package gateway

import (
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// pauseBetweenAttempts records a failed attempt and waits before the next one. It reports whether another attempt
// is allowed.
func (r *request) pauseBetweenAttempts(failure *result.Error) bool {
	if !r.server.AvoidOutliers {
		r.pause(retryPause)
		return true
	}
	if !r.retries.Failed(failure.Code) {
		r.server.Outliers.Count(metrics.AttemptsExhausted, r.class.Name)
		return false
	}
	r.pause(r.retries.Backoff(failure.Code, retryPause, sharedRandom{}))
	return true
}

// mayTryAgain reports whether the attempts recorded so far allow another one.
func (r *request) mayTryAgain() bool { return !r.server.AvoidOutliers || r.retries.Left() }

// readBounded is readAnywhere with a limited number of attempts.
func (r *request) readBounded() statement.Answer {
	var answer statement.Answer
	failure := r.tryTargets(func(c choice) (position.Position, *result.Error) {
		var failure *result.Error
		answer, failure = r.readAt(c)
		return answer.Position, failure
	})
	if failure != nil {
		return statement.Fail(r.retryAfterLoad(failure), r.state())
	}
	return answer
}

// attachBounded attaches a transaction that any target may run, with a limited number of attempts.
func (r *request) attachBounded() *result.Error {
	failure := r.tryTargets(func(c choice) (position.Position, *result.Error) {
		r.recordTarget(c.pool.Target().ID)
		return position.Position{}, r.attachTo(c.pool, c.floor)
	})
	if failure == nil {
		return nil
	}
	return r.retryAfterLoad(attachFailure(failure))
}

// retryAfterLoad returns the failure, with a time to retry after if nothing has run. After a refusal because of load
// that is at least the time that a new request would wait for the target that refused it.
func (r *request) retryAfterLoad(e *result.Error) *result.Error {
	known := e != nil && e.RetryAfter > 0
	e = withRetryAfter(e)
	load, ok := r.server.Pools.Load(r.target)
	if !r.server.AvoidOutliers || known || !overloaded(e) || !ok {
		return e
	}
	return e.After(max(e.RetryAfter, load.Queue+load.Latency))
}

// tryTargets calls try with one target after another until it succeeds. It returns the last failure if no target
// served the request, which a target may have run without changing anything. try returns the position that the target
// holds if that is behind.
func (r *request) tryTargets(try func(choice) (position.Position, *result.Error)) *result.Error {
	var last, busy *result.Error
	tried := map[topology.TargetID]bool{}
	for r.hasTime() && r.ctx.Err() == nil {
		maxCatchUp := r.retries.LongestWait(r.sendBy().Sub(r.server.Clock.Now()))
		c, failure := r.server.router.chooseRead(&r.class, r.sessionFloor(), maxCatchUp, tried)
		if failure != nil {
			if refusal := r.noTargetLeft(failure, busy, tried); refusal != nil {
				return refusal
			}
			if last == nil {
				last = failure
			}
			r.beforeNextRead(failure, tried)
			continue
		}
		r.server.router.recordFound(r.class.Group, needAge)
		if !r.awaitReplica(c) {
			tried[c.pool.Target().ID] = true
			continue
		}
		holds, failure := try(c)
		if failure == nil {
			return nil
		}
		last = failure
		if failure.Code == result.DeadlineExceeded {
			break
		}
		if overloaded(failure) {
			busy = failure
			r.retries.Busy(c.primary)
		}
		r.excludeBounded(c, failure, holds, tried)
		if !r.pauseBetweenAttempts(failure) {
			break
		}
	}
	if last == nil {
		return result.New(result.DeadlineInQueue, "no target in time").After(defaultRetryAfter)
	}
	return last
}

// awaitReplica waits for a replica that is behind, and reports whether the request may be sent to the choice.
func (r *request) awaitReplica(c choice) bool {
	if !c.unconfirmed {
		return true
	}
	if !r.retries.Wait(c.expected, r.sendBy().Sub(r.server.Clock.Now())) {
		return false
	}
	if c.expected <= 0 {
		return true
	}
	r.server.Outliers.Count(metrics.ReadWaits, r.class.Name)
	r.pause(c.expected)
	return true
}

// excludeBounded excludes a target from the next attempts, unless it is a replica that is expected to catch up.
func (r *request) excludeBounded(c choice, failure *result.Error, holds position.Position, tried map[topology.TargetID]bool) {
	if failure.Code == result.ReplicaBehind && r.server.router.recordReplicaBehind(r.class.Group, c, holds) > 0 {
		return
	}
	tried[c.pool.Target().ID] = true
}

// noTargetLeft returns the failure of a request for which no target could be chosen, or nil if the targets that were
// tried may be tried again. busy is its last refusal because of a target's load.
func (r *request) noTargetLeft(failure, busy *result.Error, tried map[topology.TargetID]bool) *result.Error {
	if retryAfter, refuse := r.retries.Behind(); refuse && len(tried) > 0 {
		r.server.Outliers.Count(metrics.ReadsBehind, r.class.Name)
		return result.New(result.ReplicaBehind, "no replica in time, and the primary of %s is saturated", r.class.Group).After(retryAfter)
	}
	if r.server.Rights.CutOff() || r.ageMissingForLong(failure) || r.server.router.noTargetSoon(&r.class, failure, needTarget) {
		return failure
	}
	if busy != nil && r.maxWaitOver() {
		return busy
	}
	return nil
}
