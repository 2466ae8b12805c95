// Package statement holds the typed statements and answers that pass between
// callers and targets. A codec at either edge turns a wire protocol into them.
package statement

import (
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Kind is what a statement does.
type Kind int

// The kinds of statements.
const (
	Invalid Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
)

var kindNames = [...]string{"invalid", "begin", "begin_read_only", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String names the kind for logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's own and reaches the target unchanged.
	ID string
	// Text is the statement as the caller wrote it.
	Text string
	Kind Kind
	// Name is the session value's or the prepared statement's.
	Name string
	// Value is what Set gives to the session value.
	Value string
	// Shape is what Prepare prepares; Writes tells whether it changes data.
	Shape  string
	Writes bool
	// Arguments follow the name of Execute, unchanged.
	Arguments string
}

// OwnID marks statements that the system issues itself.
const OwnID = "-"

// State is a session's state after an answer.
type State byte

// The states of a session.
const (
	// Idle: no transaction is open.
	Idle State = 'I'
	// Open: a transaction is open.
	Open State = 'T'
	// Failed: the transaction failed and can only be ended.
	Failed State = 'E'
)

// Answer is the whole answer to one statement.
type Answer struct {
	Rows []string
	// Digest is the target's proof over the rows; empty if nothing ran there.
	Digest string
	// Failure is nil when the statement succeeded.
	Failure *result.Error
	State   State
	// Position is the newest log position that the target reported.
	Position position.Position
}

// Done is the answer to a statement that the system carries out itself.
func Done(s State) Answer { return Answer{State: s} }

// Fail is the answer to a statement that failed.
func Fail(e *result.Error, s State) Answer { return Answer{Failure: e, State: s} }
