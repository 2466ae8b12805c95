package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Next returns the requests to start now, which hold a slot until Done, and the
// final answers to those that miss their deadline. Callers call it on each tick
// and after Enqueue, Done, EndTransaction and SetLimits.
func (q *Queue) Next(now mono.Time) (start []Request, expired []Answer) {
	expired = q.expire(now)
	for len(q.running) < q.limits.Slots {
		p, ok := q.pick(now)
		if !ok {
			break
		}
		e, runs := q.pop(p, now)
		if !runs {
			expired = append(expired, Answer{ID: e.ID, Err: q.refuse(result.DeadlineInQueue, e)})
			continue
		}
		q.charge(e)
		q.run(e, now)
		start = append(start, e.Request)
	}
	return start, expired
}

// expire answers every request whose deadline passed while it waited.
func (q *Queue) expire(now mono.Time) []Answer {
	if q.Waiting() == 0 || now < q.earliestDeadline {
		return nil
	}
	var answers []Answer
	q.removeMatching(
		func(e *entry) bool { return e.Deadline <= now },
		func(e *entry) { answers = append(answers, Answer{ID: e.ID, Err: q.refuse(result.DeadlineInQueue, e)}) },
	)
	q.findEarliestDeadline()
	return answers
}

func (q *Queue) findEarliestDeadline() {
	first := true
	for i := range q.levels {
		q.levels[i].each(func(e *entry) {
			if first || e.Deadline < q.earliestDeadline {
				q.earliestDeadline, first = e.Deadline, false
			}
		})
	}
}

// missesDeadline reports whether the request is refused because it is not expected
// to end before its deadline: under overload, running such requests would leave no
// slot for those that can. If nothing else waits, the request runs regardless,
// since the estimate may be wrong and only a run corrects it. A request of an open
// transaction also runs regardless: it may be the commit that frees the connection.
func (q *Queue) missesDeadline(e *entry, now mono.Time) bool {
	return q.Waiting() > 1 && !e.continues() && now.Add(q.measured.service(&e.Request)) > e.Deadline
}

// The priorities of which a request may start, in ascending order.
var (
	anyPriority = []int{int(Urgent), int(Normal), int(Background)}
	onlyUrgent  = anyPriority[:1]
)

// pick returns the priority that gets the next slot: the least urgent one with
// enough credit for its first request, else the most urgent one. It returns false
// if no request can run.
func (q *Queue) pick(now mono.Time) (Priority, bool) {
	allowed := onlyUrgent
	if q.lowerRunning < q.limits.Slots-q.reserved(now) {
		allowed = anyPriority
	}
	p, ok := q.credits.Pick(allowed, func(p int) (time.Duration, bool) {
		e := q.firstWaiting(Priority(p))
		if e == nil {
			return 0, false
		}
		return e.cost, true
	})
	return Priority(p), ok
}

// reserved returns the number of slots that only urgent requests may take now.
func (q *Queue) reserved(now mono.Time) int {
	if !q.measured.urgentFrequent(now) {
		return 0
	}
	return min(q.limits.Reserved, q.limits.Slots-1)
}

func (q *Queue) opensAllowed() bool { return len(q.openTransactions) < q.limits.Transactions }

func (q *Queue) firstWaiting(p Priority) *entry {
	_, f := q.levels[p].head(q.opensAllowed())
	if f == nil {
		return nil
	}
	return f.Queue.waiting[0]
}

// pop removes the first request of the priority and reports whether to run it. A
// request that is not run is not counted against its member's share.
func (q *Queue) pop(p Priority, now mono.Time) (e *entry, runs bool) {
	pl, f := q.levels[p].head(q.opensAllowed())
	e = f.Queue.waiting[0]
	runs = !q.missesDeadline(e, now)
	if runs {
		pl.pop(f, q.limits.weight(e.Member))
	} else {
		f.Queue.remove(0)
	}
	q.levels[p].removed(e)
	q.removed(e)
	return e, runs
}

// charge deducts e's cost from the credit of its own priority and gives credit to
// the other priorities below Urgent that have requests waiting.
func (q *Queue) charge(e *entry) {
	q.credits.Spend(int(e.Priority), e.cost)
	for p := Normal; p <= Background; p++ {
		if p != e.Priority && q.levels[p].count > 0 {
			q.credits.Earn(int(p), time.Duration(lowerPriorityShare*float64(e.cost)))
		}
	}
}

func (q *Queue) run(e *entry, now mono.Time) {
	if _, twice := q.running[e.ID]; twice || now >= e.Deadline {
		invariant.Check(false, "request %d started again or after its deadline", e.ID)
	}
	q.running[e.ID] = started{request: e.Request, at: now}
	if e.Priority != Urgent {
		q.lowerRunning++
	}
	if e.Opens {
		q.openTransactions[e.Transaction] = struct{}{}
		invariant.Check(len(q.openTransactions) <= q.limits.Transactions, "%d transactions are open", len(q.openTransactions))
	}
}
