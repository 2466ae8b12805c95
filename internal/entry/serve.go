package entry

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// request is one unit with what the session declared for it.
type request struct {
	session  *caller
	group    topology.GroupID
	class    config.Class
	messages []byte
	syncs    uint32
}

// serve answers the collected unit.
func (s *caller) serve() error {
	defer s.unit.reset()
	if len(s.unit.local) > 0 {
		return s.serveLocal()
	}
	begun := time.Now()
	req, failure := s.newRequest()
	if failure != nil {
		s.measure(nil, begun, failure)
		return s.fail(failure)
	}
	resp, failure := s.route(req)
	s.measure(req, begun, failure)
	if failure != nil {
		return s.fail(failure)
	}
	return s.answer(req, resp)
}

// serveLocal applies the session's own SET statements.
func (s *caller) serveLocal() error {
	for _, set := range s.unit.local {
		if failure := s.setOption(set.name, set.value); failure != nil {
			return s.refuse(failure)
		}
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.backend.Flush()
}

func (s *caller) status() byte {
	if s.tx != nil {
		return s.tx.status
	}
	return pgwire.Idle
}

// fail reports a result. With a transaction open the connection ends: the
// transaction is gone, and a caller that sends its next statements unread must
// not have them run one by one outside it.
func (s *caller) fail(e *result.Error) error {
	if s.tx == nil {
		return s.refuse(e)
	}
	s.releaseTransaction()
	return s.fatal(e)
}

func (s *caller) newRequest() (*request, *result.Error) {
	conf := s.server.o.View.Config()
	class, ok := conf.Class(s.options.service, s.options.class)
	if !ok {
		return nil, result.New(result.UnknownClass, "%q of service %q", s.options.class, s.options.service)
	}
	if class.Kind == config.Write && !class.Repeatable && s.options.requestID == "" {
		return nil, result.New(result.BadRequestID, "class %q", class.Name)
	}
	group, failure := s.groupOf(conf)
	if failure != nil {
		return nil, failure
	}
	return &request{session: s, group: group, class: class, messages: s.unit.messages, syncs: 1}, nil
}

func (s *caller) groupOf(conf *config.View) (topology.GroupID, *result.Error) {
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

// answer passes the target's answer on and notes what it says of the session.
func (s *caller) answer(req *request, resp *peerpb.ExecuteResponse) error {
	messages, err := s.unit.strip(resp.Messages)
	if err != nil {
		return s.fatal(result.New(result.Internal, "answer: %v", err))
	}
	if req.class.Kind == config.Write && byte(resp.TxStatus) == pgwire.Idle {
		s.session.Acknowledged(req.group, peers.Position(resp.Position))
		s.sendToken()
	}
	if err := s.backend.Flush(); err != nil {
		return err
	}
	_, err = s.net.Write(messages)
	return err
}

// tokenParameter reports the session's token, to be presented when it roams.
const tokenParameter = optionPrefix + "token"

// sendToken gives a session that asked for tokens its present one.
func (s *caller) sendToken() {
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
