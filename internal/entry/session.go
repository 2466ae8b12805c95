package entry

import (
	"crypto/rand"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// transaction is the open transaction of a session: where it runs.
type transaction struct {
	// number is the hop id of the request that opened it.
	number uint64
	status byte // as the target last reported it
	group  topology.GroupID
	target topology.TargetID
	pooler topology.VM
	term   uint64
	write  bool
}

// caller is one caller's connection. Only its own goroutine uses it, but for
// the fields below mu.
type caller struct {
	server   *Server
	net      net.Conn
	backend  *pgproto3.Backend
	number   uint64
	secret   []byte
	options  options
	initial  options // of the start-up, for RESET
	admitted string  // the member that the session counts for
	prepared preparedTable
	unit     unit
	tx       *transaction
	session  *session.Session

	drain drainState

	mu     sync.Mutex
	idle   bool
	grace  time.Time // set: the daemon leaves, and idle sessions end then
	flight flight
}

func newCaller(s *Server, nc net.Conn) *caller {
	secret := make([]byte, secretLength)
	_, _ = rand.Read(secret) // Never fails on Linux.
	return &caller{
		server:  s,
		net:     nc,
		backend: pgproto3.NewBackend(nc, nc),
		number:  s.number.Add(1),
		secret:  secret,
	}
}

// run serves requests until the caller goes.
func (s *caller) run() error {
	s.backend.SetMaxBodyLen(s.server.o.View.Config().Limits().MessageBytes)
	for {
		msg, err := s.receive()
		if err != nil {
			return s.endOnReadError(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if !s.unit.add(s, msg) {
			continue
		}
		s.drain.countUnit(&s.unit)
		if err := s.serve(); err != nil {
			return err
		}
	}
}

func (s *caller) endOnReadError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	var timeout net.Error
	switch {
	case errors.Is(err, errLeaving):
		return s.endLeaving()
	case errors.As(err, &tooLarge):
		return s.fatal(result.New(result.MessageTooLarge, "%v", err))
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	case errors.As(err, &timeout):
		return err
	}
	return s.fatal(result.New(result.BadProtocol, "%v", err))
}

// fatal tells the caller the result and ends the connection.
func (s *caller) fatal(e *result.Error) error {
	s.backend.Send(pgwire.ErrorResponse(e, pgwire.SeverityFatal))
	_ = s.backend.Flush()
	return e
}

// refuse tells the caller the result; the session goes on.
func (s *caller) refuse(e *result.Error) error {
	s.backend.Send(pgwire.ErrorResponse(e, pgwire.SeverityError))
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: pgwire.Idle})
	return s.backend.Flush()
}

// setOption changes an option for the requests that follow. A token raises the
// floors of the session; another session id is another session.
func (s *caller) setOption(name, value string) *result.Error {
	before := s.options
	if failure := s.options.set(name, value); failure != nil {
		return failure
	}
	if s.session == nil {
		return nil // Still in the start-up, which opens the session when all is known.
	}
	switch name {
	case "service", "member":
		if name == "service" {
			s.options.member = "" // The service's own.
		}
		if failure := s.checkOptions(); failure != nil {
			s.options = before
			return failure
		}
	case "token":
		if err := s.session.MergeToken(value, s.server.o.Keys); err != nil {
			return result.From(err)
		}
	case "session":
		return s.openSession()
	}
	return nil
}

// resetOption gives an option the value of the start-up again.
func (s *caller) resetOption(name string) *result.Error {
	field := s.initial.field(name)
	if field == nil {
		return result.New(result.BadOption, "no option %q", optionPrefix+name)
	}
	if name == "token" && *field == "" {
		return nil // Floors stay: a session never forgets what it wrote.
	}
	return s.setOption(name, *field)
}

// openSession starts the session that the options name.
func (s *caller) openSession() *result.Error {
	opened, err := session.Open(s.options.session, s.options.token, s.server.o.Keys)
	if err != nil {
		return result.From(err)
	}
	s.session = opened
	return nil
}
