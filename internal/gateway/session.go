package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/outlier"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	floors "github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	// lingerTime is how long a session that was closed is still read from: closing with
	// unread bytes would reset the connection, and the caller might lose its last answer.
	lingerTime = 200 * time.Millisecond
	// finalReadTime is how long a session is read from before it is closed: a read whose deadline
	// has passed returns nothing, even if a request has arrived.
	finalReadTime = 20 * time.Millisecond
	// lingerBuffer is the size in bytes of the buffer that a closed session is read into. A request
	// of the usual size fits.
	lingerBuffer = 4096
)

// session is one caller's session. Only its own goroutine uses it, except for the
// fields below mu.
type session struct {
	server   *Server
	conn     net.Conn
	caller   Caller
	database string
	key      customer.Key
	number   uint64
	// ended records the end of the session in the customer's metrics.
	ended   func()
	context statement.Context
	floors  floors.Floors
	tx      *transaction
	// served is set once the session has answered a statement.
	served bool
	// finalReadDone is set once the session has waited for a request after LeavePlan.All.
	finalReadDone bool

	mu      sync.Mutex
	waiting bool // is waiting for the caller
}

// run serves statements until the caller disconnects or the daemon leaves.
func (s *session) run() {
	defer s.rollBack()
	for {
		st, failure, err := s.next()
		if errors.Is(err, errLeaving) {
			s.linger()
			return
		}
		if err != nil {
			s.server.Log.Debug("event=session_ended", "session", s.number, "error", err)
			return
		}
		answer := s.serve(st, failure)
		s.served = true
		if err := s.caller.Answer(answer); err != nil {
			s.server.Log.Debug("event=session_lost", "session", s.number, "error", err)
			return
		}
		if answer.Failure != nil && answer.Failure.Code == result.BadCredentials {
			s.linger()
			return
		}
	}
}

// errLeaving ends a session whose daemon leaves or whose key has been revoked.
var errLeaving = errors.New("gateway: leaving")

// next waits for a statement. It aborts a transaction that is idle for too long, and returns
// errLeaving when the session is to end.
func (s *session) next() (*statement.Statement, *result.Error, error) {
	idleSince, finalRead := time.Now(), false
	for {
		until, err := s.deadline(idleSince)
		if errors.Is(err, errLeaving) && !finalRead && !s.finalReadUsed() {
			finalRead = true
			until, err = time.Now().Add(finalReadTime), nil
		}
		if err != nil {
			return nil, nil, err
		}
		if err := s.startWait(until); err != nil {
			return nil, nil, err
		}
		st, failure, err := s.caller.Next()
		s.endWait()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, failure, err
		}
	}
}

// finalReadUsed reports whether the session has already been read from after LeavePlan.All, and counts this
// call as that read. Without this limit a caller whose requests follow each other closely would keep its
// session open forever.
func (s *session) finalReadUsed() bool {
	plan := s.server.leaving()
	if plan == nil || time.Now().Before(plan.All) {
		return false
	}
	was := s.finalReadDone
	s.finalReadDone = true
	return was
}

// deadline returns until when the session may wait for its caller; zero if there is no limit. It aborts a
// transaction that has been idle for too long.
func (s *session) deadline(idleSince time.Time) (time.Time, error) {
	now := time.Now()
	plan := s.server.leaving()
	if s.tx == nil || s.tx.failure != nil {
		return s.idleDeadline(plan, now)
	}
	end := idleSince.Add(s.idleLimit())
	if plan != nil && plan.Transactions.Before(end) {
		end = plan.Transactions
	}
	if now.Before(end) {
		return end, nil
	}
	why := result.New(result.TransactionAborted, "it rested too long")
	if plan != nil {
		why = result.New(result.TransactionAborted, "the daemon leaves")
	}
	s.abort(why)
	return s.idleDeadline(plan, now)
}

func (s *session) idleDeadline(plan *LeavePlan, now time.Time) (time.Time, error) {
	switch {
	case s.tx == nil && s.revoked():
		if s.caller.HasInput() {
			return now.Add(finalReadTime), nil
		}
		return time.Time{}, errLeaving
	case plan == nil:
		return time.Time{}, nil
	case !now.Before(plan.All):
		return time.Time{}, errLeaving
	case now.Before(plan.Idle):
		return plan.Idle, nil
	case s.caller.HasInput() || !s.served || s.tx != nil:
		return plan.All, nil
	}
	return time.Time{}, errLeaving
}

func (s *session) idleLimit() time.Duration {
	c := s.server.Directory.Configuration()
	const unlimited = time.Hour
	if c == nil || c.IdleTransaction <= 0 {
		return unlimited
	}
	return c.IdleTransaction
}

func (s *session) startWait(until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	return s.conn.SetReadDeadline(until)
}

func (s *session) endWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
}

// interrupt makes a session that waits for its caller check whether it is to end.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// linger closes the sending side of the connection, and reads for a while before the rest is closed.
func (s *session) linger() {
	halfCloser, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = s.conn.Read(make([]byte, lingerBuffer)) // What arrives now was sent to a closed session; the caller notices at once.
}

// request is one statement that is being served.
type request struct {
	*session
	st    *statement.Statement
	class directory.Class
	// customer is the session's customer; "" if there is none.
	customer topology.CustomerID
	// prepared is the prepared statement that an Execute names.
	prepared statement.Prepared
	writes   bool
	begun    mono.Time
	// deadline is when the caller is answered at the latest.
	deadline mono.Time
	ctx      context.Context
	attempts int
	// retries bounds the attempts if the server avoids outliers.
	retries outlier.Attempts
	target  topology.TargetID
	// askedPosition is set once the request has asked for a position of the primary itself.
	askedPosition bool
	// waited is how long the request has waited for connections to targets.
	waited time.Duration
}

// serve answers one statement.
func (s *session) serve(st *statement.Statement, failure *result.Error) statement.Answer {
	if failure != nil {
		return statement.Fail(failure, s.state())
	}
	if s.tx != nil && s.tx.failure != nil {
		return s.serveFailed(st)
	}
	switch st.Kind {
	case statement.Set, statement.Prepare, statement.Deallocate:
		if failure := s.context.Apply(st); failure != nil {
			return statement.Fail(failure, s.state())
		}
		return statement.Done(s.state())
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(st)
	case statement.Rollback:
		s.rollBack()
		return statement.Done(statement.Idle)
	case statement.Commit:
		if s.tx == nil {
			return statement.Fail(result.New(result.NotInTransaction, "nothing to commit"), statement.Idle)
		}
	}
	return s.serveData(st)
}

// serveFailed answers a statement in a transaction that has failed, in which only a commit or
// rollback is served.
func (s *session) serveFailed(st *statement.Statement) statement.Answer {
	why := s.tx.failure
	switch st.Kind {
	case statement.Rollback:
		s.tx = nil
		return statement.Done(statement.Idle)
	case statement.Commit:
		s.tx = nil
		if why.Ran == result.NotRun || why.Code == result.OutcomeUnknown {
			return statement.Fail(why, statement.Idle)
		}
		return statement.Fail(result.New(result.TransactionAborted, "an earlier statement failed"), statement.Idle)
	}
	if s.tx.unreported {
		s.tx.unreported = false
		return statement.Fail(why, statement.Failed)
	}
	return statement.Fail(result.New(result.TransactionFailed, "it can only be ended"), statement.Failed)
}

func (s *session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failure != nil:
		return statement.Failed
	}
	return statement.Open
}

// serveData answers reads, writes and commits.
func (s *session) serveData(st *statement.Statement) statement.Answer {
	r, failure := s.newRequest(st)
	if failure != nil {
		return statement.Fail(failure, s.state())
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline.Sub(r.begun))
	defer cancel()
	r.ctx = ctx
	single := s.tx == nil
	var answer statement.Answer
	switch {
	case s.tx != nil:
		answer = r.inTransaction()
	case !r.writes && r.class.Reads != directory.Newest:
		answer = r.readAnywhere()
	default:
		answer = r.atPrimary()
	}
	if single && answer.Failure != nil && answer.Failure.Ran == result.NotRun {
		r.returnOperation()
	}
	r.log(answer)
	return answer
}

func (s *session) newRequest(st *statement.Statement) (*request, *result.Error) {
	r := &request{session: s, st: st, begun: s.server.Clock.Now()}
	if s.tx != nil {
		r.class, r.customer = s.tx.class, s.tx.customer
	} else {
		var failure *result.Error
		if r.class, r.customer, failure = s.beginOperation(st); failure != nil {
			return nil, failure
		}
	}
	r.deadline = r.begun.Add(r.class.StatementTimeout)
	r.writes = st.Kind == statement.Write
	if st.Kind == statement.Execute {
		p, failure := s.context.Prepared(st.Name)
		if failure != nil {
			return nil, failure
		}
		r.prepared, r.writes = p, p.Writes
	}
	return r, nil
}

// wallDeadline returns the deadline as wall-clock time, which connections use.
func (r *request) wallDeadline() time.Time {
	return time.Now().Add(r.deadline.Sub(r.server.Clock.Now()))
}

// sendReserve is the minimum time that a statement has left when it is sent: about as long as a
// target whose queue is full takes. With less, the answer would come too late for the caller, and
// the target's work would be wasted.
const sendReserve = 100 * time.Millisecond

// sendBy returns until when the statement may wait for a connection.
func (r *request) sendBy() mono.Time { return r.deadline.Add(-sendReserve) }

// objectiveDeadline returns the time by which the request must be answered to meet its class's objective. A
// transaction's objective covers all its statements and starts with the first.
func (r *request) objectiveDeadline() mono.Time {
	if r.class.Objective <= 0 {
		return r.sendBy()
	}
	return min(r.sendBy(), r.begun.Add(r.class.Objective))
}

// acquire waits for a connection to a target.
func (r *request) acquire(pool *target.Pool) (*target.Link, *result.Error) {
	begun := r.server.Clock.Now()
	req := waitlist.Request{Priority: r.class.Priority, Useful: r.objectiveDeadline(), Deadline: r.sendBy(), Customer: r.customer}
	link, failure := pool.Acquire(r.ctx, req, r.context.Values())
	r.waited += r.server.Clock.Now().Sub(begun)
	return link, failure
}

// hasTime reports whether a further attempt can still end before the deadline.
func (r *request) hasTime() bool { return r.server.Clock.Now().Before(r.sendBy()) }

// settleFloors adjusts the floors of the session's reads to the group's newest row, in
// which a failover may have lost writes of the session.
func (r *request) settleFloors() {
	row := r.server.Rights.Row(r.class.Group)
	if row == nil {
		return
	}
	if err := r.floors.Reconcile(row.Topology()); err != nil {
		// The caller has learned of the failover from its own requests. Lost writes can't
		// be recovered; the session's reads continue from those that survived.
		r.server.Log.Warn("event=write_lost", "session", r.number, "group", r.class.Group, "term", row.Term, "error", err)
	}
}
