package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// transaction is a session's open transaction. It gets its connection with its first
// statement, so that none is held while the caller pauses after the begin.
type transaction struct {
	class    directory.Class
	customer topology.CustomerID
	readOnly bool
	// link is nil until the first statement.
	link     *target.Link
	targetID topology.TargetID
	// right is the right under which it runs at the primary; needsRight is set if it needs one.
	right      lease.Right
	needsRight bool
	wrote      bool
	// ran is set once a statement of it has succeeded.
	ran bool
	// failure is set once the transaction can only be ended; unreported is set while the
	// failure has not been reported to the caller.
	failure    *result.Error
	unreported bool
}

func (s *session) begin(st *statement.Statement) statement.Answer {
	if s.tx != nil {
		return statement.Fail(result.New(result.BadProtocol, "a transaction is open"), statement.Open)
	}
	class, id, failure := s.beginOperation(st)
	if failure != nil {
		return statement.Fail(failure, statement.Idle)
	}
	s.tx = &transaction{class: class, customer: id, readOnly: st.Kind == statement.BeginReadOnly}
	return statement.Done(statement.Open)
}

// rollBack rolls back the open transaction, if there is one.
func (s *session) rollBack() {
	tx := s.tx
	s.tx = nil
	if tx != nil && tx.link != nil {
		go tx.link.Release() // Rolls back.
	}
}

// abort ends the transaction between two statements. The failure is reported with the
// caller's next one.
func (s *session) abort(why *result.Error) {
	s.fail(why)
	s.tx.unreported = true
}

// fail sets the transaction's failure and releases its connection, which rolls it back.
func (s *session) fail(why *result.Error) {
	if s.tx.link != nil {
		go s.tx.link.Release()
		s.tx.link = nil
	}
	s.tx.failure = why
}

// inTransaction runs a statement in the open transaction.
func (r *request) inTransaction() statement.Answer {
	tx := r.tx
	if tx.link == nil {
		if failure := r.attach(); failure != nil {
			r.returnOperation()
			return r.endFailed(withRetryAfter(failure))
		}
	}
	r.recordTarget(tx.targetID)
	if tx.needsRight && !r.server.Rights.Confirm(tx.right) {
		return r.endFailed(aborted("the right for %s ended", tx.targetID))
	}
	tx.wrote = tx.wrote || r.writes
	begun, heldBefore := r.server.Clock.Now(), r.server.router.newest(tx.class.Group)
	answer, err := r.run(tx.link, position.Position{}, tx.overloadPolicy())
	switch {
	case err != nil:
		return r.endFailed(r.connectionFailureInTransaction(err))
	case answer.Failure != nil:
		return r.failedInTransaction(answer)
	}
	tx.ran = true
	if tx.needsRight && answer.Position.Less(heldBefore) {
		return r.endFailed(r.lostLogFailureInTransaction(answer.Position, heldBefore))
	}
	if failure := r.confirmInTransaction(begun, answer.Position); failure != nil {
		return r.endFailed(failure)
	}
	if r.st.Kind == statement.Commit {
		r.committed(answer.Position)
		answer.State = statement.Idle
	}
	return answer
}

// confirmInTransaction records the position of a statement's answer. It returns the failure if the success may not be
// reported: the right has ended, or the commit may be rolled back. A transaction that wrote nothing may end without a right.
func (r *request) confirmInTransaction(begun mono.Time, p position.Position) *result.Error {
	tx := r.tx
	if !tx.needsRight {
		r.server.router.recordPosition(tx.class.Group, tx.targetID, p)
		return nil
	}
	isCommit := r.st.Kind == statement.Commit
	if isCommit && tx.wrote {
		if err := r.server.Rights.ConfirmCommit(r.ctx, tx.right, p); err != nil {
			return result.New(result.OutcomeUnknown, "%s: %v", tx.targetID, err)
		}
	} else if !r.server.Rights.Confirm(tx.right) {
		if isCommit {
			return nil
		}
		return aborted("the right for %s ended", tx.targetID)
	}
	r.server.router.recordPrimaryPosition(tx.right, begun, p)
	return nil
}

// lostLogFailureInTransaction returns the failure of a transaction whose primary has lost its log. Nothing of the
// transaction is kept, unless its commit was sent.
func (r *request) lostLogFailureInTransaction(holds, heldBefore position.Position) *result.Error {
	why := r.lostLogFailure(r.tx.right, holds, heldBefore)
	if r.st.Kind == statement.Commit && r.tx.wrote {
		return result.New(result.OutcomeUnknown, "%s holds less than it did", r.tx.targetID)
	}
	return aborted("%s", why.Detail)
}

// overloadPolicy returns what to do when the target refuses the transaction's next statement. A refusal
// after the first statement would waste the target's work for the transaction.
func (tx *transaction) overloadPolicy() overloadPolicy { return overloadPolicy(tx.ran) }

func (r *request) committed(p position.Position) {
	tx := r.tx
	r.tx = nil
	if tx.wrote {
		r.floors.Raise(tx.class.Group, p)
	}
	tx.link.Release()
}

func aborted(format string, args ...any) *result.Error {
	return result.New(result.TransactionAborted, format, args...).After(retryPause)
}

// endFailed ends the transaction with a failure. After a commit the caller, too, is no longer in a
// transaction.
func (r *request) endFailed(why *result.Error) statement.Answer {
	r.fail(why)
	if r.st.Kind == statement.Commit {
		r.tx = nil
		return statement.Fail(why, statement.Idle)
	}
	return statement.Fail(why, statement.Failed)
}

// connectionFailureInTransaction returns the failure for an error on the transaction's connection. A
// lost connection rolls the transaction back, unless its commit was sent on it or it was no longer open.
func (r *request) connectionFailureInTransaction(err error) *result.Error {
	why := r.connectionFailure(r.tx.targetID, err)
	mayBeKept := r.st.Kind == statement.Commit || errors.Is(err, errWrongState)
	if mayBeKept && r.tx.wrote && why.Ran != result.NotRun {
		if why.Code == result.DeadlineExceeded {
			return why
		}
		return result.New(result.OutcomeUnknown, "%s", why.Detail)
	}
	return aborted("%s", why.Detail)
}

// failedInTransaction answers a statement that failed at the target. The transaction
// continues if the target has kept it open.
func (r *request) failedInTransaction(a statement.Answer) statement.Answer {
	if r.st.Kind == statement.Commit {
		return r.failedCommit(a)
	}
	if a.State == statement.Open {
		return a
	}
	return r.endFailed(a.Failure)
}

// failedCommit answers a commit that failed at the target. If the target refused it
// before it ran, nothing of the transaction is kept once it is rolled back.
func (r *request) failedCommit(a statement.Answer) statement.Answer {
	if a.Failure.Ran == result.NotRun {
		return r.endFailed(aborted("the commit was refused: %s", a.Failure.Detail))
	}
	return r.endFailed(a.Failure)
}

// attach gives the transaction its connection and begins it at the target.
func (r *request) attach() *result.Error {
	var last, saturated *result.Error
	tried := map[topology.TargetID]bool{}
	anywhere, missing := r.tx.readOnly && r.class.Reads != directory.Newest, needPrimary
	if anywhere && r.server.AvoidOutliers {
		return r.attachBounded()
	}
	for r.hasTime() && r.ctx.Err() == nil {
		var failure *result.Error
		if anywhere {
			failure, missing = r.attachAnywhere(tried), needTarget
		} else {
			failure = r.attachPrimary()
		}
		if failure == nil {
			return nil
		}
		last = failure
		if failure.Code == result.TargetBusy {
			saturated = failure
		}
		if saturated != nil && (!anywhere || failure.Code == result.NoPrimary) {
			return saturated // No other target can take it.
		}
		if (failure.Code == result.NoRight || failure.Code == result.AgeNotShown) && r.server.Rights.CutOff() {
			break
		}
		if failure.Code == result.NoRight && r.server.router.recordMissing(r.class.Group, needRight) || r.ageMissingForLong(failure) {
			break
		}
		if r.server.router.noTargetSoon(&r.class, failure, missing) || !r.mayTryAgain() {
			break
		}
	}
	return attachFailure(last)
}

// attachFailure returns the failure of a transaction that no target accepted: no statement after its begin was sent.
func attachFailure(last *result.Error) *result.Error {
	switch {
	case last == nil:
		return result.New(result.DeadlineInQueue, "no target in time")
	case last.Ran != result.NotRun:
		return aborted("%s", last.Detail)
	}
	return last
}

func (r *request) attachAnywhere(tried map[topology.TargetID]bool) *result.Error {
	c, failure := r.server.router.chooseRead(&r.class, r.sessionFloor(), r.maxWait(), tried)
	if failure != nil {
		r.beforeNextRead(failure, tried)
		return failure
	}
	r.pause(c.catchUp)
	failure = r.attachTo(c.pool, c.floor)
	if failure != nil {
		r.excludeTarget(c, failure, position.Position{}, tried)
	}
	return failure
}

func (r *request) attachPrimary() *result.Error {
	right, pool, failure := r.primary()
	if failure != nil {
		r.pause(retryPause)
		return failure
	}
	if failure := r.attachTo(pool, position.Position{}); failure != nil {
		r.pauseBetweenAttempts(failure)
		return failure
	}
	r.server.router.recordFound(r.class.Group, needPrimary)
	r.tx.right, r.tx.needsRight = right, true
	return nil
}

func (r *request) attachTo(pool *target.Pool, floor position.Position) *result.Error {
	id := pool.Target().ID
	if failure := pool.AdmitTransaction(r.class.Priority, r.customer); failure != nil {
		return failure
	}
	link, failure := r.acquire(pool)
	if failure != nil {
		return failure
	}
	wallDeadline := r.wallDeadline()
	err := link.ApplyValues(wallDeadline, r.context.Values())
	if err == nil {
		err = link.Begin(wallDeadline, r.tx.readOnly, floor)
	}
	if err != nil {
		link.Release()
		return r.connectionFailure(id, notSent{err})
	}
	r.tx.link, r.tx.targetID = link, id
	return nil
}
