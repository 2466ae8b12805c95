// Package entry serves the connections of callers over the PostgreSQL protocol and
// routes each request to the pooler of a target that may answer it.
package entry

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/buckthornshore/buckthornshore/internal/contain"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
)

// Options are the dependencies and settings of a Server.
type Options struct {
	View  *view.View
	Peers *peers.Table
	Clock mono.Clock
	// Baseline selects a simpler routing policy. It is for measurements only.
	Baseline Baseline
	// Keys sign the sessions' tokens.
	Keys *session.KeyRing
	Log  *slog.Logger
	// Metrics may be nil.
	Metrics *metrics.Entry
}

// Server accepts the callers' connections.
type Server struct {
	o       Options
	router  *router
	limiter limiter
	hops    hops
	hopID   atomic.Uint64
	number  atomic.Uint64

	mu       sync.Mutex
	sessions map[uint64]*callerSession
	leaving  bool
	serving  bool
	wait     sync.WaitGroup
}

// New returns a server that has no listener yet.
func New(o Options) *Server {
	return &Server{o: o, router: newRouter(o.View, o.Peers, o.Clock), sessions: map[uint64]*callerSession{}}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.setServing(true)
	defer s.setServing(false)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.handle(nc)
		}()
	}
}

func (s *Server) setServing(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = serving
}

// Serving reports whether the server accepts new sessions.
func (s *Server) Serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving && !s.leaving
}

// handle serves one connection until it ends.
func (s *Server) handle(nc net.Conn) {
	defer nc.Close()
	contain.Run(s.o.Log, "session", func() { s.session(nc) })
}

func (s *Server) session(nc net.Conn) {
	sess := newCallerSession(s, nc)
	if err := sess.startUp(); err != nil {
		s.o.Log.Debug("event=session_refused", "remote", nc.RemoteAddr(), "error", err)
		return
	}
	defer s.remove(sess)
	err := sess.run()
	s.o.Log.Debug("event=session_ended", "session", sess.number, "error", err)
}

// admit registers a session, or returns why it is refused.
func (s *Server) admit(sess *callerSession) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	conf := s.o.View.Config()
	switch {
	case conf == nil:
		return result.New(result.Overloaded, "no configuration is in force yet").After(defaultRetryAfter)
	case s.leaving:
		return result.New(result.Leaving, "%s", s.o.View.Self().ID).After(defaultRetryAfter)
	case len(s.sessions) >= conf.Limits().SessionsPerDaemon:
		return result.New(result.TooManySessions, "%d", len(s.sessions)).After(defaultRetryAfter)
	}
	if failure := s.limiter.acquireSession(conf, sess.options.member); failure != nil {
		return failure
	}
	sess.admittedMember = sess.options.member
	s.sessions[sess.number] = sess
	return nil
}

func (s *Server) remove(sess *callerSession) {
	sess.releaseTransaction()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.number)
	s.limiter.sessions.release(sess.admittedMember)
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
