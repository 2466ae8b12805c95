package entry

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// leavingParameter tells a session that its daemon leaves: its next request is
// still served, and the connection ends after that answer.
const leavingParameter = optionPrefix + "leaving"

// lingerTime is how long a connection that was ended is still read from.
const lingerTime = time.Second

// drainState is what a session's own goroutine knows of its end.
type drainState struct {
	told   bool // the caller was told that the daemon leaves
	served bool // and has had a request served since
}

// countUnit notes that the unit about to be served is the last one. One that
// only prepares a statement does not count: its caller is about to run it.
func (d *drainState) countUnit(u *unit) {
	if d.told && u.executes {
		d.served = true
	}
}

// Leave refuses new sessions and asks the open ones to go: a session that stays
// idle is ended at grace. It returns at once and may be called again.
func (s *Server) Leave(grace time.Time) {
	s.mu.Lock()
	s.leaving = true
	open := make([]*caller, 0, len(s.sessions))
	for _, sess := range s.sessions {
		open = append(open, sess)
	}
	s.mu.Unlock()
	for _, sess := range open {
		sess.leave(grace)
	}
}

// leave wakes the session between requests.
func (s *caller) leave(grace time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.grace.IsZero() {
		return
	}
	s.grace = grace
	if s.idle {
		_ = s.net.SetReadDeadline(time.Now())
	}
}

// leavingAt returns when an idle session ends; the zero time: not at all.
func (s *caller) leavingAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grace
}

// setIdle returns the session's grace, noting first whether it is idle.
func (s *caller) setIdle(idle bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
	return s.grace
}

// errLeaving ends a session of a daemon that leaves.
var errLeaving = errors.New("entry: leaving")

// receive waits for a message. A daemon that leaves interrupts it only between
// requests and outside transactions; a message that has come in part is kept.
func (s *caller) receive() (pgproto3.FrontendMessage, error) {
	for {
		if err := s.beforeReceive(); err != nil {
			return nil, err
		}
		msg, err := s.backend.Receive()
		s.setIdle(false)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && !s.leavingAt().IsZero() {
			_ = s.net.SetReadDeadline(time.Time{})
			continue
		}
		return msg, err
	}
}

// beforeReceive tells a session that may end of the leaving, or ends it.
func (s *caller) beforeReceive() error {
	if s.tx != nil || !s.unit.empty() {
		return nil
	}
	grace := s.setIdle(true)
	if grace.IsZero() {
		return nil
	}
	if s.drain.served || s.drain.told && !time.Now().Before(grace) {
		return errLeaving
	}
	if err := s.tellLeaving(); err != nil {
		return err
	}
	return s.net.SetReadDeadline(grace)
}

func (s *caller) tellLeaving() error {
	if s.drain.told {
		return nil
	}
	s.drain.told = true
	s.backend.Send(&pgproto3.ParameterStatus{Name: leavingParameter, Value: "on"})
	return s.backend.Flush()
}

// endLeaving ends the connection in order. Failure: the caller has just sent a
// request; closing with it unread resets the connection, and the caller may lose
// the answer before it or the refusal that says "not run". So only the sending
// side is closed, and the rest read for a moment.
func (s *caller) endLeaving() error {
	_ = s.net.SetDeadline(time.Now().Add(lingerTime))
	failure := s.fatal(result.New(result.Leaving, "%s", s.server.o.View.Self().ID).After(comeBack))
	if half, ok := s.net.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, s.net)
	}
	return failure
}
