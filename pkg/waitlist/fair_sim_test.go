package waitlist_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

const (
	primaries = 8
	slots     = 4
	customers = 82 // Their sizes are proportional to 1/n^1.2.
	flooder   = 1
	burstFrom = 4000 * ms
	burstTo   = burstFrom + 6500*ms
	settled   = burstFrom + 2000*ms // Until then a flood can't be told from a short burst.
)

// loadClass is a class of the simulated load; its index is its priority.
type loadClass struct {
	rate                         float64 // per second at all primaries together
	service, objective, deadline mono.Time
}

// scenario multiplies the rates: all of them by scale, and during the burst that of the least urgent class by burst,
// and that of the flooding customer in the class flooded by flood. The targets serve nothing for outage from the burst on.
type scenario struct {
	fair                bool
	scale, burst, flood float64
	flooded             int
	outage              mono.Time
}

// results counts the requests of one class that arrived in the burst.
type results struct {
	offered, inTime                        int
	othersOffered, othersInTime            int // of all customers but the flooding one
	answered, refused, expired             int
	refusedOnceSettled, expiredOnceSettled int
	shortestRetry, longestRetry            time.Duration
}

type job struct {
	class, customer int
	at              mono.Time
}

// simulation plays a scenario in virtual time. Each connection of a primary serves every customer.
type simulation struct {
	scenario
	random  *rand.Rand
	classes []loadClass
	sums    [customers + 1]float64 // of the sizes of the first n customers
	targets [primaries]simulatedTarget
	out     []results
}

type simulatedTarget struct {
	list    waitlist.List[job]
	waiting [3][]*waitlist.Waiter[job] // by class, in order of arrival
	running [slots]*waitlist.Waiter[job]
	since   [slots]mono.Time
	until   [slots]mono.Time
	hold    time.Duration
}

func play(s scenario) []results {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(3, 7)), out: make([]results, 3), classes: []loadClass{
		{145, 6 * ms, 150 * ms, 1000 * ms}, {679, 18 * ms, 250 * ms, 1000 * ms}, {252, 30 * ms, 1000 * ms, 5000 * ms},
	}}
	for n := 1; n <= customers; n++ {
		sim.sums[n] = sim.sums[n-1] + math.Pow(float64(n), -1.2)
	}
	for i := range sim.targets {
		sim.targets[i].hold = 18 * time.Millisecond
		if s.fair {
			sim.targets[i].list.Fair(func(id topology.CustomerID) float64 {
				n, _ := strconv.Atoi(string(id))
				return 1000 * sim.size(n)
			})
		}
	}
	for now := mono.Time(0); now < burstTo+10_000*ms; now += ms {
		sim.arrivals(now)
		for i := range sim.targets {
			sim.serve(&sim.targets[i], now)
		}
	}
	return sim.out
}

func (s *simulation) size(n int) float64 { return (s.sums[n] - s.sums[n-1]) / s.sums[customers] }

func inBurst(t mono.Time) bool { return t >= burstFrom && t < burstTo }

func (s *simulation) arrivals(now mono.Time) {
	for class := range s.classes {
		rate, extra := s.scale*s.classes[class].rate/1000, 0.0
		if class == 2 && inBurst(now) {
			rate *= s.burst
		}
		if class == s.flooded && inBurst(now) {
			extra = (s.flood - 1) * s.size(flooder) * rate
		}
		for range s.poisson(rate) {
			at, n := s.random.Float64()*s.sums[customers], 1
			for s.sums[n] < at {
				n++
			}
			s.arrive(job{class, n, now})
		}
		for range s.poisson(extra) {
			s.arrive(job{class, flooder, now})
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n := 0
	for p := s.random.Float64(); p > math.Exp(-mean); p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) arrive(j job) {
	c, t := s.classes[j.class], &s.targets[s.random.IntN(primaries)]
	r := waitlist.Request{
		Priority: j.class, Useful: j.at + c.objective, Deadline: j.at + c.deadline, Customer: topology.CustomerID(strconv.Itoa(j.customer)),
	}
	s.count(j, func(o *results) {
		o.offered++
		if j.customer != flooder {
			o.othersOffered++
		}
	})
	wait := t.list.EstimateWait(r, j.at, t.hold, t.hold, slots)
	if !j.at.Add(wait).After(r.Deadline) {
		t.waiting[j.class] = append(t.waiting[j.class], t.list.Add(r, j, j.at, t.hold))
		return
	}
	retry := t.list.RetryAfter(r, wait, j.at, t.hold, slots)
	s.count(j, func(o *results) {
		o.refused++
		o.longestRetry = max(o.longestRetry, retry)
		if o.shortestRetry == 0 || retry < o.shortestRetry {
			o.shortestRetry = retry
		}
		if j.at >= settled {
			o.refusedOnceSettled++
		}
	})
}

func (s *simulation) count(j job, f func(*results)) {
	if inBurst(j.at) {
		f(&s.out[j.class])
	}
}

func (s *simulation) serve(t *simulatedTarget, now mono.Time) {
	s.expire(t, now)
	if now >= burstFrom && now < burstFrom+s.outage {
		return
	}
	for i, w := range t.running {
		if t.until[i] > now {
			continue
		}
		if w != nil {
			s.finish(w.Value, now)
			t.list.Charge(w.Customer, w.Priority, now.Sub(t.since[i]))
			t.hold += (now.Sub(t.since[i]) - t.hold) / 20
		}
		if t.running[i] = t.list.Next(now, t.hold); t.running[i] != nil {
			service := float64(s.classes[t.running[i].Value.class].service)
			t.since[i], t.until[i] = now, now+mono.Time(service*(0.5+s.random.Float64()))
		}
	}
}

func (s *simulation) expire(t *simulatedTarget, now mono.Time) {
	for class, waiting := range t.waiting {
		for len(waiting) > 0 && waiting[0].Deadline <= now {
			w := waiting[0]
			waiting = waiting[1:]
			if !t.list.Remove(w) {
				continue
			}
			s.count(w.Value, func(o *results) {
				o.expired++
				if w.Value.at >= settled {
					o.expiredOnceSettled++
				}
			})
		}
		t.waiting[class] = waiting
	}
}

func (s *simulation) finish(j job, now mono.Time) {
	s.count(j, func(o *results) {
		o.answered++
		if now-j.at > s.classes[j.class].objective {
			return
		}
		o.inTime++
		if j.customer != flooder {
			o.othersInTime++
		}
	})
}

func (o *results) others() float64 { return float64(o.othersInTime) / float64(o.othersOffered) }

// Guards against a customer that floods a class and takes the capacity of the other customers of that class. Without
// fair queueing most of them are not served in time.
func TestOtherCustomersAreServedAsWithoutTheFlood(t *testing.T) {
	for _, flooded := range []int{1, 2} {
		calm := play(scenario{fair: true, scale: 1, burst: 2.4, flood: 1})[flooded]
		flood := play(scenario{fair: true, scale: 1, burst: 2.4, flood: 5, flooded: flooded})[flooded]
		t.Logf("class %d: calm %+v, flood %+v", flooded, calm, flood)
		if flood.others() < calm.others()-0.02 {
			t.Errorf("class %d: %.3f of the others' requests in time, without the flood %.3f", flooded, flood.others(), calm.others())
		}
	}
	if unfair := play(scenario{scale: 1, burst: 2.4, flood: 5, flooded: 2})[2]; unfair.others() > 0.5 {
		t.Errorf("without fair queueing %.3f of the others' requests are in time: the flood is too small", unfair.others())
	}
}

// Guards against a least urgent class that starves while more urgent ones could use all slots.
func TestTheLeastUrgentClassGetsItsMinimumShare(t *testing.T) {
	out := play(scenario{fair: true, scale: 2.5, burst: 1, flood: 1})
	t.Logf("%+v", out)
	if all := out[0].answered + out[1].answered + out[2].answered; 20*out[2].answered < all {
		t.Errorf("the least urgent class got %d of %d grants", out[2].answered, all)
	}
	if 100*out[0].inTime < 99*out[0].offered {
		t.Errorf("%d of %d of the most urgent requests in time", out[0].inTime, out[0].offered)
	}
}

// Guards against requests that are kept until their deadline although they would have been refused at once by an
// estimate that takes the fair order into account, and against a time to retry that is too
// short for a change, or includes the wait behind requests that are late by then.
func TestRefusalsComeAtOnce(t *testing.T) {
	o := play(scenario{fair: true, scale: 1, burst: 2.4, flood: 5, flooded: 2})[2]
	if o.refusedOnceSettled == 0 || 20*o.expiredOnceSettled > o.refusedOnceSettled {
		t.Errorf("%d refused at once, %d kept until the deadline", o.refusedOnceSettled, o.expiredOnceSettled)
	}
	if o.shortestRetry < 500*time.Millisecond || o.longestRetry > time.Second {
		t.Errorf("the objective is 1s, and callers are told to retry after %v to %v", o.shortestRetry, o.longestRetry)
	}
}

// Guards against callers that are refused after an outage since the many requests that wait by then look like a
// lasting overload, though the slots serve them in a short time.
func TestRequestsAreServedAfterAnOutage(t *testing.T) {
	for _, outage := range []mono.Time{300 * ms, 1000 * ms} {
		unfair := play(scenario{scale: 1, burst: 1, flood: 1, outage: outage})
		fair := play(scenario{fair: true, scale: 1, burst: 1, flood: 1, outage: outage})
		for class, o := range fair {
			t.Logf("outage of %v, class %d: %+v, without fair queueing %+v", time.Duration(outage), class, o, unfair[class])
			if 100*o.answered < 99*unfair[class].answered*o.offered/unfair[class].offered || 100*o.refused > o.offered {
				t.Errorf("outage of %v, class %d: %d of %d answered, %d refused", time.Duration(outage), class, o.answered, o.offered, o.refused)
			}
		}
	}
}
