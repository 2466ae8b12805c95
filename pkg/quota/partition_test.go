package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The times of the simulated partitions.
const (
	minDelay      = 5 * time.Millisecond
	maxDelay      = 30 * time.Millisecond
	partition     = 5 * time.Second
	switchingTime = time.Second
	warmUp        = 6 * time.Second
)

// side is one of the two allocators, the former and its successor, or none.
type side int

const (
	former side = iota
	successor
	noSide
)

// coordinator is one of the two VMs that may be the allocator.
type coordinator struct {
	alloc *quota.Allocator
	// stopped is set once it has heard of its successor, and pausedUntil is until when it does nothing.
	stopped     bool
	pausedUntil mono.Time
}

// member is one VM and what the network does to its messages.
type member struct {
	id    topology.VMID
	meter *quota.Meter
	next  mono.Time
	// reportsTo is the allocator of the latest row that the VM knows. Each of its reports carries that term.
	reportsTo side
	noReports bool // its reports are lost
	noAnswers bool // answers and warnings to it are lost
}

// split simulates one customer's demand on VMs that report to two allocators at the same time, over a network that
// delays, duplicates and loses messages.
type split struct {
	random  *rand.Rand
	limit   customer.Limit
	tag     quota.Tag
	now     mono.Time
	members []*member
	sides   [2]*coordinator
	due     map[mono.Time][]func()
	later   []change
	rate    float64
	spread  int
	// late and twice are the probabilities that a message is late and that it arrives twice.
	late, twice float64
	bug         splitBug
	// priorities is the number of priorities of the operations.
	priorities int

	admitted         []mono.Time
	offered, refused int
}

// splitBug is an injected fault, which breaks one rule of a change of the allocator.
type splitBug int

const (
	noBug splitBug = iota
	// tripleShares makes the shares add up to three times the limit.
	tripleShares
	// wholeLimit makes each allocator divide the whole limit among the VMs that report to it.
	wholeLimit
	// lostUsage makes VMs forget what they admitted while no report was answered, and that the customer was near
	// its limit.
	lostUsage
	// lostFractions makes VMs forget their fractions when they report to another allocator.
	lostFractions
)

type change struct {
	at mono.Time
	do func()
}

func newSplit(size int, seed uint64, l customer.Limit, rate float64, spread int) *split {
	w := &split{
		random: rand.New(rand.NewPCG(seed, seed)), limit: l, tag: quota.TagOf("c"), //nolint:gosec // A simulation.
		now: mono.Time(time.Second), rate: rate, spread: spread, priorities: 1, due: map[mono.Time][]func(){},
		sides: [2]*coordinator{{alloc: quota.NewAllocator()}, {alloc: quota.NewAllocator()}},
	}
	for i := range size {
		m := &member{id: topology.VMID(fmt.Sprint(i)), meter: quota.NewMeter()}
		m.meter.SetVMs(size)
		m.next = w.now.Add(time.Duration(w.random.Int64N(int64(reportInterval))))
		w.members = append(w.members, m)
	}
	return w
}

// after schedules a change.
func (w *split) after(d time.Duration, do func()) {
	w.later = append(w.later, change{w.now.Add(d), do})
}

func (w *split) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now += mono.Time(step) {
		w.applyDue()
		for n := poissonOf(w.random, w.rate*step.Seconds()); n > 0; n-- {
			w.offer(w.members[w.random.IntN(w.spread)])
		}
		for _, m := range w.members {
			if w.now >= m.next {
				m.next = w.now.Add(reportInterval)
				w.report(m)
			}
		}
	}
}

func (w *split) applyDue() {
	pending := w.later
	w.later = nil
	for _, c := range pending {
		if c.at <= w.now {
			c.do()
		} else {
			w.later = append(w.later, c)
		}
	}
	arrived := w.due[w.now]
	delete(w.due, w.now)
	for _, arrive := range arrived {
		arrive()
	}
}

func (w *split) offer(m *member) {
	w.offered++
	if _, ok := m.meter.Admit(w.tag, policy.LimitOf(w.limit), w.random.IntN(w.priorities), w.now); ok {
		w.admitted = append(w.admitted, w.now)
	} else {
		w.refused++
	}
	if m.meter.Urgent() {
		m.next = w.now
	}
}

// send delivers a message after a delay, possibly late and possibly twice.
func (w *split) send(arrive func()) {
	copies := 1
	if w.random.Float64() < w.twice {
		copies++
	}
	for range copies {
		delay := minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay)))
		if w.random.Float64() < w.late {
			delay += time.Duration(w.random.Int64N(int64(time.Second)))
		}
		at := w.now.Add(delay.Round(step) + step)
		w.due[at] = append(w.due[at], arrive)
	}
}

func (w *split) report(m *member) {
	if m.reportsTo == noSide {
		return
	}
	to, sent := m.reportsTo, w.now
	m.meter.SetAllocator(topology.VMID(fmt.Sprint("allocator-", to)))
	usage := m.meter.Report(w.now)
	for i := range usage {
		w.spoil(&usage[i])
	}
	if !m.noReports {
		w.send(func() { w.receive(m, to, usage, sent) })
	}
}

// spoil applies the injected fault to a report.
func (w *split) spoil(u *quota.Usage) {
	switch {
	case u.Since == 0:
	case w.bug == lostUsage:
		u.Admitted, u.Since, u.Near = 0, 0, false
	case w.bug == lostFractions || w.bug == wholeLimit:
		u.Fraction, u.Demand = 0, 0
	}
}

// receive processes a report at an allocator.
func (w *split) receive(m *member, to side, usage []quota.Usage, sent mono.Time) {
	c := w.sides[to]
	if w.now < c.pausedUntil {
		at := c.pausedUntil.Add(step)
		w.due[at] = append(w.due[at], func() { w.receive(m, to, usage, sent) })
		return
	}
	if c.stopped {
		return
	}
	if w.bug != wholeLimit {
		c.alloc.SetVMs(len(w.members))
	}
	near := c.alloc.RecordReport(m.id, usage, quota.Limits{w.tag: policy.LimitOf(w.limit)}, w.now)
	answer := c.alloc.Answer(m.id, usage, w.now)
	if !m.noAnswers {
		w.send(func() { w.answer(m, to, answer, sent) })
	}
	if len(near) == 0 {
		return
	}
	for _, other := range w.members {
		if !other.noAnswers {
			w.send(func() { w.warn(other, to, near) })
		}
	}
}

func (w *split) answer(m *member, from side, a *quota.Answer, sent mono.Time) {
	if m.reportsTo != from {
		return
	}
	if w.bug == tripleShares {
		for i := range a.Shares {
			a.Shares[i].Rate *= 3
		}
	}
	m.meter.ApplyAnswer(a, sent)
}

func (w *split) warn(m *member, from side, near []quota.Tag) {
	if m.reportsTo == from {
		m.meter.Near(near)
	}
}

// moveAll makes VMs learn of the successor within a time, each at a random moment.
func (w *split) moveAll(members []*member, within time.Duration) {
	for _, m := range members {
		w.after(time.Duration(w.random.Int64N(int64(within)))+step, func() { m.reportsTo = successor })
	}
}

// stayers shuffles the VMs and returns those that stay with the former allocator, and the others.
func (w *split) stayers(n int) (stay, leave []*member) {
	all := slices.Clone(w.members)
	w.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n], all[n:]
}

// partitions are the faults during which two allocators exist.
var partitions = map[string]func(w *split){
	"a tenth stays": func(w *split) {
		stay, leave := w.stayers(len(w.members) / 10)
		w.moveAll(leave, switchingTime)
		w.after(partition, func() { w.moveAll(stay, switchingTime) })
	},
	"28 of 80 stay": func(w *split) {
		stay, leave := w.stayers(len(w.members) * 28 / 80)
		w.moveAll(leave, switchingTime)
		w.after(partition, func() { w.moveAll(stay, switchingTime) })
	},
	"half stay": func(w *split) {
		stay, leave := w.stayers(len(w.members) / 2)
		w.moveAll(leave, switchingTime)
		w.after(partition, func() { w.moveAll(stay, switchingTime) })
	},
	"reports are late and arrive twice": func(w *split) {
		w.late, w.twice = 0.05, 0.1
		stay, leave := w.stayers(len(w.members) / 3)
		w.moveAll(leave, switchingTime)
		w.after(partition, func() { w.moveAll(stay, switchingTime) })
	},
	"a tenth gets no answers": func(w *split) {
		mute, _ := w.stayers(len(w.members) / 10)
		for _, m := range mute {
			m.noAnswers = true
		}
		w.after(partition, func() {
			for _, m := range mute {
				m.noAnswers = false
			}
		})
	},
	"reports of a tenth are lost, then these leave": func(w *split) {
		mute, _ := w.stayers(len(w.members) / 10)
		for _, m := range mute {
			m.noReports = true
		}
		w.after(takeover, func() {
			for _, m := range mute {
				m.noReports, m.reportsTo = false, successor
			}
		})
		w.after(partition, func() { w.moveAll(w.members, switchingTime) })
	},
	"the allocator pauses": func(w *split) {
		w.sides[former].pausedUntil = w.now.Add(partition / 2)
		stay, leave := w.stayers(len(w.members) / 8)
		w.after(takeover, func() { w.moveAll(leave, switchingTime) })
		w.after(partition/2+2*reportInterval, func() { w.sides[former].stopped = true })
		w.after(partition/2+2*reportInterval, func() { w.moveAll(stay, switchingTime) })
	},
	"VMs switch back and forth": func(w *split) {
		_, leave := w.stayers(len(w.members) / 3)
		w.moveAll(leave, switchingTime)
		for _, m := range leave[:len(leave)/2] {
			at := switchingTime
			for at < partition {
				at += 500*time.Millisecond + time.Duration(w.random.Int64N(int64(1500*time.Millisecond)))
				w.after(at, func() { m.reportsTo = successor - m.reportsTo })
			}
		}
		w.after(partition+2*time.Second, func() { w.moveAll(w.members, switchingTime) })
	},
}

// spreads are the numbers of VMs with a customer's sessions.
func spreads(l customer.Limit) []int { return slices.Compact([]int{demandVMsOf(manyVMs, l), manyVMs}) }

// Guards against refusals of customers below their limits while two allocators exist.
func TestUsualLoadIsAdmittedDuringPartition(t *testing.T) {
	for name, fault := range partitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, l := range limits {
				for _, spread := range spreads(l) {
					checkUsualLoad(t, l, spread, fault)
				}
			}
		})
	}
}

func checkUsualLoad(t *testing.T, l customer.Limit, spread int, fault func(w *split)) {
	t.Helper()
	if part := refusedDuring(l, spread, fault, noBug); part > maxRefused {
		t.Errorf("limit %v on %d VMs: %.3f refused", l.Rate, spread, part)
	}
}

// maxRefused is the bound on the part of the operations that is refused of a customer below its limit.
const maxRefused = 0.05

// A part of refused operations is taken from this many operations and simulations at least. A small customer has
// about 20 operations in one simulation.
const (
	leastOffered = 2400
	leastSeeds   = 12
)

// refusedDuring returns the part of the operations that is refused at the usual load during a fault.
func refusedDuring(l customer.Limit, spread int, fault func(w *split), bug splitBug) float64 {
	offered, refused := 0, 0
	for seed := uint64(0); seed < leastSeeds || offered < leastOffered; seed++ {
		w := newSplit(manyVMs, seed, l, usual*l.Rate, spread)
		w.bug = bug
		w.run(warmUp)
		w.offered, w.refused = 0, 0
		fault(w)
		w.run(partition + 2*time.Second)
		offered, refused = offered+w.offered, refused+w.refused
	}
	return float64(refused) / float64(offered)
}

// Guards against two allocators that together hand out more than the limit.
func TestNoWindowExceedsTheLimitDuringPartition(t *testing.T) {
	for name, fault := range partitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := range 3 * len(limits) {
				l, times := limits[i%len(limits)], floods[i/len(limits)]
				for seed := range uint64(6) {
					w := floodDuring(l, times, seed, fault, noBug)
					if got := peakOf(w.admitted); float64(got) > w.allowed() {
						t.Errorf("limit %v, flood %v, seed %d: %d operations in a window, %.0f are allowed", l.Rate, times, seed, got, w.allowed())
					}
				}
			}
		})
	}
}

// floodDuring simulates a flood that begins before, with or after a fault.
func floodDuring(l customer.Limit, times float64, seed uint64, fault func(w *split), bug splitBug) *split {
	w := newSplit(manyVMs, seed, l, usual*l.Rate, demandVMsOf(manyVMs, l))
	w.bug, w.priorities = bug, 1+int(seed%2)*2
	w.run(warmUp)
	w.after(time.Duration(w.random.Int64N(int64(4*time.Second))), func() { w.rate = times * usual * l.Rate })
	w.run(time.Duration(w.random.Int64N(int64(2 * time.Second))))
	fault(w)
	w.run(partition + 4*time.Second)
	w.rate = usual * l.Rate
	w.run(2 * time.Second)
	return w
}

// The simulation must detect injected faults, by refusals below the limit or by operations above it.
func TestInjectedFaultsDuringPartitionAreDetected(t *testing.T) {
	for name, bug := range map[string]splitBug{
		"shares add up to three times the limit": tripleShares,
		"each allocator divides the whole limit": wholeLimit,
		"usage without an answer is forgotten":   lostUsage,
		"fractions are forgotten":                lostFractions,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if !detected(bug) {
				t.Error("not detected")
			}
		})
	}
}

// detected reports whether any of the simulations breaks a bound.
func detected(bug splitBug) bool {
	for _, fault := range partitions {
		for _, l := range limits {
			if refusedDuring(l, demandVMsOf(manyVMs, l), fault, bug) > maxRefused {
				return true
			}
			for seed := range uint64(6) {
				if w := floodDuring(l, floods[2], seed, fault, bug); float64(peakOf(w.admitted)) > w.allowed() {
					return true
				}
			}
		}
	}
	return false
}

func (w *split) allowed() float64 {
	return (w.limit.Rate*window.Seconds()+w.limit.Burst)*(1+excess) + slack
}

// Guards against a limit of which a part stays reserved for VMs that are gone for good: customers at their usual load
// were refused for as long as the allocator lived.
func TestNothingIsReservedForVMsThatAreGone(t *testing.T) {
	for _, l := range limits {
		w := newWorld(manyVMs, 1, l, usual*l.Rate, demandVMsOf(manyVMs, l))
		w.run(4 * time.Second)
		w.vms = w.vms[:manyVMs/2]
		w.demandVMs = min(w.demandVMs, len(w.vms))
		w.run(6 * time.Second)
		w.size = len(w.vms) // Their registrations are removed.
		for _, v := range w.vms {
			v.meter.SetVMs(w.size)
		}
		w.run(8 * time.Second)
		w.offered, w.refused = 0, 0
		w.run(10 * time.Second)
		if part := float64(w.refused) / float64(w.offered); part > 0.01 {
			t.Errorf("limit %v: %.3f of %d refused", l.Rate, part, w.offered)
		}
	}
}
