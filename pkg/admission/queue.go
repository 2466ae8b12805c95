package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Queue holds the requests of one target that wait for a slot or run in one.
type Queue struct {
	limits   Limits
	levels   [priorities]level
	classes  map[string]int
	members  map[string]int
	running  map[uint64]started
	open     map[uint64]struct{}
	sequence uint64
	// earliest is no later than any deadline that waits.
	earliest mono.Time
	measured estimates
	lowRuns  int
}

// started is a request that holds a slot.
type started struct {
	request Request
	at      mono.Time
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{
		limits:   limits,
		classes:  make(map[string]int),
		members:  make(map[string]int),
		running:  make(map[uint64]started),
		open:     make(map[uint64]struct{}),
		measured: estimates{classes: make(map[string]*average)},
	}
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	n := 0
	for i := range q.levels {
		n += q.levels[i].count
	}
	return n
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// OpenTransactions returns the number of transactions that hold a connection.
func (q *Queue) OpenTransactions() int { return len(q.open) }

// Enqueue admits a request or refuses it at once with an error that says when to
// come back. The answers are those of waiting requests that it displaced.
func (q *Queue) Enqueue(now mono.Time, r Request) ([]Answer, error) {
	q.measured.arrived(&r, now)
	e := &entry{Request: r, arrived: now, sequence: q.sequence, cost: q.measured.service(&r)}
	q.sequence++
	if now.Add(q.expectedWait(e)) > e.Deadline {
		return nil, q.refuse(result.DeadlineInQueue, e)
	}
	victim, err := q.room(e)
	if err != nil {
		return nil, err
	}
	var shed []Answer
	if victim != nil {
		shed = append(shed, q.shed(victim, result.ShedForUrgent))
	}
	q.push(e)
	return shed, nil
}

// room finds out whether the request fits, and which one it displaces if any. At
// the member's limit that is one of the member's own: else a member's crowd of
// list checks would lock out its own confirmations. Requests of open
// transactions are bounded by the number of these, and refusing one would keep
// its connection held.
func (q *Queue) room(e *entry) (victim *entry, err error) {
	switch {
	case e.continues():
		return nil, nil //nolint:nilnil // No waiting request is displaced, and none is refused.
	case q.classes[e.Class] >= q.limits.classQueue(e.Class):
		return nil, q.refuse(result.QueueFull, e)
	case q.members[e.Member] >= q.limits.MemberQueue:
		if victim = q.victim(e.Priority, e.Member); victim == nil {
			return nil, q.refuse(result.MemberLimit, e)
		}
	case q.Waiting() >= q.limits.Queue:
		if victim = q.victim(e.Priority, anyMember); victim == nil {
			return nil, q.refuse(result.QueueFull, e)
		}
	}
	return victim, nil
}

// refuse builds the final answer; what waits ahead tells when to come back.
func (q *Queue) refuse(code result.Code, e *entry) *result.Error {
	wait := max(q.expectedWait(e), minRetryAfter)
	return result.New(code, "class %s, %d waiting", e.Class, q.Waiting()).After(wait)
}

// expectedWait returns the time until the request would start: the work ahead of
// it over the slots. Of its own priority no more counts than its member's share
// lets pass first.
func (q *Queue) expectedWait(e *entry) time.Duration {
	slots := time.Duration(max(q.limits.Slots, 1))
	if q.Waiting() == 0 && len(q.running) < int(slots) {
		return 0
	}
	var ahead time.Duration
	for p := range e.Priority {
		ahead += q.levels[p].work
	}
	if !e.continues() {
		ahead += min(q.levels[e.Priority].work, q.shareAhead(e))
	}
	return (ahead + q.runningWork()) / slots
}

func (q *Queue) shareAhead(e *entry) time.Duration {
	own, total := time.Duration(0), 0.0
	for i := range q.levels[e.Priority].places {
		for _, f := range q.levels[e.Priority].places[i].flows {
			if f.key.member == e.Member {
				own += f.work
				continue
			}
			if len(f.waiting) > 0 {
				total += q.limits.weight(f.key.member)
			}
		}
	}
	weight := q.limits.weight(e.Member)
	return time.Duration(float64(own+e.cost) * (total + weight) / weight)
}

// runningWork is what the slots still have to do: on average half of each.
func (q *Queue) runningWork() time.Duration {
	var work time.Duration
	for id := range q.running {
		r := q.running[id].request
		work += q.measured.service(&r) / 2
	}
	return work
}

// anyMember stands for every member.
const anyMember = ""

// victim returns the youngest of the least urgent waiting requests of the member
// that are less urgent than p, or nil.
func (q *Queue) victim(p Priority, member string) *entry {
	for low := Priority(priorities - 1); low > p; low-- {
		if e := q.levels[low].youngest(member); e != nil {
			return e
		}
	}
	return nil
}

func (q *Queue) shed(e *entry, code result.Code) Answer {
	q.take(func(other *entry) bool { return other == e }, func(*entry) {})
	return Answer{ID: e.ID, Err: q.refuse(code, e)}
}

func (q *Queue) push(e *entry) {
	if q.Waiting() == 0 || e.Deadline < q.earliest {
		q.earliest = e.Deadline
	}
	q.levels[e.Priority].push(e)
	q.classes[e.Class]++
	q.members[e.Member]++
}

// take removes the waiting requests that match.
func (q *Queue) take(match func(*entry) bool, taken func(*entry)) {
	for i := range q.levels {
		q.levels[i].removeIf(match, func(e *entry) {
			q.left(e)
			taken(e)
		})
	}
}

func (q *Queue) left(e *entry) {
	decrement(q.classes, e.Class)
	decrement(q.members, e.Member)
}

func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] < 0 {
		invariant.Check(false, "count of %q below zero", key)
	}
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// Cancel removes a waiting request and reports whether it did: then the request
// has not run. A running one keeps its slot until Done.
func (q *Queue) Cancel(id uint64) bool {
	found := false
	q.take(func(e *entry) bool { return e.ID == id }, func(*entry) { found = true })
	return found
}

// Done frees the slot of a request.
func (q *Queue) Done(id uint64, now mono.Time) {
	s, ok := q.running[id]
	if !ok {
		invariant.Check(false, "request %d ended without a slot", id)
		return
	}
	delete(q.running, id)
	if s.request.Priority != Urgent {
		q.lowRuns--
	}
	q.measured.ran(&s.request, now.Sub(s.at))
}

// EndTransaction notes that a transaction freed its connection.
func (q *Queue) EndTransaction(transaction uint64) { delete(q.open, transaction) }

// SetLimits puts other limits in force at once, as a switch of the preset does.
// Requests beyond a shorter queue are answered, the least urgent and youngest
// first; those that run keep their slots.
func (q *Queue) SetLimits(limits Limits) []Answer {
	q.limits = limits
	var answers []Answer
	for q.Waiting() > limits.Queue {
		e := q.victim(Urgent-1, anyMember)
		if e == nil {
			break
		}
		answers = append(answers, q.shed(e, result.QueueFull))
	}
	return answers
}
