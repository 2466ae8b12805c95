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

// transaction is the open transaction of a session and the place where it runs.
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

// callerSession is the session of one caller's connection. mu guards the fields
// below it; only the session's own goroutine uses the others.
type callerSession struct {
	server         *Server
	net            net.Conn
	backend        *pgproto3.Backend
	number         uint64
	secret         []byte
	options        options
	initial        options // values at start-up, which RESET restores
	admittedMember string  // the member that the session counts for
	prepared       preparedTable
	unit           unit
	tx             *transaction
	session        *session.Session

	drain drainState

	mu            sync.Mutex
	idle          bool
	graceEnd      time.Time // end of an idle session, set when the daemon shuts down
	activeRequest activeRequest
}

func newCallerSession(s *Server, nc net.Conn) *callerSession {
	secret := make([]byte, secretLength)
	_, _ = rand.Read(secret) // Never fails on Linux.
	return &callerSession{
		server:  s,
		net:     nc,
		backend: pgproto3.NewBackend(nc, nc),
		number:  s.number.Add(1),
		secret:  secret,
	}
}

// run serves requests until the session ends.
func (s *callerSession) run() error {
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
		s.drain.markLastUnit(&s.unit)
		if err := s.serve(); err != nil {
			return err
		}
	}
}

func (s *callerSession) endOnReadError(err error) error {
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

// fatal reports the error to the caller and returns it, which ends the session.
func (s *callerSession) fatal(e *result.Error) error {
	s.backend.Send(pgwire.ErrorResponse(e, pgwire.SeverityFatal))
	_ = s.backend.Flush()
	return e
}

// refuse reports the error to the caller. The session continues.
func (s *callerSession) refuse(e *result.Error) error {
	s.backend.Send(pgwire.ErrorResponse(e, pgwire.SeverityError))
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: pgwire.Idle})
	return s.backend.Flush()
}

// setOption changes an option for the requests that follow. A token raises the
// floors of the session; a session id opens another session.
func (s *callerSession) setOption(name, value string) *result.Error {
	before := s.options
	if failure := s.options.set(name, value); failure != nil {
		return failure
	}
	if s.session == nil {
		return nil // takeParameters opens the session once all options are set.
	}
	switch name {
	case "service", "member":
		if name == "service" {
			s.options.member = "" // checkOptions fills in the service's member.
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

// resetOption restores the option's value at start-up.
func (s *callerSession) resetOption(name string) *result.Error {
	field := s.initial.field(name)
	if field == nil {
		return result.New(result.BadOption, "no option %q", optionPrefix+name)
	}
	if name == "token" && *field == "" {
		return nil // The floors stay, so that the session keeps reading its own writes.
	}
	return s.setOption(name, *field)
}

// openSession opens the session of the options' session id and token.
func (s *callerSession) openSession() *result.Error {
	opened, err := session.Open(s.options.session, s.options.token, s.server.o.Keys)
	if err != nil {
		return result.From(err)
	}
	s.session = opened
	return nil
}
