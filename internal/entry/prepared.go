package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Limits of the prepared statements of one session. The entry keeps their texts in
// memory until the session ends.
const (
	maxPreparedStatements = 1024
	maxPreparedBytes      = 4 << 20
)

// preparedStatement is a statement as the caller prepared it.
type preparedStatement struct {
	pgproto3.Parse                 // without a name
	localStatement *localStatement // not nil if the entry answers the statement itself
}

// preparedTable holds a session's prepared statements by name. The zero value is
// ready for use.
type preparedTable struct {
	statements map[string]*preparedStatement
	bytes      int
}

func (t *preparedTable) get(name string) *preparedStatement { return t.statements[name] }

func (t *preparedTable) put(name string, p *preparedStatement) *result.Error {
	t.remove(name)
	if len(t.statements) >= maxPreparedStatements {
		return result.New(result.BadProtocol, "more than %d prepared statements", maxPreparedStatements)
	}
	if t.bytes+size(name, p) > maxPreparedBytes {
		return result.New(result.MessageTooLarge, "prepared statements of more than %d bytes", maxPreparedBytes)
	}
	if t.statements == nil {
		t.statements = map[string]*preparedStatement{}
	}
	t.statements[name] = p
	t.bytes += size(name, p)
	return nil
}

func (t *preparedTable) remove(name string) {
	if p := t.statements[name]; p != nil {
		t.bytes -= size(name, p)
		delete(t.statements, name)
	}
}

func size(name string, p *preparedStatement) int {
	const perParameter = 4
	return len(name) + len(p.Query) + perParameter*len(p.ParameterOIDs)
}
