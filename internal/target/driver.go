// Package target pools this VM's connections to the targets, which are databases, and
// decides which waiting request gets the next free one.
//
// A target that takes too few connections for all VMs has holders: the VMs that connect to it
// directly. The other VMs reach it through a holder.
package target

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// CommandKind is the kind of a command that is sent to a target: a caller's own text, or
// a command of the proxy.
type CommandKind int

// The kinds of commands.
const (
	// Caller sends Text to the target unchanged.
	Caller CommandKind = iota
	// Execute sends Text with its statement's name replaced by Name.
	Execute
	Begin
	BeginReadOnly
	Rollback
	// Reset clears the connection's values and prepared statements.
	Reset
	Set
	PrepareRead
	PrepareWrite
)

// Command is a command that a connection runs.
type Command struct {
	Kind CommandKind
	// ID is the caller's statement ID, or statement.OwnID for a command of the proxy.
	ID   string
	Text string
	// Name and Value are the arguments of Set, PrepareRead and PrepareWrite. Name is also that of Execute. Holders of
	// the previous version read the arguments of Execute in Value.
	Name, Value string
	// Priority is the priority of the request, and Useful the time within which its answer meets
	// the objective of its class, or 0 if that is its whole remaining time. A holder uses both to
	// order the requests that wait for its connections.
	Priority int
	Useful   time.Duration
	// Insist has Run retry on the same connection, while time remains, if the target
	// refuses the command because of its load before running it.
	Insist bool
	// Customer is the customer whose request it is. Anyone is set if it may run on a connection of
	// any customer. A holder uses both to choose one of its connections.
	Customer topology.CustomerID
	Anyone   bool
	// After makes the target refuse the command unless its log contains the position.
	After position.Position
}

// Conn is a connection to a target. Only one goroutine may use it at a time.
type Conn interface {
	// Run sends a command and returns its whole answer. After an error it isn't known
	// whether the command ran. After os.ErrDeadlineExceeded, Finish may be called; after
	// any other error the connection can't be used any more.
	Run(deadline time.Time, c Command) (statement.Answer, error)
	// Finish reads the rest of an answer for which Run's deadline was too short.
	Finish(deadline time.Time) (statement.Answer, error)
	Close()
}

// Evidence is what an answer shows of the target's state.
type Evidence struct {
	// Direct is set if the target itself answered. Otherwise a holder answered without the
	// target, and the other fields are the target's state as seen by the holder.
	Direct bool `msgpack:"d"`
	// Failing is set if the holder doesn't reach the target.
	Failing bool `msgpack:"f"`
	// AnsweredAgo is the time since the target last answered the holder, or NeverAnswered.
	AnsweredAgo time.Duration `msgpack:"a"`
}

// NeverAnswered is the AnsweredAgo of a target that has never answered.
const NeverAnswered time.Duration = -1

// IndirectConn is implemented by a Conn that leads to a holder, which may answer without the target.
// All answers of any other Conn are the target's.
type IndirectConn interface {
	// Evidence returns what the last answer shows, or the answer to the opening if there is none
	// since.
	Evidence() Evidence
}

// leadsToHolder reports whether a connection leads to a holder, which keeps customers apart by itself.
func leadsToHolder(c Conn) bool {
	_, ok := c.(IndirectConn)
	return ok
}

func evidenceOf(c Conn) Evidence {
	if indirect, ok := c.(IndirectConn); ok {
		return indirect.Evidence()
	}
	return Evidence{Direct: true}
}

// Driver opens connections to targets. Safe for concurrent use.
type Driver interface {
	// Dial opens a connection for the requests of one customer. It fails if another target than t
	// answers at the address.
	Dial(ctx context.Context, t topology.Target, customer topology.CustomerID) (Conn, error)
}

// Status is a target's replication state as reported by itself.
type Status struct {
	Primary bool
	// Term is the term of the newest log entry.
	Term uint64
	// Received is the newest position in the log.
	Received position.Position
	// StoppedAt is the term up to which the target receives no log entries, or 0 if it receives all.
	StoppedAt uint64
	Lag       time.Duration
}
