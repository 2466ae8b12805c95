// Package gateway serves callers' sessions with typed statements: it routes each
// statement, keeps each transaction on one connection, and reports accurately what
// has run.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/contain"
	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Caller is a caller's connection, decoded by the codec of its protocol.
type Caller interface {
	// Open reads the caller's request to open a session.
	Open() (Opening, error)
	Welcome() error
	Refuse(e *result.Error) error
	// Next reads the next statement. If it returns a result.Error, the statement is
	// refused and the session continues. A message that was received in part is kept
	// after a timeout.
	Next() (*statement.Statement, *result.Error, error)
	// HasInput reports whether a message has been received in part or whole.
	HasInput() bool
	Answer(a statement.Answer) error
}

// Opening is a caller's request to open a session.
type Opening struct {
	Database string
	// Key is the key of a customer; the zero value if the caller gave none.
	Key customer.Key
}

// Limits decide whether an operation of a customer may begin.
type Limits interface {
	// Admit refuses an operation of a class with the priority if it would exceed the customer's limit.
	Admit(id topology.CustomerID, priority int) *result.Error
	// Return undoes the admission of an operation that has not run.
	Return(id topology.CustomerID, priority int)
}

// Options are the options of NewServer.
type Options struct {
	Directory *directory.Directory
	Pools     *target.Pools
	Rights    Rights
	// Limits are the limits of customers; nil if there are none.
	Limits  Limits
	Codec   func(net.Conn) Caller
	Clock   mono.Clock
	Log     *slog.Logger
	Metrics *metrics.Entry
	// Customers counts requests and sessions by customer; nil to count nothing.
	Customers *metrics.Customers
	// Refusals counts refused requests by target; nil to count nothing.
	Refusals *metrics.Refusals
	// MaxSessions is the maximum number of open sessions.
	MaxSessions int
	// AvoidOutliers sends fewer reads to targets that fail more, or answer more slowly, than others of their group.
	AvoidOutliers bool
	// Outliers counts the decisions of AvoidOutliers; nil to count nothing.
	Outliers *metrics.Outliers
}

// Server serves sessions. Safe for concurrent use.
type Server struct {
	Options
	router *router
	// number is the number of the newest session.
	number atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]bool
	// plan is set when the daemon leaves, and shed while it sheds its sessions.
	plan *LeavePlan
	shed *LeavePlan
	done sync.WaitGroup
}

// LeavePlan sets when the open sessions end as the daemon leaves.
type LeavePlan struct {
	// Idle is the time from which sessions without a request or transaction are closed.
	Idle time.Time
	// Transactions is the time at which transactions that are still open are rolled back.
	Transactions time.Time
	// All is the time from which no request is accepted; those under way are answered.
	All time.Time
}

// NewServer returns a server with the given options.
func NewServer(o Options) *Server {
	s := &Server{
		Options:  o,
		router:   newRouter(o.Directory, o.Pools, o.Rights, o.Clock),
		sessions: map[*session]bool{},
	}
	if o.AvoidOutliers {
		s.router.outliers = newOutliers(o.Log, o.Outliers)
	}
	return s
}

// acceptRetryPause is the pause after a failure to accept, such as too many open files.
const acceptRetryPause = 20 * time.Millisecond

// Serve accepts sessions until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	go s.closeRevoked(ctx)
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.Log.Warn("event=accept_failed", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer nc.Close()
			contain.Run(s.Log, "session", func() { s.handle(nc) })
		}()
	}
}

// startTimeout bounds how long a connection may take to open its session. Callers
// give up after two seconds.
const startTimeout = 5 * time.Second

// handle serves one connection to its end.
func (s *Server) handle(nc net.Conn) {
	_ = nc.SetReadDeadline(time.Now().Add(startTimeout))
	caller := s.Codec(nc)
	opening, err := caller.Open()
	if err != nil {
		s.Log.Debug("event=session_not_opened", "remote", nc.RemoteAddr(), "error", err)
		return
	}
	sess := &session{server: s, conn: nc, caller: caller, database: opening.Database, key: opening.Key, number: s.number.Add(1)}
	if failure := s.admit(sess); failure != nil {
		s.Log.Info("event=session_refused", "database", opening.Database, "code", failure.Code, "reason", failure.Code.Name())
		_ = caller.Refuse(failure)
		return
	}
	defer s.remove(sess)
	if err := caller.Welcome(); err != nil {
		return
	}
	sess.run()
}

// configurationWait is how long a session waits for the first configuration. Callers wait longer
// for their session.
const configurationWait = time.Second

// awaitConfiguration waits for the first configuration, and reports whether there is one.
//
// Without this wait, callers of a VM that has just started would get the answer that their database does not exist.
func (s *Server) awaitConfiguration() bool {
	ctx, cancel := context.WithTimeout(context.Background(), configurationWait)
	defer cancel()
	for {
		changed := s.Directory.Changed()
		if s.Directory.Configuration() != nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		wait.Until(ctx, changed, configurationWait)
	}
}

func (s *Server) admit(sess *session) *result.Error {
	if !s.awaitConfiguration() {
		return result.New(result.Overloaded, "no configuration is in force yet").After(time.Second)
	}
	class, ok := s.Directory.Class(sess.database)
	if !ok {
		return result.New(result.UnknownService, "database %.40q", sess.database)
	}
	id, failure := s.identify(sess, &class)
	if failure != nil {
		return failure
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan != nil && time.Now().After(s.plan.All) {
		return result.New(result.Leaving, "connect again, to another VM").After(time.Second)
	}
	if len(s.sessions) >= s.MaxSessions {
		return result.New(result.TooManySessions, "%d are open", len(s.sessions)).After(time.Second)
	}
	s.sessions[sess] = true
	sess.ended = s.Customers.Session(id)
	return nil
}

func (s *Server) remove(sess *session) {
	sess.ended()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

// Leave ends the sessions as planned: requests under way are answered, sessions are
// closed between two requests.
func (s *Server) Leave(plan LeavePlan) {
	s.mu.Lock()
	s.plan = &plan
	open := make([]*session, 0, len(s.sessions))
	for sess := range s.sessions {
		open = append(open, sess)
	}
	s.mu.Unlock()
	for _, sess := range open {
		sess.interrupt()
	}
}

func (s *Server) leaving() *LeavePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan != nil {
		return s.plan
	}
	return s.shed
}

const (
	// shedDuration is the time over which shed sessions are closed. If they were closed at once,
	// a thousand callers would open sessions at the other VMs at the same moment.
	shedDuration = 500 * time.Millisecond
	// noEnd is how far in the future the times of a plan without an end lie.
	noEnd = 24 * time.Hour
)

// Shed closes sessions between two requests, until StopShedding is called. New sessions are accepted,
// and closed after their first answer. It is meant for a VM that can serve no requests for a
// while and that the balancer has taken out of rotation: an open session stays at its VM, and
// each of its requests would be refused for as long as the VM is cut off.
func (s *Server) Shed() {
	now := time.Now()
	s.mu.Lock()
	if s.shed != nil || s.plan != nil {
		s.mu.Unlock()
		return
	}
	s.shed = &LeavePlan{Idle: now, Transactions: now.Add(noEnd), All: now.Add(noEnd)}
	open := make([]*session, 0, len(s.sessions))
	for sess := range s.sessions {
		open = append(open, sess)
	}
	s.mu.Unlock()
	s.Log.Info("event=sessions_shed", "sessions", len(open))
	for _, sess := range open {
		sess.interrupt()
		time.Sleep(shedDuration / time.Duration(len(open)))
	}
}

// StopShedding ends Shed.
func (s *Server) StopShedding() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shed = nil
}

// Wait returns when all sessions have ended or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// Sessions returns how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
