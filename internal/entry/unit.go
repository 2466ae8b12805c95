package entry

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// unit collects a caller's messages up to a Query or a Sync. They are sent to a
// target and answered together.
type unit struct {
	messages   []byte // encoded messages for the target
	steps      []step // one for each message, for the target or the entry itself
	unnamed    string // name of the prepared statement in the target's unnamed statement
	unnamedSet bool   // whether the target's unnamed statement is set
	portals    map[string]*localStatement
	// executes is set when the messages execute a statement at the target.
	executes bool
	// spliced is set when the target's answer has to be merged with the entry's own.
	spliced bool
	// failure is the first error. Messages after it are ignored up to the Sync.
	failure *pgproto3.ErrorResponse
}

func (u *unit) empty() bool { return len(u.steps) == 0 && u.failure == nil }

func (u *unit) reset() { *u = unit{messages: u.messages[:0], steps: u.steps[:0]} }

// add adds a message to the unit. It returns true when the unit is complete.
//
// Named prepared statements are kept at the entry, not at a target: sessions share
// the targets' connections, so a statement that was prepared on one connection would
// be missing on the next, or be that of another session. A unit that uses a
// statement sends its text again.
func (u *unit) add(s *callerSession, msg pgproto3.FrontendMessage) (complete bool) {
	if _, ok := msg.(*pgproto3.Sync); ok {
		return u.sync()
	}
	if u.failure != nil {
		return false // As in PostgreSQL, all messages after an error are ignored up to the Sync.
	}
	if len(u.messages) > s.server.o.View.Config().Limits().MessageBytes {
		u.fail(pgwire.ErrorResponse(result.New(result.MessageTooLarge, "all messages up to the Sync"), pgwire.SeverityError))
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		u.addQuery(m)
		return true
	case *pgproto3.FunctionCall:
		u.refuse(result.New(result.BadProtocol, "function calls are not served"))
		return true
	case *pgproto3.Parse:
		u.addParse(s, m)
	case *pgproto3.Bind:
		u.addBind(s, m)
	case *pgproto3.Describe:
		u.addDescribe(s, m)
	case *pgproto3.Execute:
		u.addExecute(m)
	case *pgproto3.Close:
		u.addClose(s, m)
	case *pgproto3.Flush, *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Answers are sent at the Sync, as a target's answer is passed on only when
		// it is complete. Copy messages outside of a COPY are ignored, as in
		// PostgreSQL.
	default:
		u.refuse(result.New(result.BadProtocol, "message %T is not served", msg))
	}
	return false
}

// sync completes the unit, with a Sync for the target if it has messages for one.
func (u *unit) sync() bool {
	if len(u.messages) > 0 {
		u.messages, _ = (&pgproto3.Sync{}).Encode(u.messages) // A Sync never fails to encode.
	}
	return true
}

func (u *unit) fail(e *pgproto3.ErrorResponse) { u.failure = e }

func (u *unit) refuse(e *result.Error) { u.fail(pgwire.ErrorResponse(e, pgwire.SeverityError)) }

// addRemote adds a message that is sent to the target.
func (u *unit) addRemote(st step, m pgproto3.FrontendMessage) {
	out, err := m.Encode(u.messages)
	if err != nil {
		u.refuse(result.New(result.BadProtocol, "%v", err))
		return
	}
	u.messages = out
	u.steps = append(u.steps, st)
	u.spliced = u.spliced || st.injected || st.kind == stepParse && st.name != ""
	u.executes = u.executes || st.kind == stepExecute || st.kind == stepQuery
}

// addLocal adds a message that the entry answers itself.
func (u *unit) addLocal(st step) {
	st.kind = stepLocal
	if st.localStatement != nil && u.executes {
		u.refuse(result.New(result.BadOption, "statements of %s* come before the others of their batch", optionPrefix))
		return
	}
	u.steps = append(u.steps, st)
	u.spliced = true
}

// addQuery adds a simple query. Leading statements that the entry answers itself
// become steps of their own.
func (u *unit) addQuery(m *pgproto3.Query) {
	rest := m.String
	for {
		l, after, ok := parseLocal(rest)
		if !ok {
			break
		}
		st := step{localStatement: &l}
		if l.returnsRow() {
			st.reply = encode(nil, l.description())
		}
		u.addLocal(st)
		rest = after
	}
	if rest == "" && len(u.steps) > 0 {
		return
	}
	if failure := checkForwardedSQL(rest); failure != nil {
		u.refuse(failure)
		return
	}
	u.addRemote(step{kind: stepQuery}, &pgproto3.Query{String: rest})
}

func (u *unit) addParse(s *callerSession, m *pgproto3.Parse) {
	if m.Name != "" && s.prepared.get(m.Name) != nil {
		u.fail(statementError(stateDuplicateStatement, "prepared statement %q already exists", m.Name))
		return
	}
	statement := &preparedStatement{Parse: pgproto3.Parse{Query: m.Query, ParameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}}
	l, rest, ok := parseLocal(m.Query)
	if ok && rest != "" {
		u.refuse(result.New(result.BadOption, "one statement at a time can be prepared"))
		return
	}
	if ok {
		statement.localStatement = &l
	} else if failure := checkForwardedSQL(m.Query); failure != nil {
		u.refuse(failure)
		return
	}
	if failure := s.prepared.put(m.Name, statement); failure != nil {
		u.refuse(failure)
		return
	}
	if ok {
		u.addLocal(step{reply: encode(nil, &pgproto3.ParseComplete{})})
		return
	}
	u.sendParse(m.Name, statement, false)
}

func (u *unit) sendParse(name string, p *preparedStatement, injected bool) {
	u.unnamed, u.unnamedSet = name, true
	u.addRemote(step{kind: stepParse, injected: injected, name: name}, &p.Parse)
}

// ensureParsed adds a Parse of the prepared statement, unless it is the target's
// unnamed statement already.
func (u *unit) ensureParsed(name string, p *preparedStatement) {
	if !u.unnamedSet || u.unnamed != name {
		u.sendParse(name, p, true)
	}
}

// findStatement returns the prepared statement of the name. If there is none, it
// fails the unit and returns nil.
func (u *unit) findStatement(s *callerSession, name string) *preparedStatement {
	p := s.prepared.get(name)
	if p == nil {
		u.fail(statementError(stateNoStatement, "prepared statement %q does not exist", name))
	}
	return p
}

func (u *unit) addBind(s *callerSession, m *pgproto3.Bind) {
	p := u.findStatement(s, m.PreparedStatement)
	if p == nil {
		return
	}
	if p.localStatement != nil {
		if u.portals == nil {
			u.portals = map[string]*localStatement{}
		}
		u.portals[m.DestinationPortal] = p.localStatement
		u.addLocal(step{reply: encode(nil, &pgproto3.BindComplete{})})
		return
	}
	delete(u.portals, m.DestinationPortal)
	u.ensureParsed(m.PreparedStatement, p)
	b := *m
	b.PreparedStatement = ""
	u.addRemote(step{kind: stepBind}, &b)
}

// objectStatement is the object type of a prepared statement in Describe and Close.
const objectStatement = 'S'

func (u *unit) addDescribe(s *callerSession, m *pgproto3.Describe) {
	if m.ObjectType != objectStatement {
		if l := u.portals[m.Name]; l != nil {
			u.addLocal(step{reply: encode(nil, l.description())})
			return
		}
		u.addRemote(step{kind: stepDescribe}, m)
		return
	}
	p := u.findStatement(s, m.Name)
	if p == nil {
		return
	}
	if p.localStatement != nil {
		u.addLocal(step{reply: encode(encode(nil, &pgproto3.ParameterDescription{}), p.localStatement.description())})
		return
	}
	u.ensureParsed(m.Name, p)
	u.addRemote(step{kind: stepDescribe}, &pgproto3.Describe{ObjectType: objectStatement})
}

func (u *unit) addExecute(m *pgproto3.Execute) {
	if l := u.portals[m.Portal]; l != nil {
		u.addLocal(step{localStatement: l})
		return
	}
	u.addRemote(step{kind: stepExecute}, m)
}

func (u *unit) addClose(s *callerSession, m *pgproto3.Close) {
	if m.ObjectType != objectStatement {
		if u.portals[m.Name] == nil {
			u.addRemote(step{kind: stepClose}, m)
			return
		}
		delete(u.portals, m.Name)
	} else {
		s.prepared.remove(m.Name)
		u.unnamedSet = u.unnamedSet && u.unnamed != m.Name
	}
	u.addLocal(step{reply: encode(nil, &pgproto3.CloseComplete{})})
}

// SQLSTATE codes of PostgreSQL's errors about prepared statements.
const (
	stateNoStatement        = "26000"
	stateDuplicateStatement = "42P05"
)

func statementError(state, format string, args ...any) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            pgwire.SeverityError,
		SeverityUnlocalized: pgwire.SeverityError,
		Code:                state,
		Message:             fmt.Sprintf(format, args...),
	}
}
