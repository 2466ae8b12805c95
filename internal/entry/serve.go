package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// request is one unit with the group and class that the session's options select.
type request struct {
	session  *callerSession
	group    topology.GroupID
	class    config.Class
	messages []byte
	syncs    uint32
	// repeats is set when the messages may run twice even if the class is not
	// repeatable.
	repeats bool
}

// serve executes the collected unit and answers it.
func (s *callerSession) serve() error {
	defer s.unit.reset()
	if s.unit.failure != nil {
		return s.refuseUnit(s.unit.failure)
	}
	if failure := s.runLocalStatements(); failure != nil {
		return s.fail(failure)
	}
	if len(s.unit.messages) == 0 {
		return s.answerLocally()
	}
	begun := time.Now()
	req, failure := s.newRequest()
	if failure != nil {
		s.recordRequest(nil, begun, failure)
		return s.fail(failure)
	}
	resp, failure := s.routeWithinLimits(req)
	s.recordRequest(req, begun, failure)
	if failure != nil {
		return s.fail(failure)
	}
	return s.answer(req, resp)
}

func (s *callerSession) routeWithinLimits(req *request) (*peerpb.ExecuteResponse, *result.Error) {
	release, failure := s.acquireRequest()
	if failure != nil {
		return nil, failure
	}
	defer release()
	return s.route(req)
}

// write sends an answer to the caller. It fails, which ends the session, when the
// caller does not read the answer within answerTimeout.
func (s *callerSession) write(answer []byte) error {
	_ = s.net.SetWriteDeadline(time.Now().Add(answerTimeout))
	if err := s.backend.Flush(); err != nil {
		return err
	}
	_, err := s.net.Write(answer)
	return err
}

// runLocalStatements executes the unit's statements that the entry answers itself.
// They precede all others in the unit.
func (s *callerSession) runLocalStatements() *result.Error {
	for i := range s.unit.steps {
		st := &s.unit.steps[i]
		if st.localStatement == nil {
			continue
		}
		out, failure := s.runLocal(st.localStatement)
		if failure != nil {
			return failure
		}
		st.reply = append(st.reply, out...)
	}
	return nil
}

// answerLocally answers a unit that has no messages for a target.
func (s *callerSession) answerLocally() error {
	out, _, err := s.unit.splice(nil)
	if err != nil {
		return err
	}
	return s.write(encode(out, &pgproto3.ReadyForQuery{TxStatus: s.status()}))
}

// refuseUnit answers an invalid unit with its error. Within a transaction it also
// ends the connection, as every failure there does.
func (s *callerSession) refuseUnit(e *pgproto3.ErrorResponse) error {
	s.removeParses(s.unit.steps)
	if s.tx != nil {
		s.releaseTransaction()
		e.Severity, e.SeverityUnlocalized = pgwire.SeverityFatal, pgwire.SeverityFatal
		s.backend.Send(e)
		_ = s.backend.Flush()
		return errUnitRefused
	}
	s.backend.Send(e)
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: pgwire.Idle})
	return s.backend.Flush()
}

// errUnitRefused ends a session that sent an invalid unit within a transaction.
var errUnitRefused = errors.New("entry: invalid unit in a transaction")

func (s *callerSession) status() byte {
	if s.tx != nil {
		return s.tx.status
	}
	return pgwire.Idle
}

// fail reports an error to the caller. Within a transaction it also ends the
// connection: the transaction is lost, and statements that the caller has sent
// without reading this error must not run outside it.
func (s *callerSession) fail(e *result.Error) error {
	s.removeParses(s.unit.steps)
	if s.tx == nil {
		return s.refuse(e)
	}
	s.releaseTransaction()
	return s.fatal(e)
}

func (s *callerSession) newRequest() (*request, *result.Error) {
	conf := s.server.o.View.Config()
	class, ok := conf.Class(s.options.service, s.options.class)
	if !ok {
		return nil, result.New(result.UnknownClass, "%q of service %q", s.options.class, s.options.service)
	}
	if class.Kind == config.Write && !class.Repeatable && s.unit.executes && s.options.requestID == "" {
		return nil, result.New(result.BadRequestID, "class %q", class.Name)
	}
	group, failure := s.groupOf(conf)
	if failure != nil {
		return nil, failure
	}
	req := &request{session: s, group: group, class: class, messages: s.unit.messages, syncs: 1}
	if !s.unit.executes {
		// Preparing a statement must not use up the request's id: the execution
		// that follows would be refused as already run.
		req.repeats = true
		req.class.Repeatable = true
	}
	return req, nil
}

func (s *callerSession) groupOf(conf *config.View) (topology.GroupID, *result.Error) {
	if s.tx != nil {
		return s.tx.group, nil
	}
	if s.options.group != "" {
		id := config.GroupID(s.options.service, s.options.group)
		if _, ok := conf.Group(id); !ok {
			return "", result.New(result.BadOption, "service %q has no group %q", s.options.service, s.options.group)
		}
		return id, nil
	}
	id, ok := conf.GroupOf(s.options.service, s.options.shardKey)
	if !ok {
		return "", result.New(result.UnknownService, "%q has no group", s.options.service)
	}
	return id, nil
}

// answer forwards the target's answer to the caller and updates the session's floors
// and token from it.
func (s *callerSession) answer(req *request, resp *peerpb.ExecuteResponse) error {
	messages, err := s.spliceAnswer(resp.Messages)
	if err != nil {
		return s.fatal(result.New(result.Internal, "answer: %v", err))
	}
	if req.class.Kind == config.Write && byte(resp.TxStatus) == pgwire.Idle {
		s.session.Acknowledged(req.group, peers.Position(resp.Position))
		s.sendToken()
	}
	return s.write(messages)
}

// spliceAnswer merges the target's answer with the entry's own. It removes prepared
// statements whose preparation failed.
func (s *callerSession) spliceAnswer(messages []byte) ([]byte, error) {
	if !s.unit.spliced {
		return messages, nil
	}
	out, answered, err := s.unit.splice(messages)
	s.removeParses(s.unit.steps[answered:])
	return out, err
}

// removeParses removes the prepared statements of the steps, whose preparation was
// not confirmed.
func (s *callerSession) removeParses(steps []step) {
	for _, st := range steps {
		if st.kind == stepParse && !st.injected {
			s.prepared.remove(st.name)
		}
	}
}

// tokenParameter is the parameter status that reports the session's token, which the
// caller presents when it continues the session at another entry.
const tokenParameter = optionPrefix + "token"

// sendToken sends the current token to a session that uses tokens.
func (s *callerSession) sendToken() {
	if s.session.Mode != session.WithToken {
		return
	}
	token, err := s.session.Token(s.server.o.Keys, 0)
	if err != nil {
		s.server.o.Log.Warn("event=token_failed", "session", s.options.session, "error", err)
		return
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: tokenParameter, Value: token})
}
