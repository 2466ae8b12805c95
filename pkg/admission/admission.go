// Package admission is the queue in front of one target: which request gets a
// slot next, which one is refused and when its caller should come back.
//
// It does no I/O and reads no clock. Not safe for concurrent use.
package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Priority orders the classes; a lower number is more urgent.
type Priority int

// The priorities.
const (
	Urgent Priority = iota
	Normal
	Background

	priorities = 3
)

// lowShare is the part of the slots' time that a priority below Urgent gets at
// least while it has work: strict priority alone would starve landing reports
// for as long as confirmations keep the target busy.
const lowShare = 0.05

// maxCredit bounds the share that a priority saves up while it can't run, so that
// it does not take all slots once it can.
const maxCredit = time.Second

// minRetryAfter is the least time to come back: sooner, a refused caller would
// meet the same queue.
const minRetryAfter = 10 * time.Millisecond

// Request asks for a slot. Its ID is unique within the queue.
type Request struct {
	ID       uint64
	Member   string
	Class    string
	Priority Priority
	// Deadline is when the caller gives up.
	Deadline mono.Time
	// Service is the expected time in the slot; 0 takes the class's average.
	Service time.Duration
	// Transaction is the number of an open transaction, or 0. Such a request has
	// a connection already; it comes before new ones of its priority, so that
	// held connections are freed.
	Transaction uint64
	// Opens: the request opens the transaction and holds a connection until
	// EndTransaction.
	Opens bool
	// LowerPlace puts the request behind the others of its priority: a read at
	// the primary.
	LowerPlace bool
}

// continues reports whether the request's transaction holds a connection.
func (r *Request) continues() bool { return r.Transaction != 0 && !r.Opens }

// Limits bound the queue. They may change while requests wait.
type Limits struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// Reserved slots are kept free for urgent requests while these come often.
	Reserved int
	// Queue, ClassQueue and MemberQueue bound how many requests wait in all, of
	// one class and of one member.
	Queue       int
	ClassQueue  int
	MemberQueue int
	// Classes overrides ClassQueue for some classes.
	Classes map[string]int
	// Transactions bounds the open transactions, each of which holds a
	// connection.
	Transactions int
	// Weights are the members' shares within a priority; 1 if not listed.
	Weights map[string]float64
}

func (l *Limits) classQueue(class string) int {
	if n, ok := l.Classes[class]; ok {
		return n
	}
	return l.ClassQueue
}

func (l *Limits) weight(member string) float64 {
	if w := l.Weights[member]; w > 0 {
		return w
	}
	return 1
}

// Answer is the final answer to a request that waited and has not run.
type Answer struct {
	ID  uint64
	Err *result.Error
}
