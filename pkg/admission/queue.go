package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/fairqueue"
	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Queue holds the requests of one target that wait for a slot or run in one.
type Queue struct {
	limits Limits
	levels [priorities]level
	// credits are the slot times that the priorities have earned while requests of
	// others ran.
	credits          fairqueue.Credits[time.Duration]
	classes          map[string]int
	members          map[string]int
	running          map[uint64]started
	openTransactions map[uint64]struct{}
	sequence         uint64
	// earliestDeadline is no later than the deadline of any waiting request.
	earliestDeadline mono.Time
	measured         estimates
	lowerRunning     int
}

// started is a request that holds a slot.
type started struct {
	request Request
	at      mono.Time
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{
		limits:           limits,
		credits:          fairqueue.Credits[time.Duration]{Most: maxCredit},
		classes:          make(map[string]int),
		members:          make(map[string]int),
		running:          make(map[uint64]started),
		openTransactions: make(map[uint64]struct{}),
		measured:         estimates{classes: make(map[string]*average)},
	}
}

// Waiting returns the number of waiting requests.
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
func (q *Queue) OpenTransactions() int { return len(q.openTransactions) }

// Enqueue admits a request, or refuses it at once with an error that contains the
// retry delay. The answers are for the waiting requests that it displaced.
func (q *Queue) Enqueue(now mono.Time, r Request) ([]Answer, error) {
	q.measured.arrived(&r, now)
	e := &entry{Request: r, arrived: now, sequence: q.sequence, cost: q.measured.service(&r)}
	q.sequence++
	if now.Add(q.expectedWait(e)) > e.Deadline {
		return nil, q.refuse(result.DeadlineInQueue, e)
	}
	victim, err := q.findRoom(e)
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

// findRoom checks whether the request fits in the queue. It returns the waiting
// request to displace, if any, or the refusal. At the member's limit, the request
// displaces a less urgent one of the same member: else many list checks of a member
// would lock out its own confirmations, which are urgent. Requests of open
// transactions always fit: the limit on transactions bounds their number, and
// refusing one would keep its connection held.
func (q *Queue) findRoom(e *entry) (victim *entry, err error) {
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

// refuse returns the error for a refused request. The retry delay is the expected
// wait, at least minRetryAfter.
func (q *Queue) refuse(code result.Code, e *entry) *result.Error {
	wait := max(q.expectedWait(e), minRetryAfter)
	return result.New(code, "class %s, %d waiting", e.Class, q.Waiting()).After(wait)
}

// expectedWait returns the expected time until the request would start: the work
// ahead of it divided by the number of slots. Work of its own priority counts only
// as far as its member's share lets it run first.
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
		for _, f := range q.levels[e.Priority].places[i].All() {
			if f.Key.member == e.Member {
				own += f.Queue.work
				continue
			}
			if f.Queue.Len() > 0 {
				total += q.limits.weight(f.Key.member)
			}
		}
	}
	weight := q.limits.weight(e.Member)
	return time.Duration(float64(own+e.cost) * (total + weight) / weight)
}

// runningWork returns the expected remaining work of the running requests: on
// average half of each one's service time.
func (q *Queue) runningWork() time.Duration {
	var work time.Duration
	for id := range q.running {
		r := q.running[id].request
		work += q.measured.service(&r) / 2
	}
	return work
}

// anyMember matches every member.
const anyMember = ""

// victim returns the member's waiting request to displace for one of priority p:
// the youngest of the least urgent requests that are less urgent than p, or nil.
func (q *Queue) victim(p Priority, member string) *entry {
	for lower := Priority(priorities - 1); lower > p; lower-- {
		if e := q.levels[lower].youngest(member); e != nil {
			return e
		}
	}
	return nil
}

func (q *Queue) shed(e *entry, code result.Code) Answer {
	q.removeMatching(func(other *entry) bool { return other == e }, func(*entry) {})
	return Answer{ID: e.ID, Err: q.refuse(code, e)}
}

func (q *Queue) push(e *entry) {
	if q.Waiting() == 0 || e.Deadline < q.earliestDeadline {
		q.earliestDeadline = e.Deadline
	}
	q.levels[e.Priority].push(e)
	q.classes[e.Class]++
	q.members[e.Member]++
}

// removeMatching removes the waiting requests that match and calls taken for each.
func (q *Queue) removeMatching(match func(*entry) bool, taken func(*entry)) {
	for i := range q.levels {
		q.levels[i].removeIf(match, func(e *entry) {
			q.removed(e)
			taken(e)
		})
	}
}

// removed updates the counts after a request was removed from its level.
func (q *Queue) removed(e *entry) {
	if q.levels[e.Priority].count == 0 {
		q.credits.Clear(int(e.Priority))
	}
	decrement(q.classes, e.Class)
	decrement(q.members, e.Member)
}

func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] < 0 {
		invariant.Check(false, "negative number of waiting requests for %q", key)
	}
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// Cancel removes a waiting request and reports whether it did. A request that it
// removed has not run. A running request keeps its slot until Done.
func (q *Queue) Cancel(id uint64) bool {
	found := false
	q.removeMatching(func(e *entry) bool { return e.ID == id }, func(*entry) { found = true })
	return found
}

// Done frees the slot of a request and measures its service time.
func (q *Queue) Done(id uint64, now mono.Time) {
	s, ok := q.running[id]
	if !ok {
		invariant.Check(false, "request %d ended but held no slot", id)
		return
	}
	delete(q.running, id)
	if s.request.Priority != Urgent {
		q.lowerRunning--
	}
	q.measured.ran(&s.request, now.Sub(s.at))
}

// EndTransaction records that a transaction released its connection.
func (q *Queue) EndTransaction(transaction uint64) { delete(q.openTransactions, transaction) }

// SetLimits applies new limits at once, for example after a switch of the preset.
// If the queue becomes shorter, the excess requests are refused, the least urgent
// and youngest first. Running requests keep their slots.
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
