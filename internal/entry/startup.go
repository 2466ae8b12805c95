package entry

import (
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// defaultRetryAfter is the delay after which a caller may retry a request that
	// was refused for a temporary reason.
	defaultRetryAfter = time.Second
	// startUpTimeout bounds the time from accepting a connection to the start of its
	// session.
	startUpTimeout = 5 * time.Second
	// secretLength is the length of a cancel key in bytes in protocol 3.0.
	secretLength = 4
)

var errCancelRequest = errors.New("entry: cancel request")

// startUp handles the start-up message and registers the session.
func (s *callerSession) startUp() error {
	_ = s.net.SetDeadline(time.Now().Add(startUpTimeout))
	startup, err := s.receiveStartUp()
	if err != nil {
		return err
	}
	if failure := s.takeParameters(startup.Parameters); failure != nil {
		return s.fatal(failure)
	}
	if failure := s.server.admit(s); failure != nil {
		return s.fatal(failure)
	}
	s.sendGreeting()
	if err := s.backend.Flush(); err != nil {
		s.server.remove(s)
		return err
	}
	return s.net.SetDeadline(time.Time{})
}

// receiveStartUp returns the start-up message. It refuses encryption and executes
// cancel requests.
func (s *callerSession) receiveStartUp() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Join(err, s.endOnReadError(err))
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.net.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.server.cancel(m)
			return nil, errCancelRequest
		default:
			return nil, s.fatal(result.New(result.BadProtocol, "unexpected start-up message"))
		}
	}
}

func (s *callerSession) takeParameters(parameters map[string]string) *result.Error {
	for name, value := range parameters {
		option, isOption := strings.CutPrefix(name, optionPrefix)
		if !isOption {
			continue
		}
		if failure := s.setOption(option, value); failure != nil {
			return failure
		}
	}
	if failure := s.takeOptions(parameters["options"]); failure != nil {
		return failure
	}
	if failure := s.checkOptions(); failure != nil {
		return failure
	}
	s.initial = s.options
	return s.openSession()
}

// takeOptions parses the start-up parameter "options" ("-c name=value"), the only way
// to set start-up parameters from psql. It ignores names without optionPrefix, which
// are settings of the target.
func (s *callerSession) takeOptions(text string) *result.Error {
	for _, word := range strings.Fields(text) {
		word = strings.TrimLeft(strings.TrimPrefix(word, "-c"), "-")
		name, value, _ := strings.Cut(word, "=")
		option, isOption := strings.CutPrefix(name, optionPrefix)
		if !isOption {
			continue
		}
		if failure := s.setOption(option, value); failure != nil {
			return failure
		}
	}
	return nil
}

// checkOptions checks that the service exists and is owned by the member. An empty
// member is set to the service's own.
func (s *callerSession) checkOptions() *result.Error {
	conf := s.server.o.View.Config()
	if conf == nil {
		return nil
	}
	service, ok := conf.Service(s.options.service)
	if !ok {
		return result.New(result.UnknownService, "%q", s.options.service)
	}
	if s.options.member == "" {
		s.options.member = service.Member
	}
	if _, ok := conf.Member(s.options.member); !ok || service.Member != s.options.member {
		return result.New(result.UnknownMember, "%q does not own service %q", s.options.member, s.options.service)
	}
	return nil
}

// sendGreeting sends the messages that a client expects after the start-up message.
func (s *callerSession) sendGreeting() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "15.0 (buckthornshore)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.sendToken()
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.number), SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: pgwire.Idle})
}

// cancel cancels the request in progress of the session with the key. A wrong key is
// silently ignored, as the protocol requires.
func (s *Server) cancel(m *pgproto3.CancelRequest) {
	if sess := s.sessionOf(m); sess != nil {
		sess.cancelRequest()
	}
}

func (s *Server) sessionOf(m *pgproto3.CancelRequest) *callerSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if uint32(sess.number) == m.ProcessID && keysEqual(sess.secret, m.SecretKey) {
			return sess
		}
	}
	return nil
}

func keysEqual(a, b []byte) bool {
	return len(a) == secretLength && len(b) == secretLength &&
		binary.BigEndian.Uint32(a) == binary.BigEndian.Uint32(b)
}
