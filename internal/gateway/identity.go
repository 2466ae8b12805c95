package gateway

import (
	"context"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// identify returns the customer that holds the session's key in the configuration in force. A session of
// an open class may have no customer.
func (s *Server) identify(sess *session, class *directory.Class) (topology.CustomerID, *result.Error) {
	config := s.Directory.Configuration()
	if config.Customers == nil {
		return "", nil
	}
	id, ok := config.Customers.Holder(sess.key)
	if !ok && !class.Open {
		return "", result.New(result.BadCredentials, "no customer holds the key")
	}
	return id, nil
}

// revoked reports whether no customer holds the session's key any more.
func (s *session) revoked() bool {
	class, ok := s.server.Directory.Class(s.database)
	if !ok {
		return false // Its next request is refused.
	}
	_, failure := s.server.identify(s, &class)
	return failure != nil
}

// closeRevoked closes sessions, between two operations, whose key is no longer in the configuration.
func (s *Server) closeRevoked(ctx context.Context) {
	var seen uint64
	for {
		changed := s.Directory.Changed()
		if c := s.Directory.Configuration(); c != nil && c.Version != seen {
			seen = c.Version
			s.interruptRevoked(c)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) interruptRevoked(c *directory.Configuration) {
	if c.Customers == nil {
		return
	}
	var revoked []*session
	s.mu.Lock()
	for sess := range s.sessions {
		if sess.revoked() {
			revoked = append(revoked, sess)
		}
	}
	s.mu.Unlock()
	if len(revoked) == 0 {
		return
	}
	s.Log.Info("event=sessions_revoked", "sessions", len(revoked), "version", c.Version)
	for _, sess := range revoked {
		sess.interrupt()
	}
}

// beginOperation returns the class and the customer of an operation that begins now, or a failure if the
// customer may not begin one.
func (s *session) beginOperation(st *statement.Statement) (directory.Class, topology.CustomerID, *result.Error) {
	class, ok := s.server.Directory.Class(s.database)
	if !ok {
		return class, "", result.New(result.UnknownService, "database %.40q", s.database)
	}
	id, failure := s.server.identify(s, &class)
	if failure == nil && id != "" && s.server.Limits != nil {
		failure = s.server.Limits.Admit(id, class.Priority)
	}
	if failure != nil {
		s.logRefused(st, &class, id, failure)
	}
	return class, id, failure
}

// logRefused logs and counts an operation that was refused before it began.
func (s *session) logRefused(st *statement.Statement, class *directory.Class, id topology.CustomerID, why *result.Error) {
	s.server.Customers.Request(id, why, 0)
	s.server.Log.Info("event=request_failed", "request", st.ID, "session", s.number, "customer", id, "class", class.Name,
		"group", class.Group, "kind", st.Kind, "code", int(why.Code), "result", why.Code.Name(), "ran", why.Ran.String(),
		"retry_after", why.RetryAfter, "detail", why.Detail)
}

// returnOperation returns the operation to its customer's limit, since it has not run.
func (r *request) returnOperation() {
	if r.customer != "" && r.server.Limits != nil {
		r.server.Limits.Return(r.customer, r.class.Priority)
	}
}
