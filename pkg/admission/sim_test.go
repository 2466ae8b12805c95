package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// queue is the interface that the simulation drives: implemented by
// admission.Queue and by a FIFO queue of the same length for comparison.
type queue interface {
	Enqueue(mono.Time, admission.Request) ([]admission.Answer, error)
	Next(mono.Time) ([]admission.Request, []admission.Answer)
	Done(uint64, mono.Time)
}

type fifo struct {
	waiting      []admission.Request
	slots, limit int
}

func (f *fifo) Enqueue(_ mono.Time, r admission.Request) ([]admission.Answer, error) {
	if len(f.waiting) >= f.limit {
		return nil, fmt.Errorf("full")
	}
	f.waiting = append(f.waiting, r)
	return nil, nil
}

func (f *fifo) Next(now mono.Time) (start []admission.Request, expired []admission.Answer) {
	for f.slots > 0 && len(f.waiting) > 0 {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		if r.Deadline > now {
			start = append(start, r)
			f.slots--
		}
	}
	return start, nil
}

func (f *fifo) Done(uint64, mono.Time) { f.slots++ }

type event struct {
	at      mono.Time
	request admission.Request
	done    bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const slots = 2

// loadClass is a class of the simulated load.
type loadClass struct {
	name     string
	priority admission.Priority
	load     float64 // share of the slots' time
	service  time.Duration
	deadline time.Duration
}

func simulatedLoad(normal, background float64) []loadClass {
	return []loadClass{
		{"confirm", admission.Urgent, 0.2, 5 * time.Millisecond, time.Second},
		{"balance", admission.Normal, normal, 8 * time.Millisecond, time.Second},
		{"landing", admission.Background, background, 20 * time.Millisecond, 10 * time.Second},
	}
}

// outcome holds the results of one priority.
type outcome struct {
	offered, inTime int
	busy            time.Duration
	times           []time.Duration
}

func (o *outcome) p99() time.Duration {
	slices.Sort(o.times)
	return o.times[len(o.times)*99/100]
}

// simulate runs the load through q in virtual time, with Poisson arrivals.
func simulate(q queue, load []loadClass, exponential bool, length time.Duration) [3]outcome {
	random := rand.New(rand.NewPCG(1, 2))
	var pending events
	var id uint64
	for _, k := range load {
		gap := float64(k.service) / (k.load * slots)
		for at := mono.Time(0); at < mono.Time(length); at += mono.Time(gap * random.ExpFloat64()) {
			id++
			pending = append(pending, event{at: at, request: admission.Request{
				ID: id, Member: "kalakvoot", Class: k.name, Priority: k.priority, Deadline: at.Add(k.deadline),
			}})
		}
	}
	heap.Init(&pending)
	var out [3]outcome
	arrived := map[uint64]mono.Time{}
	for len(pending) > 0 && pending[0].at < mono.Time(length) {
		e := heap.Pop(&pending).(event)
		o := &out[e.request.Priority]
		if e.done {
			q.Done(e.request.ID, e.at)
			o.times = append(o.times, e.at.Sub(arrived[e.request.ID]))
			if e.at <= e.request.Deadline {
				o.inTime++
			}
		} else {
			o.offered++
			arrived[e.request.ID] = e.at
			_, _ = q.Enqueue(e.at, e.request)
		}
		start, _ := q.Next(e.at)
		for _, r := range start {
			service := float64(load[r.Priority].service)
			if exponential {
				service *= random.ExpFloat64()
			}
			service = math.Max(service, 1000)
			out[r.Priority].busy += time.Duration(service)
			heap.Push(&pending, event{at: e.at.Add(time.Duration(service)), request: r, done: true})
		}
	}
	return out
}

func limits(reserved int) admission.Limits {
	return admission.Limits{Slots: slots, Reserved: reserved, Queue: 128, ClassQueue: 64, MemberQueue: 128, Transactions: 8}
}

var _ = Describe("2x overload, in virtual time", func() {
	const length = 100 * time.Second
	for _, exponential := range []bool{false, true} {
		It(fmt.Sprintf("keeps urgent p99 within twice its value at low load, exponential=%t", exponential), func() {
			lowLoad := simulate(admission.NewQueue(limits(0)), simulatedLoad(0.1, 0.05), exponential, length)
			overload := simulatedLoad(1.2, 0.6)
			unreserved := simulate(admission.NewQueue(limits(0)), overload, exponential, length)
			for _, run := range []struct {
				name string
				out  [3]outcome
			}{
				{"low load", lowLoad},
				{"fifo", simulate(&fifo{slots: slots, limit: 128}, overload, exponential, length)},
				{"reserved=0", unreserved},
				{"reserved=1", simulate(admission.NewQueue(limits(1)), overload, exponential, length)},
			} {
				GinkgoWriter.Printf("%-10s", run.name)
				for i := range run.out {
					o := &run.out[i]
					GinkgoWriter.Printf("  p99=%-8v in-time=%3d%% busy=%2d%%", o.p99().Round(time.Millisecond/10),
						100*o.inTime/o.offered, 100*o.busy/(slots*length))
				}
				GinkgoWriter.Println("")
			}
			Expect(unreserved[0].p99()).To(BeNumerically("<=", 2*lowLoad[0].p99()))
			Expect(unreserved[2].busy).To(BeNumerically(">=", slots*length*4/100), "background keeps its share")
		})
	}
})
