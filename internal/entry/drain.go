package entry

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// leavingParameter is the parameter status that announces to a session that its
// daemon is shutting down: the daemon still serves the session's next request and
// closes the connection after that answer.
const leavingParameter = optionPrefix + "leaving"

// lingerTime bounds how long a connection is read from after its sending side
// was closed.
const lingerTime = time.Second

// drainState is the state of a session while its daemon shuts down. Only the
// session's own goroutine uses it.
type drainState struct {
	announced bool // the shutdown was announced to the caller
	served    bool // a request was served since the announcement
}

// markLastUnit records that the unit about to be served is the session's last one.
// A unit that only prepares a statement does not count, since the caller will
// execute the statement next.
func (d *drainState) markLastUnit(u *unit) {
	if d.announced && u.executes {
		d.served = true
	}
}

// Leave refuses new sessions and announces the shutdown to the open ones. A
// session that stays idle is ended at the time grace. Leave returns at once and
// may be called again.
func (s *Server) Leave(grace time.Time) {
	s.mu.Lock()
	s.leaving = true
	open := make([]*callerSession, 0, len(s.sessions))
	for _, sess := range s.sessions {
		open = append(open, sess)
	}
	s.mu.Unlock()
	for _, sess := range open {
		sess.leave(grace)
	}
}

// leave sets the time at which the session ends and, if the session is idle,
// interrupts its wait for the next request.
func (s *callerSession) leave(graceEnd time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.graceEnd.IsZero() {
		return
	}
	s.graceEnd = graceEnd
	if s.idle {
		_ = s.net.SetReadDeadline(time.Now())
	}
}

// leavingAt returns the time at which an idle session is ended, or the zero time
// while the daemon is not shutting down.
func (s *callerSession) leavingAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.graceEnd
}

// setIdle records whether the session is idle and returns the time at which an
// idle session is ended, as leavingAt does.
func (s *callerSession) setIdle(idle bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
	return s.graceEnd
}

// errLeaving ends a session of a daemon that is shutting down.
var errLeaving = errors.New("entry: daemon is leaving")

// receive waits for the next message. A shutdown interrupts it only between
// requests and outside transactions; a partly received message is kept.
func (s *callerSession) receive() (pgproto3.FrontendMessage, error) {
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

// beforeReceive announces a shutdown to an idle session, or returns errLeaving when
// the session has to end.
func (s *callerSession) beforeReceive() error {
	if s.tx != nil || !s.unit.empty() {
		return nil
	}
	grace := s.setIdle(true)
	if grace.IsZero() {
		return nil
	}
	if s.drain.served || s.drain.announced && !time.Now().Before(grace) {
		return errLeaving
	}
	if err := s.announceLeaving(); err != nil {
		return err
	}
	return s.net.SetReadDeadline(grace)
}

func (s *callerSession) announceLeaving() error {
	if s.drain.announced {
		return nil
	}
	s.drain.announced = true
	s.backend.Send(&pgproto3.ParameterStatus{Name: leavingParameter, Value: "on"})
	return s.backend.Flush()
}

// endLeaving reports the shutdown to the caller and ends the connection. Closing a
// connection with unread data resets it. If the caller has just sent a request, it
// may then lose the previous answer, or the error that reports the request as not
// run. So endLeaving closes only the sending side and reads on for lingerTime.
func (s *callerSession) endLeaving() error {
	_ = s.net.SetDeadline(time.Now().Add(lingerTime))
	failure := s.fatal(result.New(result.Leaving, "%s", s.server.o.View.Self().ID).After(defaultRetryAfter))
	if half, ok := s.net.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, s.net)
	}
	return failure
}
