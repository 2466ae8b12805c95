package admission_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

func TestAdmission(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		NewWithT(t).Expect(seed.Value.Set("1")).To(Succeed())
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

const ms = mono.Time(time.Millisecond)

// requestTracker checks that each request ends exactly once: it starts, is refused
// or is cancelled.
type requestTracker struct {
	*rapid.T
	waiting map[uint64]admission.Request
	running map[uint64]admission.Request
}

func (f *requestTracker) answered(answers []admission.Answer) {
	for _, a := range answers {
		if _, ok := f.waiting[a.ID]; !ok {
			f.Fatalf("request %d was answered %v but was not waiting", a.ID, a.Err)
		}
		if a.Err.RetryAfter <= 0 || a.Err.Ran != result.NotRun {
			f.Fatalf("answer without a retry delay, or not marked as not run: %v", a.Err)
		}
		delete(f.waiting, a.ID)
	}
}

func (f *requestTracker) next(q *admission.Queue, now mono.Time) {
	start, expired := q.Next(now)
	f.answered(expired)
	for _, r := range start {
		if _, ok := f.waiting[r.ID]; !ok || r.Deadline <= now {
			f.Fatalf("request %d started, waiting %t, at %v of %v", r.ID, ok, now, r.Deadline)
		}
		delete(f.waiting, r.ID)
		f.running[r.ID] = r
	}
	for id, r := range f.waiting {
		if r.Deadline <= now {
			f.Fatalf("request %d waits past its deadline", id)
		}
	}
}

var _ = Describe("Queue", func() {
	It("ends each request exactly once, for any order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			draw := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
			limits := func() admission.Limits {
				return admission.Limits{
					Slots: 1 + draw(3, "slots"), Reserved: draw(2, "reserved"), Queue: 1 + draw(6, "queue"), ClassQueue: 4, MemberQueue: 1 + draw(5, "member"),
					Transactions: 1 + draw(2, "transactions"), Weights: map[string]float64{"m0": 3},
				}
			}
			l := limits()
			q := admission.NewQueue(l)
			f := &requestTracker{T: t, waiting: map[uint64]admission.Request{}, running: map[uint64]admission.Request{}}
			open := map[uint64]bool{}
			now := mono.Time(0)
			for id := uint64(1); id < 120; id++ {
				now += mono.Time(draw(6, "gap")) * ms
				switch draw(8, "step") {
				case 0, 1, 2, 3:
					r := admission.Request{
						ID: id, Member: fmt.Sprint("m", draw(2, "member")), Class: fmt.Sprint("c", draw(3, "class")),
						Priority: admission.Priority(draw(3, "priority")), Deadline: now + mono.Time(1+draw(60, "deadline"))*ms, LowerPlace: draw(4, "lower") == 0,
					}
					if draw(3, "opens") == 0 {
						r.Transaction, r.Opens = id, true
					}
					shed, err := q.Enqueue(now, r)
					for _, a := range shed {
						if f.waiting[a.ID].Priority <= r.Priority {
							t.Fatalf("request %d displaced by one that is not more urgent", a.ID)
						}
					}
					f.answered(shed)
					if err == nil {
						f.waiting[id] = r
					} else if result.From(err).RetryAfter <= 0 {
						t.Fatalf("refused without a retry delay: %v", err)
					}
				case 4, 5:
					for running, r := range f.running {
						q.Done(running, now)
						delete(f.running, running)
						open[r.Transaction] = r.Opens
						break
					}
				case 6:
					_, waits := f.waiting[id-2]
					if q.Cancel(id-2) != waits {
						t.Fatalf("cancel of %d, waiting %t", id-2, waits)
					}
					delete(f.waiting, id-2)
				case 7:
					for tx := range open {
						q.EndTransaction(tx)
					}
					clear(open)
					l = limits()
					f.answered(q.SetLimits(l))
					if q.Waiting() > l.Queue {
						t.Fatalf("%d requests wait, the limit is %d", q.Waiting(), l.Queue)
					}
				}
				before := len(f.running)
				f.next(q, now)
				if len(f.running) > max(before, l.Slots) || q.Running() != len(f.running) || q.Waiting() != len(f.waiting) {
					t.Fatalf("%d requests run in %d slots, %d wait", len(f.running), l.Slots, len(f.waiting))
				}
			}
		})
	})

	var q *admission.Queue
	limits := admission.Limits{Slots: 1, Queue: 100, ClassQueue: 100, MemberQueue: 100, Transactions: 1}
	var id uint64
	request := func(member string, p admission.Priority) admission.Request {
		id++
		return admission.Request{ID: id, Member: member, Class: "c", Priority: p, Deadline: mono.Time(time.Hour), Service: 5 * time.Millisecond}
	}
	enqueue := func(r admission.Request) admission.Request {
		_, err := q.Enqueue(0, r)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	serve := func() admission.Request {
		start, _ := q.Next(0)
		Expect(start).To(HaveLen(1))
		q.Done(start[0].ID, 5*ms)
		return start[0]
	}
	BeforeEach(func() { q = admission.NewQueue(limits) })

	It("gives a member that was idle no more than its share", func() {
		for range 40 {
			enqueue(request("permessi", admission.Normal))
		}
		for range 20 {
			serve()
		}
		served := map[string]int{}
		for range 10 {
			enqueue(request("kalakvoot", admission.Normal))
		}
		for range 10 {
			served[serve().Member]++
		}
		Expect(served["kalakvoot"]).To(BeNumerically("~", 5, 1))
	})

	It("shares a priority by the members' weights", func() {
		l := limits
		l.Weights = map[string]float64{"kalakvoot": 3}
		q.SetLimits(l)
		for range 40 {
			enqueue(request("permessi", admission.Normal))
			enqueue(request("kalakvoot", admission.Normal))
		}
		served := map[string]int{}
		for range 40 {
			served[serve().Member]++
		}
		Expect(served["kalakvoot"]).To(BeNumerically("~", 30, 1))
	})

	It("runs a request of an open transaction before new ones, and bounds open transactions", func() {
		opens := request("m", admission.Normal)
		opens.Transaction, opens.Opens = 1, true
		enqueue(opens)
		Expect(serve().ID).To(Equal(opens.ID))
		second := opens
		second.ID, second.Transaction = 1000, 2
		enqueue(second)
		plain := enqueue(request("m", admission.Normal))
		commit := request("m", admission.Normal)
		commit.Transaction = 1
		enqueue(commit)
		Expect(serve().ID).To(Equal(commit.ID))
		Expect(serve().ID).To(Equal(plain.ID), "the second transaction waits for a connection")
		Expect(q.Next(0)).To(BeEmpty())
		q.EndTransaction(1)
		Expect(serve().ID).To(Equal(second.ID))
	})

	// Background requests of one member fill its share of the queue, and then an
	// urgent request of the member arrives. It must not be refused: the youngest
	// background request gets its final answer at once, with a retry delay and the
	// information that it was not run.
	DescribeTable("displaces the youngest of the least urgent requests for an urgent one", func(queue, member int) {
		l := limits
		l.Queue, l.MemberQueue = queue, member
		q.SetLimits(l)
		enqueue(request("m", admission.Normal))
		enqueue(request("m", admission.Background))
		last := enqueue(request("m", admission.Background))
		shed, err := q.Enqueue(0, request("m", admission.Urgent))
		Expect(err).NotTo(HaveOccurred())
		Expect(shed).To(HaveLen(1))
		Expect(shed[0].ID).To(Equal(last.ID))
		Expect(shed[0].Err.Code).To(Equal(result.ShedForUrgent))
		_, err = q.Enqueue(0, request("m", admission.Background))
		Expect(result.From(err).Code).To(BeElementOf(result.QueueFull, result.MemberLimit))
	},
		Entry("when the queue is full", 3, 100),
		Entry("when the member's limit is reached", 100, 3),
	)

	It("admits the commit of an open transaction although the queue is full", func() {
		l := limits
		l.Queue, l.MemberQueue, l.ClassQueue = 1, 1, 1
		q.SetLimits(l)
		enqueue(request("m", admission.Background))
		commit := request("m", admission.Background)
		commit.Transaction = 1
		enqueue(commit)
		Expect(serve().ID).To(Equal(commit.ID))
	})

	It("refuses at once a request that would miss its deadline in the queue", func() {
		for range 20 {
			enqueue(request("m", admission.Normal))
		}
		late := request("m", admission.Normal)
		late.Deadline = 50 * ms
		_, err := q.Enqueue(0, late)
		Expect(result.From(err)).To(And(HaveField("Code", result.DeadlineInQueue), HaveField("RetryAfter", 100*time.Millisecond)))
	})
})

func BenchmarkQueue(b *testing.B) {
	q := admission.NewQueue(admission.Limits{Slots: 2, Queue: 256, ClassQueue: 256, MemberQueue: 256, Transactions: 8})
	id := uint64(0)
	add := func(now mono.Time) {
		id++
		r := admission.Request{ID: id, Member: "m", Class: "c", Priority: admission.Priority(id % 3), Deadline: now.Add(time.Hour)}
		if _, err := q.Enqueue(now, r); err != nil {
			b.Fatal(err)
		}
	}
	for range 100 {
		add(0)
	}
	now := mono.Time(0)
	b.ReportAllocs()
	for b.Loop() {
		now += ms
		add(now)
		start, _ := q.Next(now)
		for _, r := range start {
			q.Done(r.ID, now)
		}
	}
}
