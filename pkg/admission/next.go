package admission

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Next returns the requests to start now, which hold a slot until Done, and the
// final answers of those whose deadline passed. It is called each tick and after
// Enqueue, Done, EndTransaction and SetLimits.
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
	if q.Waiting() == 0 || now < q.earliest {
		return nil
	}
	var answers []Answer
	q.take(
		func(e *entry) bool { return e.Deadline <= now },
		func(e *entry) { answers = append(answers, Answer{ID: e.ID, Err: q.refuse(result.DeadlineInQueue, e)}) },
	)
	q.findEarliest()
	return answers
}

func (q *Queue) findEarliest() {
	first := true
	for i := range q.levels {
		q.levels[i].each(func(e *entry) {
			if first || e.Deadline < q.earliest {
				q.earliest, first = e.Deadline, false
			}
		})
	}
}

// doomed reports whether the request can't end before its deadline: under
// overload, running such requests would leave no slot for those that can. While
// nothing else waits it runs all the same, since the estimate may be wrong and
// only a run corrects it. One of an open transaction runs as well: it may be the
// commit that frees the connection.
func (q *Queue) doomed(e *entry, now mono.Time) bool {
	return q.Waiting() > 1 && !e.continues() && now.Add(q.measured.service(&e.Request)) > e.Deadline
}

// pick returns the priority that gets the next slot: the least urgent one that
// has earned its share, else the most urgent one.
func (q *Queue) pick(now mono.Time) (Priority, bool) {
	lowAllowed := q.lowRuns < q.limits.Slots-q.reserved(now)
	if lowAllowed {
		for p := Background; p > Urgent; p-- {
			if e := q.first(p); e != nil && q.levels[p].credit >= min(e.cost, maxCredit) {
				return p, true
			}
		}
	}
	for p := Urgent; p <= Background; p++ {
		if p != Urgent && !lowAllowed {
			break
		}
		if q.first(p) != nil {
			return p, true
		}
	}
	return 0, false
}

// reserved returns how many slots only urgent requests may take now.
func (q *Queue) reserved(now mono.Time) int {
	if !q.measured.urgentOften(now) {
		return 0
	}
	return min(q.limits.Reserved, q.limits.Slots-1)
}

func (q *Queue) opensAllowed() bool { return len(q.open) < q.limits.Transactions }

func (q *Queue) first(p Priority) *entry {
	_, f := q.levels[p].head(q.opensAllowed())
	if f == nil {
		return nil
	}
	return f.waiting[0]
}

// pop takes the first request of the priority and reports whether it is to run.
// One that is not to run costs its member nothing.
func (q *Queue) pop(p Priority, now mono.Time) (e *entry, runs bool) {
	pl, f := q.levels[p].head(q.opensAllowed())
	e = f.waiting[0]
	runs = !q.doomed(e, now)
	if runs {
		pl.pop(f, q.limits.weight(e.Member))
	} else {
		f.remove(0)
	}
	q.levels[p].removed(e)
	q.left(e)
	return e, runs
}

// charge moves credit to the lower priorities that wait while e runs.
func (q *Queue) charge(e *entry) {
	own := &q.levels[e.Priority]
	own.credit = max(0, own.credit-e.cost)
	for p := Normal; p <= Background; p++ {
		if p != e.Priority && q.levels[p].count > 0 {
			earned := time.Duration(lowShare * float64(e.cost))
			q.levels[p].credit = min(q.levels[p].credit+earned, maxCredit)
		}
	}
}

func (q *Queue) run(e *entry, now mono.Time) {
	if _, twice := q.running[e.ID]; twice || now >= e.Deadline {
		invariant.Check(false, "request %d started again or after its deadline", e.ID)
	}
	q.running[e.ID] = started{request: e.Request, at: now}
	if e.Priority != Urgent {
		q.lowRuns++
	}
	if e.Opens {
		q.open[e.Transaction] = struct{}{}
		invariant.Check(len(q.open) <= q.limits.Transactions, "%d transactions are open", len(q.open))
	}
}
