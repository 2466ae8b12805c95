package forward

import (
	"context"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/contain"
	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Server runs the commands of other VMs over this VM's connections to the targets.
type Server struct {
	Directory *directory.Directory
	Pools     *target.Pools
	Clock     mono.Clock
	Log       *slog.Logger
	// Metrics counts the rows sent to other VMs; nil disables the counts.
	Metrics *metrics.Peers
	// Newest returns the rows of a feed with those of which this VM knows a newer version than it has read
	// from the store; nil means that there are none.
	Newest func(f directory.Feed, rows []metastore.Row) []metastore.Row

	starts starts
}

// acceptRetryPause is the pause after a failed accept, which too many open files can cause, for example.
const acceptRetryPause = 20 * time.Millisecond

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.Log.Warn("event=forward_accept_failed", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		go func() {
			defer nc.Close()
			contain.Run(s.Log, "forward", func() { s.handle(nc) })
		}()
	}
}

func (s *Server) handle(nc net.Conn) {
	target.LimitSilence(nc)
	peer := newStream(nc)
	peer.limit = maxRequestBytes
	var o openRequest
	if err := peer.receive(&o); err != nil {
		return
	}
	if o.Rows != nil && o.Rows.Feed&allRows != 0 {
		s.sendAll(nc, peer, *o.Rows, string(o.Target))
		return
	}
	if o.Rows != nil {
		s.sendRows(nc, peer, *o.Rows)
		return
	}
	pool, failure := s.poolOf(o)
	opened := response{Failure: failure, State: statement.Idle}
	if pool != nil {
		opened.HolderEvidence = s.evidenceOf(pool)
	}
	if err := peer.send(opened); err != nil || failure != nil {
		return
	}
	sess := &session{server: s, target: o.Target, pool: pool}
	defer sess.release()
	for {
		var r request
		err := peer.receive(&r)
		if errors.Is(err, errTooLarge) {
			_ = peer.send(sess.refuse(result.New(result.MessageTooLarge, "more than %d bytes", maxRequestBytes))) // The connection is closed.
		}
		if err != nil {
			return
		}
		if err := peer.send(sess.serve(r)); err != nil {
			return
		}
	}
}

// poolOf returns the pool of the requested target. It refuses targets of which this VM isn't a
// holder: two VMs whose lists of holders differ would otherwise pass a request back and forth.
func (s *Server) poolOf(o openRequest) (*target.Pool, *result.Error) {
	t, ok := s.Directory.Target(o.Target)
	if !ok || !slices.Contains(s.Directory.Holders(t.Target), s.Directory.Self().ID) {
		return nil, result.New(result.WrongPooler, "%s is not held here", o.Target)
	}
	pool, ok := s.Pools.Get(o.Target)
	if !ok {
		return nil, result.New(result.WrongPooler, "%s has just come or gone", o.Target)
	}
	return pool, nil
}

// session is the state of one connection from another VM: what is set up on it, and the link to the target while a
// transaction is open.
type session struct {
	server *Server
	target topology.TargetID
	pool   *target.Pool
	setup  setup
	link   *target.Link
}

func (s *session) release() {
	if s.link != nil {
		s.link.Release() // Rolls back an open transaction.
		s.link = nil
	}
}

func (s *session) state() statement.State {
	if s.link != nil {
		return statement.Open
	}
	return statement.Idle
}

// holderResponse returns a response that the holder gives without the target.
func (s *session) holderResponse() response {
	return response{State: s.state(), HolderEvidence: s.server.evidenceOf(s.pool)}
}

// evidenceOf returns a target's state as seen by this VM.
func (s *Server) evidenceOf(pool *target.Pool) *target.Evidence {
	load := pool.Load()
	e := &target.Evidence{Failing: load.FailingFor > 0, AnsweredAgo: target.NeverAnswered}
	if load.LastAnswer != 0 {
		e.AnsweredAgo = s.Clock.Now().Sub(load.LastAnswer)
	}
	return e
}

func (s *session) serve(r request) response {
	c := r.Command
	if failure := checkCommand(c); failure != nil {
		return s.refuse(failure)
	}
	switch c.Kind {
	case target.Set:
		return s.setUp(s.setup.set(c.Name, c.Value))
	case target.PrepareRead, target.PrepareWrite:
		return s.setUp(s.setup.prepare(c.Name, statement.Prepared{Shape: c.Value, Writes: c.Kind == target.PrepareWrite}))
	case target.Rollback:
		s.release()
		return s.holderResponse()
	case target.Execute:
		if _, ok := s.setup.prepared[c.Name]; !ok {
			return s.refuse(result.New(result.UnknownStatement, "%q is not prepared on this connection", c.Name))
		}
	case target.Reset:
		s.setup.reset()
	}
	return s.runAtTarget(r)
}

// setUp returns the response to a command that changes the setup.
func (s *session) setUp(failure *result.Error) response {
	if failure != nil {
		return s.refuse(failure)
	}
	return s.holderResponse()
}

// refuse returns the holder's refusal of a command of which nothing was sent to the target.
func (s *session) refuse(why *result.Error) response {
	r := s.holderResponse()
	r.Failure = why
	return r
}

// runAtTarget runs a command over a link to the target, which the session keeps while a
// transaction is open.
func (s *session) runAtTarget(r request) response {
	deadline := time.Now().Add(r.Remaining)
	if s.link == nil {
		s.followPool()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		link, failure := s.pool.Acquire(ctx, r.waitlistRequest(s.server.Clock.Now()), s.setup.values)
		if failure != nil {
			return s.refuse(failure)
		}
		s.link = link
	}
	answer, err := s.run(deadline, r.Command)
	if err != nil || !s.link.InTransaction() {
		s.release()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return response{Late: true}
	case err != nil:
		return s.errorResponse(err)
	}
	return responseOf(answer)
}

// notSent is a failure before the command was sent: it has not run.
type notSent struct{ error }

func (e notSent) Unwrap() error { return e.error }

// errorResponse returns the response for an error, after which the session has no link: a refusal by the target, which
// proves that nothing ran, a connection that was lost before the command was sent, or else a lost connection.
func (s *session) errorResponse(err error) response {
	var e *result.Error
	if errors.As(err, &e) && e.Ran == result.NotRun {
		return response{Failure: e, State: statement.Idle}
	}
	var before notSent
	if errors.As(err, &before) {
		return s.refuse(result.New(result.TargetUnreachable, "%s: %v", s.target, before.error))
	}
	return response{Lost: err.Error()}
}

// followPool uses the target's present pool: the one of before was closed if the target's entry was missing
// for a while, or has another address.
func (s *session) followPool() {
	if pool, ok := s.server.Pools.Get(s.target); ok {
		s.pool = pool
	}
}

func (s *session) run(deadline time.Time, c target.Command) (statement.Answer, error) {
	if c.Kind == target.Reset {
		p, err := s.link.Position(deadline)
		return statement.Answer{State: statement.Idle, Position: p}, err
	}
	if err := s.link.ApplyValues(deadline, s.setup.values); err != nil {
		return statement.Answer{}, notSent{err}
	}
	switch c.Kind {
	case target.Begin, target.BeginReadOnly:
		if err := s.link.Begin(deadline, c.Kind == target.BeginReadOnly, c.After); err != nil {
			return statement.Answer{}, notSent{err}
		}
		return statement.Done(statement.Open), nil
	case target.Execute:
		name, err := s.link.EnsurePrepared(deadline, s.setup.prepared[c.Name])
		if err != nil {
			return statement.Answer{}, notSent{err}
		}
		c.Name = name
	}
	return s.link.Run(deadline, c)
}
