// Package gateway serves callers' sessions with typed statements: it routes each
// one, keeps transactions on their connection, and says truly what has run.
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

// Caller is a caller's connection as its protocol's codec offers it.
type Caller interface {
	// Open reads what the caller asks for.
	Open() (Opening, error)
	Welcome() error
	Refuse(e *result.Error) error
	// Next reads the next statement; a result refuses it and the session goes on.
	// After a timeout a message that has come in part is kept.
	Next() (*statement.Statement, *result.Error, error)
	// Begun reports whether a message has come in part or whole.
	Begun() bool
	Answer(a statement.Answer) error
}

// Opening is what a caller opens a session with.
type Opening struct {
	Database string
	// Key of a customer; the zero value: none.
	Key customer.Key
}

// Limits decide whether an operation of a customer may begin.
type Limits interface {
	Admit(id topology.CustomerID) *result.Error
	// Return gives an operation back that was admitted and has not run.
	Return(id topology.CustomerID)
}

// Options of NewServer.
type Options struct {
	Directory *directory.Directory
	Pools     *target.Pools
	Rights    Rights
	// Limits of customers; nil: there are none.
	Limits  Limits
	Codec   func(net.Conn) Caller
	Clock   mono.Clock
	Log     *slog.Logger
	Metrics *metrics.Entry
	// Customers counts by customer; nil: nothing is counted.
	Customers *metrics.Customers
	// MaxSessions bounds the open sessions.
	MaxSessions int
}

// Server serves sessions. Safe for concurrent use.
type Server struct {
	Options
	router *router
	number atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]bool
	// plan is set when the daemon leaves, and shed while it sends its sessions away.
	plan *LeavePlan
	shed *LeavePlan
	done sync.WaitGroup
}

// LeavePlan says how the open sessions end when the daemon leaves.
type LeavePlan struct {
	// Idle: from then on sessions without a request or transaction are closed.
	Idle time.Time
	// Transactions still open then are rolled back.
	Transactions time.Time
	// All: from then on no request is taken; those under way are answered.
	All time.Time
}

// NewServer makes a server.
func NewServer(o Options) *Server {
	return &Server{
		Options:  o,
		router:   newRouter(o.Directory, o.Pools, o.Rights, o.Clock),
		sessions: map[*session]bool{},
	}
}

// acceptRetry after a failure such as too many open files.
const acceptRetry = 20 * time.Millisecond

// Serve accepts sessions until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	go s.endRevoked(ctx)
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.Log.Warn("event=accept_failed", "error", err)
			time.Sleep(acceptRetry)
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
// Without one, callers of a VM that has just started would be told that their database does not exist.
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

// Leave ends the sessions by the plan: requests under way are answered, sessions are
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
		sess.wake()
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
	// shedSpread is over how long sessions are sent away: all at once, a thousand callers
	// would open sessions at the other VMs in the same moment.
	shedSpread = 500 * time.Millisecond
	// noEnd is far enough in the future for a plan without an end.
	noEnd = 24 * time.Hour
)

// Shed closes sessions between two requests, until Keep is called. New ones are taken, and
// closed after their first answer. It answers a VM that can serve nobody for a while and
// that the balancer has taken out of rotation: an open session stays with its VM, and each
// of its requests would be refused for as long as the VM is cut off.
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
		sess.wake()
		time.Sleep(shedSpread / time.Duration(len(open)))
	}
}

// Keep ends Shed.
func (s *Server) Keep() {
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
