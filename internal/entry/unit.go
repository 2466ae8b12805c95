package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// unit collects a caller's messages up to a Query or a Sync: what is sent to a
// target and answered as a whole.
type unit struct {
	messages []byte
	// injected tells, for each Parse in messages, whether the entry put it
	// there: its ParseComplete is not the caller's.
	injected []bool
	current  string // the prepared statement that the unnamed one now holds
	local    []localSet
	simple   bool
	executes bool // a statement of the caller's runs
}

// localSet is a SET of a session option within a unit.
type localSet struct{ name, value string }

func (u *unit) empty() bool { return len(u.messages) == 0 && len(u.local) == 0 }

func (u *unit) reset() { *u = unit{messages: u.messages[:0], injected: u.injected[:0]} }

// add takes a message in; whole is true when the unit can be served.
//
// Named prepared statements live here, not at a target: connections are shared
// between sessions, so a statement prepared on one would be missing on, or
// belong to somebody else on, the next. Each use sends its text again.
func (u *unit) add(s *caller, msg pgproto3.FrontendMessage) (whole bool, failure *result.Error) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		u.simple = true
		if name, value, ok := parseSet(m.String); ok {
			u.local = append(u.local, localSet{name, value})
			return true, nil
		}
		u.executes = true
		return true, u.append(m)
	case *pgproto3.Sync:
		return true, u.append(m)
	case *pgproto3.Flush:
		// Answers come with the Sync: a target's answer travels as a whole.
		return false, nil
	case *pgproto3.Parse:
		return false, u.addParse(s, m)
	case *pgproto3.Bind:
		return false, u.addBind(s, m)
	case *pgproto3.Describe:
		return false, u.addDescribe(s, m)
	case *pgproto3.Close:
		return false, u.addClose(s, m)
	case *pgproto3.Execute:
		u.executes = true
		return false, u.append(m)
	}
	return false, result.New(result.BadProtocol, "message %T is not served", msg)
}

func (u *unit) append(m pgproto3.FrontendMessage) *result.Error {
	out, err := m.Encode(u.messages)
	if err != nil {
		return result.New(result.BadProtocol, "%v", err)
	}
	u.messages = out
	return nil
}

// maxPrepared bounds the statements that one session keeps.
const maxPrepared = 1024

func (u *unit) addParse(s *caller, m *pgproto3.Parse) *result.Error {
	if len(s.prepared) >= maxPrepared {
		return result.New(result.BadProtocol, "more than %d prepared statements", maxPrepared)
	}
	kept := &pgproto3.Parse{Query: m.Query, ParameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}
	s.prepared[m.Name] = kept
	return u.sendParse(m.Name, kept, false)
}

func (u *unit) sendParse(name string, m *pgproto3.Parse, injected bool) *result.Error {
	u.current = name
	u.injected = append(u.injected, injected)
	return u.append(m)
}

// ensure makes the unnamed statement hold the named one.
func (u *unit) ensure(s *caller, name string) *result.Error {
	if len(u.injected) > 0 && u.current == name {
		return nil
	}
	kept := s.prepared[name]
	if kept == nil {
		return result.New(result.BadProtocol, "no prepared statement %q", name)
	}
	return u.sendParse(name, kept, true)
}

func (u *unit) addBind(s *caller, m *pgproto3.Bind) *result.Error {
	if failure := u.ensure(s, m.PreparedStatement); failure != nil {
		return failure
	}
	b := *m
	b.PreparedStatement = ""
	return u.append(&b)
}

// objectStatement marks a prepared statement in Describe and Close.
const objectStatement = 'S'

func (u *unit) addDescribe(s *caller, m *pgproto3.Describe) *result.Error {
	if m.ObjectType != objectStatement {
		return u.append(m)
	}
	if failure := u.ensure(s, m.Name); failure != nil {
		return failure
	}
	return u.append(&pgproto3.Describe{ObjectType: objectStatement})
}

func (u *unit) addClose(s *caller, m *pgproto3.Close) *result.Error {
	if m.ObjectType != objectStatement {
		return u.append(m)
	}
	delete(s.prepared, m.Name)
	if u.current == m.Name {
		u.current = ""
	}
	return u.append(&pgproto3.Close{ObjectType: objectStatement})
}

// strip removes the ParseComplete messages that answer injected Parses.
func (u *unit) strip(messages []byte) ([]byte, error) {
	if !u.anyInjected() {
		return messages, nil
	}
	out := make([]byte, 0, len(messages))
	next := 0
	err := pgwire.Split(messages, func(f pgwire.Frame) error {
		if f.Type() == pgwire.TypeParseComplete && next < len(u.injected) {
			next++
			if u.injected[next-1] {
				return nil
			}
		}
		out = append(out, f...)
		return nil
	})
	return out, err
}

func (u *unit) anyInjected() bool {
	for _, injected := range u.injected {
		if injected {
			return true
		}
	}
	return false
}
