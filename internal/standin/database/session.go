package database

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// Transaction states in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session is the state of an ordinary or control connection.
type session struct {
	conn *conn
	db   *Database

	vars        map[string]string
	term        uint64 // term that the connection is bound to; valid if bound
	bound       bool
	waitFor     []string
	waitTimeout time.Duration // 0 for no limit

	txn    *txn
	failed bool // set in an explicit transaction that was rolled back already
	// termChanged is set when a change of term caused the rollback.
	termChanged bool

	prepared map[string]*prepared
	portals  map[string]*portal
	skipping bool // messages are ignored until Sync, after an error in the extended protocol
}

func newSession(c *conn, start map[string]string) *session {
	s := &session{conn: c, db: c.db, prepared: map[string]*prepared{}, portals: map[string]*portal{}}
	s.resetVariables()
	for name, value := range start {
		// An invalid value in the start-up message is ignored.
		_ = s.setVariable(strings.ToLower(name), value)
	}
	return s
}

// run handles messages until the connection ends, then rolls back the open
// transaction.
func (s *session) run() {
	defer s.rollbackOpen()
	for {
		msg, ok := s.conn.receive()
		if !ok {
			return
		}
		if !s.handle(msg) {
			return
		}
	}
}

func (s *session) rollbackOpen() {
	if s.txn != nil {
		s.db.rollback(s.txn)
	}
}

func (s *session) handle(msg pgproto3.FrontendMessage) bool {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.simple(m.String)
		return s.conn.flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	return s.extended(msg)
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return statusFailed
	case s.txn != nil:
		return statusOpen
	}
	return statusIdle
}

// simple runs the statements of one Query message. Without BEGIN, they form one
// implicit transaction.
func (s *session) simple(sql string) {
	s.skipping = false
	if err := s.simpleStatements(sql); err != nil {
		s.conn.send(responseTo(err, "ERROR"))
	}
	s.conn.ready(s.status())
}

func (s *session) simpleStatements(sql string) error {
	stmts, err := sqlparse.Parse(sql)
	if err != nil {
		s.fail()
		return err
	}
	if len(stmts) == 0 {
		s.conn.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, stmt := range stmts {
		if stmt.Params > 0 {
			s.fail()
			return sqlError(CodeSyntax, "there is no parameter $%d", stmt.Params)
		}
		res, err := s.execute(stmt, nil, i == len(stmts)-1)
		if err != nil {
			return err
		}
		s.sendDescription(res.columns, nil)
		s.sendRows(res, nil)
	}
	return nil
}

// fail rolls back the open transaction. An explicit one stays in the failed state
// until COMMIT or ROLLBACK.
func (s *session) fail() {
	if s.txn == nil {
		return
	}
	s.failed = !s.txn.implicit
	s.termChanged = s.failed && s.db.hasEnded(s.txn)
	s.db.rollback(s.txn)
	s.txn = nil
}

func (s *session) resetVariables() {
	s.vars = map[string]string{varWaitFor: "", varWaitTimeout: "0", varTerm: ""}
	s.term, s.bound = 0, false
	s.waitFor, s.waitTimeout = nil, 0
}

func (s *session) setVariable(name, value string) error {
	switch name {
	case varTerm:
		if err := s.bind(value); err != nil {
			return err
		}
	case varWaitFor:
		s.waitFor = splitList(value)
	case varWaitTimeout:
		ms, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return sqlError(CodeBadParameter, "%s is not a number of milliseconds: %q", name, value)
		}
		s.waitTimeout = time.Duration(ms) * time.Millisecond
	case varPosition, varStatus:
		return sqlError(CodeBadParameter, "%s cannot be changed", name)
	}
	s.vars[name] = value
	return nil
}

// bind binds the connection to a term; the empty string removes the binding.
func (s *session) bind(value string) error {
	if value == "" {
		s.term, s.bound = 0, false
		return nil
	}
	term, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return sqlError(CodeBadParameter, "%s is not a term: %q", varTerm, value)
	}
	s.term, s.bound = term, true
	return nil
}

func splitList(value string) []string {
	var out []string
	for _, part := range strings.Split(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// lookUp returns the value of a variable for SHOW.
func (s *session) lookUp(name string) (string, error) {
	if name == varPosition {
		return s.db.Position().String(), nil
	}
	if v, ok := s.vars[name]; ok {
		return v, nil
	}
	for _, p := range reportedParameters {
		if strings.EqualFold(p.name, name) {
			return p.value, nil
		}
	}
	return "", sqlError(CodeUnknownVariable, "unrecognized configuration parameter %q", name)
}

// waitStatementTime waits for the configured statement time plus extra.
func (s *session) waitStatementTime(ctx context.Context, extra time.Duration) error {
	d := time.Duration(s.db.statementTime.Load()) + extra
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}
