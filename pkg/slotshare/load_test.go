package slotshare_test

import (
	"slices"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// The load of the busiest target of the first deployment of design/0013, which gets 3.7 times the mean of 24 targets.
const (
	targetSlots   = 4
	targetQueue   = 32
	targetHolders = 6
	busiest       = 3.7 / 24
	burstFrom     = 3_000 * ms
	burstUntil    = 9_500 * ms
	burstFactor   = 2.4
)

// loadClass is a class of requests: arrivals per second at all targets, the mean time of a statement, and the objective.
type loadClass struct {
	rate      float64
	service   mono.Time
	objective mono.Time
}

// loadClasses are in the order of priority.
var loadClasses = []loadClass{{145, 6 * ms, 150 * ms}, {679, 18 * ms, 250 * ms}, {252, 30 * ms, 1_000 * ms}}

// holderWeights is how the requests are spread over the holders: the largest customers have theirs at few of them.
var holderWeights = []float64{0.35, 0.25, 0.15, 0.1, 0.1, 0.05}

// statement is one simulated request.
type simulatedStatement struct {
	class           int
	vm              topology.VMID
	arrived, sent   mono.Time
	service, runEnd mono.Time
}

// loadedTarget is a target with slots and a queue that knows no priority, and what waits at its holders.
type loadedTarget struct {
	*fleet
	limited  bool
	queue    []*simulatedStatement
	running  []*simulatedStatement
	waiting  map[topology.VMID]*waitlist.List[*simulatedStatement]
	inFlight map[topology.VMID]int
	pauses   map[topology.VMID]mono.Time
	// latencies are the answer times by class in ms. refused counts refusals of the target, idle the slots that were
	// idle in a step in which something waited, and waited those steps.
	latencies    [3][]int
	refused      int
	idle, waited int
}

func newLoadedTarget(seed uint64, limited bool) *loadedTarget {
	t := &loadedTarget{
		fleet: newFleet(seed, targetSlots, targetHolders), limited: limited, waiting: map[topology.VMID]*waitlist.List[*simulatedStatement]{},
		inFlight: map[topology.VMID]int{}, pauses: map[topology.VMID]mono.Time{},
	}
	for _, vm := range t.names {
		t.waiting[vm] = &waitlist.List[*simulatedStatement]{}
	}
	t.demand = func(vm topology.VMID) slotshare.Demand {
		d := slotshare.Demand{InFlight: t.inFlight[vm]}
		counts := [3]int{}
		t.waiting[vm].Each(func(r *waitlist.Request) { counts[r.Priority]++ })
		for priority, n := range counts {
			if n > 0 {
				d.Waiting = append(d.Waiting, slotshare.Waiting{Priority: priority, Count: n})
			}
		}
		return d
	}
	return t
}

func (t *loadedTarget) arrive() {
	for class, c := range loadClasses {
		rate := c.rate * busiest
		if class == 2 && t.now > burstFrom && t.now < burstUntil {
			rate *= burstFactor
		}
		if t.random.Float64() >= rate/1000 {
			continue
		}
		at, vm := t.random.Float64(), 0
		for at > holderWeights[vm] && vm < len(holderWeights)-1 {
			at -= holderWeights[vm]
			vm++
		}
		s := &simulatedStatement{class: class, vm: t.names[vm], arrived: t.now}
		s.service = mono.Time((0.5 + t.random.Float64()) * float64(c.service))
		r := waitlist.Request{Priority: class, Useful: t.now + c.objective, Deadline: t.now + 5_000*ms}
		t.waiting[s.vm].Add(r, s, t.now, time.Duration(c.service))
	}
}

// allowance returns how many statements a holder may have in flight. Without a limit its connections limit it.
func (t *loadedTarget) allowance(vm topology.VMID) int {
	if !t.limited {
		return 6
	}
	return t.holders[vm].limit.Allowance(t.now)
}

// dispatch sends waiting statements, as a pool does.
func (t *loadedTarget) dispatch() {
	for _, vm := range t.names {
		for t.inFlight[vm] < t.allowance(vm) && t.now >= t.pauses[vm] {
			w := t.waiting[vm].Next(t.now, 18*time.Millisecond)
			if w == nil {
				break
			}
			s := w.Value
			if len(t.queue) >= targetQueue {
				t.refused++
				t.pauses[vm] = t.now + 10*ms
				t.holders[vm].limit.Refused(t.now, t.now+ms)
				t.waiting[vm].Add(w.Request, s, t.now, 0)
				break
			}
			s.sent = t.now
			t.inFlight[vm]++
			t.queue = append(t.queue, s)
		}
		t.holders[vm].limit.Observe(t.inFlight[vm], t.now)
	}
}

// run runs the statements in the slots for one step.
func (t *loadedTarget) run() {
	t.running = slices.DeleteFunc(t.running, func(s *simulatedStatement) bool {
		if s.runEnd > t.now {
			return false
		}
		t.inFlight[s.vm]--
		t.holders[s.vm].limit.Answered(s.class, s.sent, t.now)
		t.latencies[s.class] = append(t.latencies[s.class], int((t.now-s.arrived)/ms))
		return true
	})
	for len(t.running) < targetSlots && len(t.queue) > 0 {
		t.queue[0].runEnd = t.now + t.queue[0].service
		t.running, t.queue = append(t.running, t.queue[0]), t.queue[1:]
	}
}

func (t *loadedTarget) simulate() {
	for t.now < 12_000*ms {
		t.step()
		t.arrive()
		t.run()
		t.dispatch()
		t.run()
		for _, list := range t.waiting {
			if list.Len() > 0 {
				t.waited++
				t.idle += targetSlots - len(t.running)
				break
			}
		}
	}
}

// within returns the part of a class's answers that took no longer than its objective.
func (t *loadedTarget) within(class int) float64 {
	n := 0
	for _, took := range t.latencies[class] {
		if mono.Time(took)*ms <= loadClasses[class].objective {
			n++
		}
	}
	return float64(n) / float64(max(1, len(t.latencies[class])))
}

// Guards against urgent requests that wait in the target's queue behind a burst of the least urgent ones, which is 2.4
// times its usual load, and against slots that are idle while requests wait at their holders.
func TestUrgentRequestsMeetTheirObjectiveInABurst(t *testing.T) {
	for seed := range uint64(8) {
		open, limited := newLoadedTarget(seed, false), newLoadedTarget(seed, true)
		open.simulate()
		limited.simulate()
		idle := float64(limited.idle) / float64(max(1, limited.waited*targetSlots))
		t.Logf("seed %d: urgent in time %.3f, without limit %.3f; second %.3f, %.3f; least %.3f, %.3f; idle %.3f of %d ms; answers %v %v",
			seed, limited.within(0), open.within(0), limited.within(1), open.within(1), limited.within(2), open.within(2), idle, limited.waited,
			[]int{len(limited.latencies[0]), len(limited.latencies[1]), len(limited.latencies[2])}, []int{len(open.latencies[0]), len(open.latencies[1]), len(open.latencies[2])})
		if limited.within(0) < 0.99 {
			t.Errorf("seed %d: %.3f of the most urgent answers are in time", seed, limited.within(0))
		}
		if idle > 0.1 {
			t.Errorf("seed %d: %.3f of the slots are idle while requests wait", seed, idle)
		}
	}
}
