// Package statement defines the typed statements and answers that are exchanged between
// callers and targets. Codecs on both sides convert wire protocols to and from them.
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

// String returns the name of the kind, for logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one request of a caller.
type Statement struct {
	// ID is set by the caller and reaches the target unchanged.
	ID string
	// Text is the statement as the caller wrote it.
	Text string
	Kind Kind
	// Name is the name of the session value or of the prepared statement.
	Name string
	// Value is the new session value of a Set statement.
	Value string
	// Shape is the statement that Prepare prepares; Writes is set if it changes data.
	Shape  string
	Writes bool
	// Arguments is the text after the name in an Execute statement, unchanged.
	Arguments string
}

// OwnID is the ID of statements that the proxy issues itself.
const OwnID = "-"

// State is a session's state after an answer.
type State byte

// The states of a session.
const (
	// Idle means that no transaction is open.
	Idle State = 'I'
	// Open means that a transaction is open.
	Open State = 'T'
	// Failed means that the transaction has failed and can only be ended.
	Failed State = 'E'
)

// StateAfter returns the state of a target's connection after a statement of the kind has succeeded there, in a
// transaction or on its own.
func (k Kind) StateAfter(inTransaction bool) State {
	if inTransaction && k != Commit {
		return Open
	}
	return Idle
}

// Answer is the complete answer to one statement.
type Answer struct {
	Rows []string
	// Digest is the digest of the rows that the target computed, or empty if nothing ran there.
	Digest string
	// Failure is nil when the statement succeeded.
	Failure *result.Error
	State   State
	// Position is the newest log position that the target reported.
	Position position.Position
}

// Done returns the answer to a statement that the proxy executes itself.
func Done(s State) Answer { return Answer{State: s} }

// Fail returns the answer to a statement that failed.
func Fail(e *result.Error, s State) Answer { return Answer{Failure: e, State: s} }
