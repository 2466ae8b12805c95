package database

import (
	"strconv"
	"strings"
	"time"
)

// statusColumns are the columns of SHOW buckthornshore.status.
var statusColumns = []column{
	{"id", oidText},
	{"role", oidText},
	{"term", oidText},
	{"position", oidText},
	{"primary", oidText},
	{"surplus", oidText},
	{"connections", oidText},
	{"replicas", oidText},
	{"active", oidText},
}

// activeList returns the process ids of Active, separated by commas.
func (st *Status) activeList() string {
	words := make([]string, 0, len(st.Active))
	for _, pid := range st.Active {
		words = append(words, strconv.FormatUint(uint64(pid), 10))
	}
	return strings.Join(words, ",")
}

func (s *session) requireControl() error {
	if s.conn.control {
		return nil
	}
	return sqlError(CodePrivilege, "only for connections started with %s=%s", paramControl, valueOn)
}

func (s *session) statusResult() (*result, error) {
	if err := s.requireControl(); err != nil {
		return nil, err
	}
	st := s.db.Status()
	surplus := ""
	if st.Surplus != nil {
		surplus = st.Surplus.String()
	}
	values := []string{
		st.ID, string(st.Role), strconv.FormatUint(st.Term, 10), st.Position.String(),
		st.Primary, surplus, strconv.Itoa(st.Connections), st.replicaList(), st.activeList(),
	}
	row := make([]*string, len(values))
	for i := range values {
		row[i] = &values[i]
	}
	return &result{columns: statusColumns, rows: [][]*string{row}, tag: "SHOW"}, nil
}

// controlStatement runs a BTS statement. FENCE, PROMOTE and FOLLOW return the
// resulting status.
func (s *session) controlStatement(text string) (*result, error) {
	if err := s.requireControl(); err != nil {
		return nil, err
	}
	words := strings.Fields(text)
	command := controlCommand(text)
	args := words[min(2, len(words)):]
	switch {
	case command == "SET" && len(args) == 2:
		return tagOnly("BTS"), s.db.setSetting(strings.ToLower(args[0]), strings.Trim(args[1], "'"))
	case command == "TERMINATE" && len(args) == 2:
		return tagOnly("BTS"), s.terminate(args[0], args[1])
	case command == "FENCE" && len(args) == 1, command == "PROMOTE" && len(args) == 1, command == "FOLLOW" && len(args) == 3:
		if err := s.changeRole(command, args); err != nil {
			return nil, err
		}
		return s.statusResult()
	}
	return nil, sqlError(CodeSyntax, "unknown control statement %q", text)
}

// terminate closes a connection; it is no error if the connection is closed
// already.
func (s *session) terminate(pid, secret string) error {
	n, err := strconv.ParseUint(pid, 10, 32)
	if err != nil {
		return sqlError(CodeBadParameter, "not a process id: %q", pid)
	}
	s.db.terminate(uint32(n), strings.Trim(secret, "'"))
	return nil
}

func controlCommand(text string) string {
	words := strings.Fields(text)
	if len(words) < 2 {
		return ""
	}
	return strings.ToUpper(words[1])
}

func (s *session) changeRole(command string, args []string) error {
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return sqlError(CodeBadParameter, "not a term: %q", args[0])
	}
	switch command {
	case "FENCE":
		return s.db.Fence(term)
	case "PROMOTE":
		return s.db.Promote(term)
	}
	return s.db.Follow(term, strings.Trim(args[1], "'"), strings.Trim(args[2], "'"))
}

func (d *Database) setSetting(name, value string) error {
	switch name {
	case "replication_delay", "statement_time":
		v, err := time.ParseDuration(value)
		if err != nil || v < 0 {
			return sqlError(CodeBadParameter, "not a duration: %q", value)
		}
		if name == "statement_time" {
			d.statementTime.Store(int64(v))
		} else {
			d.replicationDelay.Store(int64(v))
		}
	case "reject_connections":
		if value != valueOn && value != valueOff {
			return sqlError(CodeBadParameter, "%s is on or off, not %q", name, value)
		}
		d.rejecting.Store(value == valueOn)
	default:
		return sqlError(CodeUnknownVariable, "unknown setting %q", name)
	}
	d.cfg.Log.Info("setting changed", "event", "setting_changed", "id", d.cfg.ID, "name", name, "value", value)
	return nil
}
