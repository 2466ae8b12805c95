// Package admission implements the queue in front of one target. It decides which
// request gets a slot next, which one is refused, and when the caller of a refused
// request should retry.
//
// It does no I/O and reads no clock. It is not safe for concurrent use.
package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Priority ranks requests; a lower number is more urgent.
type Priority int

// The priorities.
const (
	Urgent Priority = iota
	Normal
	Background

	priorities = 3
)

// lowerPriorityShare is the minimum share of the slots' time that each priority
// below Urgent gets while it has requests waiting. Strict priority alone would
// starve landing reports, which are background requests, for as long as
// confirmations, which are urgent, keep the target busy.
const lowerPriorityShare = 0.05

// maxCredit bounds the slot time that a priority accumulates while it can't run,
// so that it does not take all slots once it can.
const maxCredit = time.Second

// minRetryAfter is the shortest retry delay given to a caller: one that retried
// sooner would find the same queue.
const minRetryAfter = 10 * time.Millisecond

// Request is a request for a slot. Its ID is unique within the queue.
type Request struct {
	ID       uint64
	Member   string
	Class    string
	Priority Priority
	// Deadline is when the caller gives up.
	Deadline mono.Time
	// Service is the expected time in the slot, used until a request of the class
	// has been measured; 0 means a default.
	Service time.Duration
	// Transaction is the number of the request's transaction, or 0. A request of an
	// open transaction already has a connection; it is served before new ones of
	// its priority, so that held connections are freed.
	Transaction uint64
	// Opens is set when the request opens the transaction, which holds a connection
	// until EndTransaction.
	Opens bool
	// LowerPlace puts the request behind the others of its priority. It is set for
	// reads at the primary.
	LowerPlace bool
}

// continues reports whether the request belongs to a transaction that is already
// open and holds a connection.
func (r *Request) continues() bool { return r.Transaction != 0 && !r.Opens }

// Limits bound the queue. They may change while requests wait.
type Limits struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Reserved is the number of slots kept free for urgent requests while these
	// arrive frequently.
	Reserved int
	// Queue, ClassQueue and MemberQueue bound the number of waiting requests in
	// total, per class and per member.
	Queue       int
	ClassQueue  int
	MemberQueue int
	// Classes overrides ClassQueue for some classes.
	Classes map[string]int
	// Transactions bounds the open transactions, each of which holds a
	// connection.
	Transactions int
	// Weights are the members' relative shares within a priority; a member that is
	// not listed has weight 1.
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

// Answer is the final answer to a request that waited and was not run.
type Answer struct {
	ID  uint64
	Err *result.Error
}
