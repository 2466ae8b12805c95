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
	// lastLook is how long a session is read from before it is closed: a read whose deadline
	// has passed returns nothing, although a request may have come.
	lastLook = 20 * time.Millisecond
	// lingerBuffer takes a request of the usual size, in bytes.
	lingerBuffer = 4096
)

// session is one caller's session. Only its own goroutine uses it, but for what is
// below mu.
type session struct {
	server   *Server
	conn     net.Conn
	caller   Caller
	database string
	key      customer.Key
	number   uint64
	// ended counts its end.
	ended   func()
	context statement.Context
	floors  floors.Floors
	tx      *transaction
	served  bool
	// lastServed: a request has been waited for after the last one was to be taken.
	lastServed bool

	mu     sync.Mutex
	asleep bool // waits for the caller
}

// run serves statements until the caller goes or the daemon leaves.
func (s *session) run() {
	defer s.abandon()
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

// errLeaving ends a session of a daemon that leaves.
var errLeaving = errors.New("gateway: leaving")

// next waits for a statement. It ends transactions that rest too long, and the session
// when the daemon leaves.
func (s *session) next() (*statement.Statement, *result.Error, error) {
	rest, looked := time.Now(), false
	for {
		until, err := s.deadline(rest)
		if errors.Is(err, errLeaving) && !looked && !s.overdue() {
			looked = true
			until, err = time.Now().Add(lastLook), nil
		}
		if err != nil {
			return nil, nil, err
		}
		if err := s.sleep(until); err != nil {
			return nil, nil, err
		}
		st, failure, err := s.caller.Next()
		s.awake()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, failure, err
		}
	}
}

// overdue reports whether the session has had its last look. A caller whose requests follow each
// other closely would otherwise keep its session open for good.
func (s *session) overdue() bool {
	plan := s.server.leaving()
	if plan == nil || time.Now().Before(plan.All) {
		return false
	}
	was := s.lastServed
	s.lastServed = true
	return was
}

// deadline returns until when the session may wait for its caller; zero: for good.
func (s *session) deadline(rest time.Time) (time.Time, error) {
	now := time.Now()
	plan := s.server.leaving()
	if s.tx == nil || s.tx.failure != nil {
		return s.idleDeadline(plan, now)
	}
	end := rest.Add(s.idleLimit())
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
		if s.caller.Begun() {
			return now.Add(lastLook), nil
		}
		return time.Time{}, errLeaving
	case plan == nil:
		return time.Time{}, nil
	case !now.Before(plan.All):
		return time.Time{}, errLeaving
	case now.Before(plan.Idle):
		return plan.Idle, nil
	case s.caller.Begun() || !s.served || s.tx != nil:
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

func (s *session) sleep(until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asleep = true
	return s.conn.SetReadDeadline(until)
}

func (s *session) awake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asleep = false
}

// wake has a session that waits for its caller look at the leave plan.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asleep {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// linger closes the connection in order.
func (s *session) linger() {
	half, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = s.conn.Read(make([]byte, lingerBuffer)) // What comes now was sent to a closed session, whose caller is told at once.
}

// request is one statement on its way.
type request struct {
	*session
	st    *statement.Statement
	class directory.Class
	// customer whose session it is; "": none's.
	customer topology.CustomerID
	// prepared is what Execute names.
	prepared statement.Prepared
	writes   bool
	begun    mono.Time
	// deadline is when the caller is answered at the latest.
	deadline mono.Time
	ctx      context.Context
	targets  int
	target   topology.TargetID
	// askedPosition: it has waited for a position of the primary.
	askedPosition bool
	// waited is how long it waited for connections to targets.
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
		s.abandon()
		return statement.Done(statement.Idle)
	case statement.Commit:
		if s.tx == nil {
			return statement.Fail(result.New(result.NotInTransaction, "nothing to commit"), statement.Idle)
		}
	}
	return s.serveData(st)
}

// serveFailed answers in a transaction that failed: only its end is served.
func (s *session) serveFailed(st *statement.Statement) statement.Answer {
	why := s.tx.failure
	switch st.Kind {
	case statement.Rollback:
		s.tx = nil
		return statement.Done(statement.Idle)
	case statement.Commit:
		s.tx = nil
		if why.Ran == result.NotRun {
			return statement.Fail(why, statement.Idle)
		}
		return statement.Fail(result.New(result.TransactionAborted, "an earlier statement failed"), statement.Idle)
	}
	if s.tx.untold {
		s.tx.untold = false
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
	alone := s.tx == nil
	var answer statement.Answer
	switch {
	case s.tx != nil:
		answer = r.inTransaction()
	case !r.writes && r.class.Reads != directory.Newest:
		answer = r.readAnywhere()
	default:
		answer = r.atPrimary()
	}
	if alone && answer.Failure != nil && answer.Failure.Ran == result.NotRun {
		r.notBegun()
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

// wall returns the deadline as the connections take it.
func (r *request) wall() time.Time {
	return time.Now().Add(r.deadline.Sub(r.server.Clock.Now()))
}

// sendReserve is what is left of a statement's time at least when it is sent: about as long as
// a target takes whose queue is full. A statement that is sent with less is worked on for nobody.
const sendReserve = 100 * time.Millisecond

// sendBy returns until when the statement may wait for a connection.
func (r *request) sendBy() mono.Time { return r.deadline.Add(-sendReserve) }

// useful returns when the request is to be answered to be within its class's objective. A
// transaction's objective covers all its statements and began with the first.
func (r *request) useful() mono.Time {
	if r.class.Objective <= 0 {
		return r.sendBy()
	}
	return min(r.sendBy(), r.begun.Add(r.class.Objective))
}

// acquire waits for a connection to a target.
func (r *request) acquire(pool *target.Pool) (*target.Link, *result.Error) {
	begun := r.server.Clock.Now()
	turn := waitlist.Request{Priority: r.class.Priority, Useful: r.useful(), Deadline: r.sendBy(), Customer: r.customer}
	link, failure := pool.Acquire(r.ctx, turn, r.context.Values())
	r.waited += r.server.Clock.Now().Sub(begun)
	return link, failure
}

// left reports whether a further attempt, which takes about the given time, can still
// end in time.
func (r *request) left(attempt time.Duration) bool {
	return r.server.Clock.Now().Add(attempt).Before(r.deadline)
}

// floor is what the reads of the session have to see.
func (r *request) settledFloors() {
	row := r.server.Rights.Row(r.class.Group)
	if row == nil {
		return
	}
	if err := r.floors.Reconcile(row.Topology()); err != nil {
		// The caller was told of the failover by its own requests; what is lost is
		// lost, and the session's reads go on from what survived.
		r.server.Log.Warn("event=write_lost", "session", r.number, "group", r.class.Group, "term", row.Term, "error", err)
	}
}
