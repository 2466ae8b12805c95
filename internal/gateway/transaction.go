package gateway

import (
	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// transaction is a session's open transaction. It gets its connection with its first
// statement, so that none is held through the caller's first pause.
type transaction struct {
	class    directory.Class
	customer topology.CustomerID
	readOnly bool
	// link is nil until the first statement.
	link *target.Link
	at   topology.TargetID
	// right under which it runs at the primary; guarded: it is needed.
	right   lease.Right
	guarded bool
	wrote   bool
	// ran: a statement of it has succeeded.
	ran bool
	// failure is set once it can only be ended; untold: the caller has not been
	// told of it yet.
	failure *result.Error
	untold  bool
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

// abandon ends the transaction without a commit.
func (s *session) abandon() {
	tx := s.tx
	s.tx = nil
	if tx != nil && tx.link != nil {
		go tx.link.Release() // Rolls back.
	}
}

// abort ends the transaction between two statements; the caller hears of it with its
// next one.
func (s *session) abort(why *result.Error) {
	s.fail(why)
	s.tx.untold = true
}

// fail frees the transaction's connection, which rolls back.
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
			r.notBegun()
			return r.endFailed(refuse(failure))
		}
	}
	r.note(tx.at)
	if tx.guarded && !r.server.Rights.Confirm(tx.right) {
		return r.endFailed(aborted("the right for %s ended", tx.at))
	}
	tx.wrote = tx.wrote || r.writes
	begun, held := r.server.Clock.Now(), r.server.router.newest(tx.class.Group)
	answer, err := r.run(tx.link, position.Position{}, tx.persistence())
	switch {
	case err != nil:
		return r.endFailed(r.lostInTransaction(err))
	case answer.Failure != nil:
		return r.failedInTransaction(answer)
	}
	tx.ran = true
	if tx.guarded && answer.Position.Less(held) {
		return r.endFailed(r.lostLogInTransaction(answer.Position, held))
	}
	if tx.guarded && !r.server.Rights.Confirm(tx.right) {
		if r.st.Kind == statement.Commit && tx.wrote {
			return r.endFailed(result.New(result.OutcomeUnknown, "the right for %s ended while it committed", tx.at))
		}
		if r.st.Kind != statement.Commit {
			return r.endFailed(aborted("the right for %s ended", tx.at))
		}
	} else if tx.guarded {
		r.server.router.learnPrimary(tx.right, begun, answer.Position)
	} else {
		r.server.router.learn(tx.class.Group, tx.at, answer.Position)
	}
	if r.st.Kind == statement.Commit {
		r.committed(answer.Position)
		answer.State = statement.Idle
	}
	return answer
}

// lostLogInTransaction: nothing of the transaction is kept, unless its commit was sent.
func (r *request) lostLogInTransaction(holds, held position.Position) *result.Error {
	why := r.lostLog(r.tx.right, holds, held)
	if r.st.Kind == statement.Commit && r.tx.wrote {
		return result.New(result.OutcomeUnknown, "%s holds less than it did", r.tx.at)
	}
	return aborted("%s", why.Detail)
}

// persistence of the transaction's next statement. Refused after the first, it would waste
// what the target has done for the transaction.
func (tx *transaction) persistence() persistence { return persistence(tx.ran) }

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

// endFailed ends the transaction with a failure. A commit ends it for the caller, too.
func (r *request) endFailed(why *result.Error) statement.Answer {
	r.fail(why)
	if r.st.Kind == statement.Commit {
		r.tx = nil
		return statement.Fail(why, statement.Idle)
	}
	return statement.Fail(why, statement.Failed)
}

// lostInTransaction: a lost connection rolls the transaction back, unless its commit
// was sent on it.
func (r *request) lostInTransaction(err error) *result.Error {
	why := r.lost(r.tx.at, err)
	if r.st.Kind == statement.Commit && r.tx.wrote && why.Ran != result.NotRun {
		if why.Code == result.DeadlineExceeded {
			return why
		}
		return result.New(result.OutcomeUnknown, "%s", why.Detail)
	}
	return aborted("%s", why.Detail)
}

// failedInTransaction passes a target's refusal on. The transaction goes on where the
// target lets it.
func (r *request) failedInTransaction(a statement.Answer) statement.Answer {
	if r.st.Kind == statement.Commit {
		return r.failedCommit(a)
	}
	if a.State == statement.Open {
		return a
	}
	return r.endFailed(a.Failure)
}

// failedCommit: a commit that the target refused before it ran leaves nothing once the
// transaction is rolled back.
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
	for r.left(sendReserve) && r.ctx.Err() == nil {
		var failure *result.Error
		anywhere, lacked := r.tx.readOnly && r.class.Reads != directory.Newest, needPrimary
		if anywhere {
			failure, lacked = r.attachAnywhere(tried), needTarget
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
		if failure.Code == result.NoRight && r.server.router.lacks(r.class.Group, needRight) || r.ageLacksForLong(failure) {
			break
		}
		if r.server.router.lacksTarget(&r.class, failure, lacked) {
			break
		}
	}
	return notBegun(last)
}

// notBegun is the answer of a transaction that no target took: only its beginning was tried.
func notBegun(last *result.Error) *result.Error {
	switch {
	case last == nil:
		return result.New(result.DeadlineInQueue, "no target in time")
	case last.Ran != result.NotRun:
		return aborted("%s", last.Detail)
	}
	return last
}

func (r *request) attachAnywhere(tried map[topology.TargetID]bool) *result.Error {
	c, failure := r.server.router.chooseRead(&r.class, r.sessionFloor(), r.patience(), tried)
	if failure != nil {
		r.beforeNextRead(failure, tried)
		return failure
	}
	r.pause(c.catchUp)
	failure = r.attachTo(c.pool, c.floor)
	if failure != nil {
		r.passOver(c, failure, position.Position{}, tried)
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
		r.pause(retryPause)
		return failure
	}
	r.server.router.has(r.class.Group, needPrimary)
	r.tx.right, r.tx.guarded = right, true
	return nil
}

func (r *request) attachTo(pool *target.Pool, floor position.Position) *result.Error {
	id := pool.Target().ID
	if failure := pool.AdmitTransaction(r.class.Priority); failure != nil {
		return failure
	}
	link, failure := r.acquire(pool)
	if failure != nil {
		return failure
	}
	wall := r.wall()
	err := link.ApplyValues(wall, r.context.Values())
	if err == nil {
		err = link.Begin(wall, r.tx.readOnly, floor)
	}
	if err != nil {
		link.Release()
		return r.lost(id, notSent{err})
	}
	r.tx.link, r.tx.at = link, id
	return nil
}
