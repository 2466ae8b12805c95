package database

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// column is one column of a result.
type column struct {
	name string
	oid  uint32
}

// result is the result of a statement; a nil value is NULL.
type result struct {
	columns []column
	rows    [][]*string
	tag     string
}

func tagOnly(tag string) *result { return &result{tag: tag} }

func selectTag(rows int) string { return "SELECT " + strconv.Itoa(rows) }

func rowsOf(stmt *sqlparse.Statement, rows ...[]*string) *result {
	return &result{columns: columnsOf(stmt), rows: rows, tag: selectTag(len(rows))}
}

var (
	valueColumns = []column{{"v", oidText}}
	rowColumns   = []column{{"k", oidText}, {"v", oidText}}
	countColumns = []column{{"count", oidInt8}}
	oneColumns   = []column{{"?column?", oidInt4}}
	echoColumns  = []column{{"text", oidText}}
	sleepColumns = []column{{"pg_sleep", oidVoid}}
)

// columnsOf returns the columns of a statement's result, or nil if it returns no
// rows.
func columnsOf(stmt *sqlparse.Statement) []column {
	switch stmt.Kind {
	case sqlparse.SelectValue:
		return valueColumns
	case sqlparse.SelectRows:
		return rowColumns
	case sqlparse.SelectCount:
		return countColumns
	case sqlparse.SelectOne:
		return oneColumns
	case sqlparse.SelectEcho:
		return echoColumns
	case sqlparse.SelectSleep:
		return sleepColumns
	case sqlparse.Show:
		if stmt.Name == varStatus {
			return statusColumns
		}
		return []column{{stmt.Name, oidText}}
	case sqlparse.Control:
		if controlCommand(stmt.Text) != "SET" {
			return statusColumns
		}
	}
	return nil
}

// sendDescription sends RowDescription if there are columns.
func (s *session) sendDescription(columns []column, formats []int16) {
	if len(columns) == 0 {
		return
	}
	msg := &pgproto3.RowDescription{}
	for i, c := range columns {
		msg.Fields = append(msg.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: sizeOf(c.oid),
			TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	s.conn.send(msg)
}

// sendRows sends the rows and CommandComplete.
func (s *session) sendRows(res *result, formats []int16) {
	for _, row := range res.rows {
		msg := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if v != nil {
				msg.Values[i] = encodeValue(res.columns[i].oid, formatOf(formats, i), *v)
			}
		}
		s.conn.send(msg)
	}
	s.conn.send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}
