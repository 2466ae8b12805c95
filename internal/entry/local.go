package entry

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// localKind is the kind of a statement that the entry answers itself.
type localKind int

const (
	localSet localKind = iota + 1
	localReset
	localShow
	localOutcome
)

// localStatement is a statement that the entry answers itself.
type localStatement struct {
	kind  localKind
	name  string // of the option without its prefix, or of the function
	value string // new value of a SET, or the request id of an outcome query
}

// valuePattern matches a quoted or a bare value.
const valuePattern = `('(?:[^']|'')*'|[^\s;']+)`

// localPatterns match the statements that the entry answers itself, at the start of
// the text. All other SQL is forwarded without being parsed.
var localPatterns = []struct {
	kind    localKind
	pattern *regexp.Regexp
}{
	{localSet, localPattern(`set\s+(?:session\s+)?buckthornshore\.([a-z_]+)\s*(?:=|\s+to\s+)\s*` + valuePattern)},
	{localReset, localPattern(`reset\s+buckthornshore\.([a-z_]+)`)},
	{localShow, localPattern(`show\s+buckthornshore\.([a-z_]+)`)},
	{localOutcome, localPattern(`select\s+buckthornshore\.(outcome)\s*\(\s*` + valuePattern + `\s*\)`)},
}

func localPattern(statement string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^\s*` + statement + `\s*(?:;\s*|$)`)
}

// parseLocal parses a statement that the entry answers itself from the start of sql.
// rest is the text after it.
func parseLocal(sql string) (l localStatement, rest string, ok bool) {
	if !mentionsOptions(sql) {
		return localStatement{}, sql, false
	}
	for _, p := range localPatterns {
		m := p.pattern.FindStringSubmatch(sql)
		if m == nil {
			continue
		}
		l = localStatement{kind: p.kind, name: strings.ToLower(m[1])}
		if len(m) > 2 {
			l.value = unquote(m[2])
		}
		return l, sql[len(m[0]):], true
	}
	return localStatement{}, sql, false
}

func unquote(value string) string {
	if len(value) >= 2 && value[0] == '\'' {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return value
}

// mentionsOptions reports whether sql contains the option prefix in any case. It is
// a cheap check that spares most statements the regular expressions.
func mentionsOptions(sql string) bool {
	const prefixLen = len(optionPrefix)
	for i := 0; i+prefixLen <= len(sql); i++ {
		if sql[i]|asciiLowerCaseBit == optionPrefix[0] && strings.EqualFold(sql[i:i+prefixLen], optionPrefix) {
			return true
		}
	}
	return false
}

// asciiLowerCaseBit is the bit that is set in lower-case ASCII letters only.
const asciiLowerCaseBit = 0x20

// protectedSettings matches statements that would change the settings by which a
// pooler binds its connection to a term and to the replicas that a commit waits for.
var protectedSettings = regexp.MustCompile(`(?is)\b(?:set|reset|set_config)\b[^;]*buckthornshore\.`)

// checkForwardedSQL refuses SQL that would reach a target with a statement that only
// the entry may answer, because that statement does not come first or is written in
// another form. The target would execute it as its own.
func checkForwardedSQL(sql string) *result.Error {
	if mentionsOptions(sql) && protectedSettings.MatchString(sql) {
		return result.New(result.BadOption, "SET, RESET, SHOW and outcome of %s* are written plainly and come first", optionPrefix)
	}
	return nil
}

// returnsRow reports whether the statement returns one row with one column.
func (l *localStatement) returnsRow() bool { return l.kind == localShow || l.kind == localOutcome }

func (l *localStatement) tag() string {
	switch l.kind {
	case localSet:
		return "SET"
	case localReset:
		return "RESET"
	case localShow:
		return "SHOW"
	case localOutcome:
	}
	return "SELECT 1"
}

// description is the statement's RowDescription, or NoData.
func (l *localStatement) description() pgproto3.BackendMessage {
	if !l.returnsRow() {
		return &pgproto3.NoData{}
	}
	name := l.name
	if l.kind == localShow {
		name = optionPrefix + l.name
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1},
	}}
}

// runLocal executes the statement and returns its encoded DataRow, if any, and
// CommandComplete.
func (s *callerSession) runLocal(l *localStatement) ([]byte, *result.Error) {
	value, failure := s.evaluate(l)
	if failure != nil {
		return nil, failure
	}
	var out []byte
	if l.returnsRow() {
		out = encode(out, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(l.tag())}), nil
}

func (s *callerSession) evaluate(l *localStatement) (string, *result.Error) {
	switch l.kind {
	case localSet:
		return "", s.setOption(l.name, l.value)
	case localReset:
		return "", s.resetOption(l.name)
	case localShow:
		field := s.options.field(l.name)
		if field == nil {
			return "", result.New(result.BadOption, "no option %q", optionPrefix+l.name)
		}
		return *field, nil
	case localOutcome:
		return s.outcome(l.value)
	}
	return "", result.New(result.Internal, "local statement %d", l.kind)
}

// encode appends an encoded message to out. The entry's own messages never fail to
// encode, so an error leaves out unchanged.
func encode(out []byte, m pgproto3.BackendMessage) []byte {
	grown, err := m.Encode(out)
	if err != nil {
		return out
	}
	return grown
}
