package database

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// prepared is a parsed statement with the types of its parameters.
type prepared struct {
	stmt  *sqlparse.Statement
	types []uint32
}

// portal is a prepared statement with the values of its parameters.
type portal struct {
	*prepared
	args    []*string
	formats []int16
}

const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

// extended handles a message of the extended protocol. It returns false when
// the connection is over.
func (s *session) extended(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.Sync:
		s.sync()
		return s.conn.flush() == nil
	case *pgproto3.Flush:
		return s.conn.flush() == nil
	}
	if s.skipping {
		return true
	}
	if err := s.handleExtended(msg); err != nil {
		s.conn.send(responseTo(err, "ERROR"))
		s.skipping = true
	}
	return true
}

func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bindPortal(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Close:
		s.closeObject(m)
	case *pgproto3.Execute:
		return s.executePortal(m) // execute rolls back by itself
	default:
		err = sqlError(CodeProtocol, "unexpected message %T", msg)
	}
	if err != nil {
		s.fail()
	}
	return err
}

// sync ends a batch and commits its implicit transaction, if there is one.
func (s *session) sync() {
	s.skipping = false
	if s.txn != nil && s.txn.implicit {
		ctx, done := s.conn.statementContext()
		err := s.commitOpen(ctx)
		done()
		if err != nil {
			s.conn.send(responseTo(err, "ERROR"))
		}
	}
	s.conn.ready(s.status())
}

func (s *session) parse(m *pgproto3.Parse) error {
	stmts, err := sqlparse.Parse(m.Query)
	if err != nil {
		return err
	}
	stmt := &sqlparse.Statement{Kind: sqlparse.Empty}
	switch len(stmts) {
	case 0:
	case 1:
		stmt = stmts[0]
	default:
		return sqlError(CodeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	s.prepared[m.Name] = &prepared{stmt: stmt, types: paramTypes(stmt, m.ParameterOIDs)}
	s.conn.send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bindPortal(m *pgproto3.Bind) error {
	p, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return sqlError(CodeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.types) {
		return sqlError(CodeProtocol, "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(p.types))
	}
	args := make([]*string, len(p.types))
	for i, raw := range m.Parameters {
		arg, err := decodeValue(p.types[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		args[i] = arg
	}
	s.portals[m.DestinationPortal] = &portal{prepared: p, args: args, formats: m.ResultFormatCodes}
	s.conn.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == objectStatement {
		p, ok := s.prepared[m.Name]
		if !ok {
			return sqlError(CodeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		s.conn.send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
		s.describeColumns(p.stmt, nil)
		return nil
	}
	p, ok := s.portals[m.Name]
	if !ok {
		return sqlError(CodeNoPortal, "portal %q does not exist", m.Name)
	}
	s.describeColumns(p.stmt, p.formats)
	return nil
}

func (s *session) describeColumns(stmt *sqlparse.Statement, formats []int16) {
	columns := columnsOf(stmt)
	if len(columns) == 0 {
		s.conn.send(&pgproto3.NoData{})
		return
	}
	s.sendDescription(columns, formats)
}

func (s *session) closeObject(m *pgproto3.Close) {
	switch m.ObjectType {
	case objectStatement:
		delete(s.prepared, m.Name)
	case objectPortal:
		delete(s.portals, m.Name)
	}
	s.conn.send(&pgproto3.CloseComplete{})
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		s.fail()
		return sqlError(CodeNoPortal, "portal %q does not exist", m.Portal)
	}
	if p.stmt.Kind == sqlparse.Empty {
		s.conn.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	// The completion must be sent after the commit, which may fail, so a
	// statement right before Sync commits at once.
	_, last := s.conn.peek().(*pgproto3.Sync)
	res, err := s.execute(p.stmt, p.args, last)
	if err != nil {
		return err
	}
	s.sendRows(res, p.formats)
	return nil
}
