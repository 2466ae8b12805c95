package waitlist

import (
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// pace measures the work, as hold time, that all requests of a list get from one grant to a request of a set of a
// priority to the next, while requests of that set wait. It includes what the requests that wait can't show: those that arrive
// later and go first. It is not measured in time, since a target that pauses slows down all requests alike.
// The zero value has measured nothing.
type pace struct {
	interval time.Duration
	samples  int
	// last is the work of the list at the last grant to a request of the set, or when the first began to wait.
	last time.Duration
}

const (
	// paceWeight is the weight of a new interval in the moving average.
	paceWeight = 0.2
	// minPaceSamples is the number of intervals from which the average counts: the first ones depend on the
	// order of the first arrivals.
	minPaceSamples = 5
)

// granted records a grant to a request of the set. work is the work of the list before it.
func (p *pace) granted(work time.Duration) {
	p.interval = p.with(work - p.last)
	p.samples++
	p.last = work
}

func (p *pace) with(interval time.Duration) time.Duration {
	if p.samples == 0 {
		return interval
	}
	return p.interval + time.Duration(paceWeight*float64(interval-p.interval))
}

// expected returns the expected work from one grant to the next: the average, or the work since the last grant if
// that is longer.
func (p *pace) expected(work time.Duration) time.Duration {
	interval := work - p.last
	if p.samples >= minPaceSamples {
		interval = max(interval, p.interval)
	}
	return interval
}

// progress measures how fast the virtual time of a level advances with the work of the list. A request that can be in
// time is granted about when the virtual time reaches its start, so this includes the requests that arrive later and
// start earlier. The zero value has measured nothing.
type progress struct {
	// rate is in seconds of virtual time per second of work; 0 if it is not known.
	rate float64
	// virtual and work are those at the last measurement.
	virtual float64
	work    time.Duration
	begun   bool
}

const (
	// progressSpan is the work over which the rate is measured, in usual requests.
	progressSpan = 20
	// progressWeight is the weight of a new measurement in the moving average.
	progressWeight = 0.3
	// maxWork bounds the work that is expected from a rate.
	maxWork = time.Hour
)

// note records the state of a level, of which a request holds its connection for hold.
func (p *progress) note(virtual float64, work, hold time.Duration) {
	if !p.begun {
		*p = progress{virtual: virtual, work: work, begun: true}
		return
	}
	span := work - p.work
	if span < progressSpan*hold || span <= 0 {
		return
	}
	rate := (virtual - p.virtual) / span.Seconds()
	if p.rate > 0 {
		rate = p.rate + progressWeight*(rate-p.rate)
	}
	p.rate, p.virtual, p.work = rate, virtual, work
}

// until returns the work until the virtual time has advanced by a span, or 0 if the rate is not known.
func (p *progress) until(span float64) time.Duration {
	if p.rate <= 0 || span <= 0 {
		return 0
	}
	return time.Duration(min(span/p.rate, maxWork.Seconds()) * float64(time.Second))
}

// estimate returns how long a new request would wait; see List.EstimateWait.
func (f *fair[T]) estimate(r Request, now mono.Time, service, hold time.Duration, connections int) time.Duration {
	wait := f.workBefore(inTimeSet, &r, hold) / time.Duration(connections)
	if !now.Add(wait + service).After(r.Useful) {
		return wait
	}
	return f.workBefore(lateSet, &r, hold) / time.Duration(connections)
}

// workBefore returns the work of the list until a new request in a set is granted: that of the requests ahead of it,
// or what the measured pace gives, if that is more.
func (f *fair[T]) workBefore(set int, r *Request, hold time.Duration) time.Duration {
	l := f.find(r.Priority)
	if l == nil {
		l = &level[T]{priority: r.Priority}
	}
	ahead, at := f.countAhead(l, set, r, hold)
	work := f.withOthers(time.Duration(ahead)*l.holdOr(hold), set, r.Priority, hold)
	if set == lateSet {
		work += f.work(inTimeSet, hold)
	} else {
		work = max(work, l.progress.until(at-l.flows.EntryStart(0)))
	}
	work = max(work, time.Duration(ahead)*l.pace[set].expected(f.granted))
	return work + hold
}

// countAhead returns how many requests of the same set and priority are granted before a new one, and the virtual time
// at which that one starts.
func (f *fair[T]) countAhead(l *level[T], set int, r *Request, hold time.Duration) (ahead int, at float64) {
	if l.waiting[set] == 0 {
		return 0, l.flows.EntryStart(0)
	}
	key := keyOf(r)
	at = l.flows.EntryStart(f.early(l, key, hold))
	self := l.flows.Find(key)
	if self != nil {
		ahead = self.Queue.sets[set].countDueBy(dueIn(set, r))
		if at = max(self.Start(), at); !self.Queue.enters(set) {
			at = self.Start()
		}
	}
	at += float64(ahead) * f.step(l, key, hold)
	for _, fl := range l.flows.All() {
		if n := len(fl.Queue.sets[set].items); n > 0 && fl != self {
			ahead += grantsBefore(at-fl.Start(), f.step(l, fl.Key, hold), n)
		}
	}
	return ahead, at
}

// grantsBefore returns how many of n requests of a flow are granted in a span of virtual time, if each advances the
// flow by step.
func grantsBefore(span, step float64, n int) int {
	if span <= 0 {
		return 0
	}
	if step <= 0 {
		return n
	}
	return int(min(math.Ceil(span/step), float64(n)))
}

// withOthers adds to the work of a priority that of the other priorities that is done before it: all of the more
// urgent ones, as far as the minimum share allows, and the minimum shares of the less urgent ones.
func (f *fair[T]) withOthers(own time.Duration, set, priority int, hold time.Duration) time.Duration {
	urgent, lower := time.Duration(0), time.Duration(0)
	for _, l := range f.levels {
		work := time.Duration(l.waiting[set]) * l.holdOr(hold)
		switch {
		case l.priority < priority:
			urgent += work
		case l.priority > priority:
			lower += min(work, own/time.Duration(grantCost))
		}
	}
	return own + lower + min(urgent, (own+hold)*time.Duration(grantCost))
}

// work returns the expected time for which all requests of a set hold their connections.
func (f *fair[T]) work(set int, hold time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, l := range f.levels {
		sum += time.Duration(l.waiting[set]) * l.holdOr(hold)
	}
	return sum
}

// dueIn returns the time by which the requests of a customer are ordered in a set.
func dueIn(set int, r *Request) mono.Time {
	if set == lateSet {
		return r.Deadline
	}
	return r.Useful
}

// countDueBy returns the number of requests that are due by a time.
func (q *queue[T]) countDueBy(due mono.Time) int {
	n := 0
	for _, w := range q.items {
		if !w.due().After(due) {
			n++
		}
	}
	return n
}
