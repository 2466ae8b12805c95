package waitlist

import (
	"math"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// demand measures the work, as hold time, that requests of a priority bring which can still be in time when they
// arrive. It is counted in windows of time. The zero value has measured nothing.
type demand struct {
	// windows is the work in the last complete windows, and current that in the window that began at begun.
	windows [demandWindows]time.Duration
	current time.Duration
	begun   mono.Time
}

const (
	// demandWindow is the length of a window, and demandWindows the number of windows that are remembered. The least
	// of them counts: many requests that come at once, as after an outage, are no lasting demand.
	demandWindow  = 750 * time.Millisecond
	demandWindows = 2
)

func (d *demand) add(work time.Duration, now mono.Time) {
	d.advance(now)
	d.current += work
}

// advance completes the windows that have ended.
func (d *demand) advance(now mono.Time) {
	if now.Sub(d.begun) >= (demandWindows+1)*demandWindow {
		*d = demand{begun: now}
		return
	}
	for now.Sub(d.begun) >= demandWindow {
		copy(d.windows[1:], d.windows[:demandWindows-1])
		d.windows[0], d.current = d.current, 0
		d.begun = d.begun.Add(demandWindow)
	}
}

// connections returns how many connections the lasting demand keeps busy.
func (d *demand) connections(now mono.Time) float64 {
	d.advance(now)
	return slices.Min(d.windows[:]).Seconds() / demandWindow.Seconds()
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
	// overload is the lasting demand, as a fraction of the connections, from which requests that are late are expected
	// to wait for as long as it lasts. Below it the requests that wait, as after an outage, are soon served.
	overload = 0.7
	// minShareGrants is the largest number of grants of which one is to a given priority with waiting requests.
	minShareGrants = time.Duration(grantCost) + 1
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
	l := f.find(r.Priority)
	if l == nil {
		l = &level[T]{priority: r.Priority}
	}
	wait := f.waitInTime(l, &r, now, hold, connections)
	if !now.Add(wait + service).After(r.Useful) {
		return wait
	}
	return f.waitLate(l, &r, now, hold, connections)
}

// waitInTime returns how long a new request would wait if it could be in time: for the work ahead of it and that of
// more urgent requests that arrive meanwhile, as far as the minimum share allows, or until the virtual time reaches
// its start, if that takes longer.
func (f *fair[T]) waitInTime(l *level[T], r *Request, now mono.Time, hold time.Duration, connections int) time.Duration {
	ahead, at := f.countAhead(l, inTimeSet, r, hold)
	work := f.withOthers(time.Duration(ahead)*l.holdOr(hold), inTimeSet, l.priority, hold)
	work = over(work, 1-f.demandBelow(l.priority, now)/float64(connections))
	work = min(work, time.Duration(ahead+1)*minShareGrants*max(hold, l.hold))
	work = max(work, l.progress.until(at-l.flows.EntryStart(0)))
	return (work + hold) / time.Duration(connections)
}

// waitLate returns how long a new request would wait if it was late: for all requests that are in time, including
// those that arrive meanwhile in a lasting overload, and for the late ones ahead of it.
func (f *fair[T]) waitLate(l *level[T], r *Request, now mono.Time, hold time.Duration, connections int) time.Duration {
	ahead, _ := f.countAhead(l, lateSet, r, hold)
	work := f.work(inTimeSet, hold) + f.withOthers(time.Duration(ahead)*l.holdOr(hold), lateSet, l.priority, hold)
	share := 1 - f.demandBelow(math.MaxInt, now)/float64(connections)
	if share > 1-overload {
		share = 1
	}
	return (over(work, share) + hold) / time.Duration(connections)
}

// demandBelow returns how many connections the lasting demand of the priorities below a number keeps busy.
func (f *fair[T]) demandBelow(priority int, now mono.Time) float64 {
	sum := 0.0
	for _, l := range f.levels {
		if l.priority < priority {
			sum += l.demand.connections(now)
		}
	}
	return sum
}

// over returns the work of all connections during which the given share of them does the given work, at most maxWork.
func over(work time.Duration, share float64) time.Duration {
	switch {
	case work == 0:
		return 0
	case share <= 0:
		return maxWork
	}
	return time.Duration(min(work.Seconds()/share, maxWork.Seconds()) * float64(time.Second))
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
// urgent ones, and the minimum shares of the less urgent ones.
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
	return own + lower + urgent
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
