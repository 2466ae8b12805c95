package routing_test

import (
	"flag"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func TestRouting(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		NewWithT(t).Expect(seed.Value.Set("1")).To(Succeed())
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

const ms = mono.Time(time.Millisecond)

func at(term, index uint64) position.Position { return position.Position{Term: term, Index: index} }

var _ = Describe("Freshness", func() {
	It("never shows an age below the real one, nor far above what the samples allow", func() {
		const maxAge, resolution = 1000 * time.Millisecond, 50 * time.Millisecond
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := routing.NewFreshness(maxAge, resolution)
			var all []routing.Sample
			var commits []mono.Time // commits[i] is when index i+1 was committed
			var held uint64
			now := mono.Time(0)
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				now += mono.Time(rapid.IntRange(1, 20).Draw(t, "gap")) * ms
				commits = append(commits, now)
				begun := now - mono.Time(rapid.IntRange(0, 200).Draw(t, "late"))*ms
				first := sort.Search(len(commits), func(i int) bool { return commits[i] > begun })
				newest := rapid.IntRange(first, len(commits)).Draw(t, "newest")
				s := routing.Sample{Begun: begun, Position: at(1, uint64(newest))}
				all = append(all, s)
				f.AddSample(s)
				held = rapid.Uint64Range(held, uint64(len(commits))).Draw(t, "held")
				f.RecordPosition("r1", at(1, held), now)
				age, ok := f.ShownAge("r1", now)
				if ok && held < uint64(len(commits)) && age < now.Sub(commits[held]) {
					t.Fatalf("shown age %v, but a commit from %v ago is missing", age, now.Sub(commits[held]))
				}
				best := mono.Time(-1)
				for _, s := range all {
					if s.Position.Index <= held {
						best = max(best, s.Begun)
					}
				}
				if best >= 0 && now.Sub(best) < maxAge && (!ok || age > now.Sub(best)+resolution) {
					t.Fatalf("shown age %v (%t); the samples allow %v", age, ok, now.Sub(best))
				}
			}
			if f.Samples() >= int(4*maxAge/resolution)+4 {
				t.Fatalf("holds %d samples", f.Samples())
			}
		})
	})

	// The primary of term 1 fails after 1/100; the new one held only 1/90. A replica
	// that applied up to 1/95 holds lost writes; one at 1/80 holds a prefix of the
	// surviving log but nothing of term 2. Neither may show an age from term 2.
	DescribeTable("compares positions of two terms", func(p, want position.Position, holds bool) {
		g := &topology.Group{Term: 2, Version: 1, History: []topology.TermEnd{{Term: 1, End: at(1, 90)}}}
		Expect(routing.Holds(g, p, want)).To(Equal(holds))
		f := routing.NewFreshness(time.Second, time.Millisecond)
		f.SetGroup(g)
		Expect(f.Holds(p, want)).To(Equal(holds))
	},
		Entry("same term", at(2, 95), at(2, 95), true),
		Entry("a later term holds the surviving writes", at(2, 91), at(1, 90), true),
		Entry("no target holds lost writes", at(2, 99), at(1, 91), false),
		Entry("an earlier term does not hold later writes", at(1, 90), at(2, 91), false),
		Entry("an earlier term holds everything when nothing was written since", at(1, 90), at(2, 90), true),
		Entry("a replica past the end of its term has a diverged history", at(1, 95), at(1, 80), false),
		Entry("a replica past the end of its term does not hold the zero floor", at(1, 95), at(0, 0), false),
		Entry("a term later than the row is not known to hold the current one", at(3, 95), at(2, 80), false),
	)
})

var _ = Describe("FloorFetches", func() {
	// A session writes through another proxy while a fetch of this proxy is in
	// flight. The fetch may have read the primary's position before the write, so a
	// read that arrives now and used the answer could miss the write. It has to wait
	// for the next fetch.
	It("serves a read only by a fetch that began after it arrived", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := routing.NewFloorFetches()
			key := routing.FetchKey{Group: "quota/1"}
			arrived := map[routing.WaiterID]mono.Time{}
			var inFlight *routing.StartFetch
			begin := func(s *routing.StartFetch) {
				if s != nil && inFlight != nil {
					t.Fatalf("two fetches in flight")
				}
				inFlight = s
			}
			var id routing.WaiterID
			for now := mono.Time(1); now < 200; now++ {
				if rapid.Bool().Draw(t, "arrives") {
					id++
					arrived[id] = now
					if s := f.Arrive(now, key, id); s != nil {
						begin(s)
					}
					continue
				}
				if inFlight == nil {
					continue
				}
				done := inFlight.ID
				inFlight = nil
				released, next := f.Done(now, key, done, at(1, uint64(now)), nil)
				begin(next)
				for _, w := range released.Waiters {
					if released.Begun < arrived[w] {
						t.Fatalf("read that arrived at %v served by a fetch begun at %v", arrived[w], released.Begun)
					}
					delete(arrived, w)
				}
				if again, _ := f.Done(now, key, done, at(1, 1), nil); len(again.Waiters) > 0 {
					t.Fatalf("a late answer released reads")
				}
			}
			if inFlight == nil && len(arrived) > 0 {
				t.Fatalf("%d reads wait without a fetch in flight", len(arrived))
			}
		})
	})
})

func positionOf(p position.Position, _ bool) position.Position { return p }

// simulatedPooler is one of two poolers that write to one primary.
type simulatedPooler struct {
	floors   *routing.SessionFloors
	inFlight []simulatedWrite
}

type simulatedWrite struct {
	session string
	at      position.Position
}

var _ = Describe("SessionFloors", func() {
	// Two poolers write to the same primary for a while. Each sees only its own
	// completions, out of order, and evicts sessions; terms change. A session must
	// still never read below its last acknowledged write.
	It("never returns less than the session's last acknowledged write", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			poolers := []*simulatedPooler{}
			for range 2 {
				capacity := rapid.IntRange(1, 4).Draw(t, "capacity")
				poolers = append(poolers, &simulatedPooler{floors: routing.NewSessionFloors(capacity, 20)})
			}
			newest, acknowledged := at(1, uint64(rapid.IntRange(0, 9).Draw(t, "start"))), map[string]position.Position{}
			sessions := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
			for now := mono.Time(0); now < 150; now++ {
				p := poolers[rapid.IntRange(0, 1).Draw(t, "pooler")]
				switch rapid.IntRange(0, 9).Draw(t, "step") {
				case 0, 1, 2: // A commit whose completion is outstanding.
					newest.Index++
					p.inFlight = append(p.inFlight, simulatedWrite{sessions.Draw(t, "session"), newest})
				case 3, 4, 5, 6: // A completion arrives, in any order, and is acknowledged.
					if len(p.inFlight) == 0 {
						continue
					}
					i := rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "flight")
					w := p.inFlight[i]
					p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
					p.floors.Completed(w.session, w.at, now)
					acknowledged[w.session] = position.Max(acknowledged[w.session], w.at)
				case 7:
					p.floors.Tick(now)
				case 8:
					if rapid.IntRange(0, 9).Draw(t, "promotion") == 0 {
						newest.Term++
						newest.Index -= min(newest.Index, uint64(rapid.IntRange(0, 2).Draw(t, "lost")))
						poolers[0].inFlight, poolers[1].inFlight = nil, nil
					}
				}
				s := sessions.Draw(t, "reader")
				floor, ok := p.floors.Floor(s, newest)
				if ok && floor.Less(acknowledged[s]) {
					t.Fatalf("floor %v of %s, which wrote %v; newest %v", floor, s, acknowledged[s], newest)
				}
			}
		})
	})

	It("lets a session without recent writes read below the newest position", func() {
		f := routing.NewSessionFloors(8, time.Second)
		f.Floor("clerk", at(1, 10))
		f.Completed("clerk", at(1, 11), 0)
		f.Completed("broker", at(1, 13), 0)
		Expect(positionOf(f.Floor("clerk", at(1, 13)))).To(Equal(at(1, 13)), "12 may be another pooler's")
		f.Completed("broker", at(1, 12), 0)
		Expect(positionOf(f.Floor("clerk", at(1, 13)))).To(Equal(at(1, 11)))
		Expect(positionOf(f.Floor("skipper", at(1, 13)))).To(Equal(at(1, 10)))
	})
})

var _ = Describe("Choose", func() {
	var f *routing.Freshness
	var targets []routing.Candidate
	random := rand.New(rand.NewPCG(1, 1))
	BeforeEach(func() {
		f = routing.NewFreshness(time.Second, time.Millisecond)
		f.AddSample(routing.Sample{Begun: 0, Position: at(1, 100)})
		f.RecordPosition("near", at(1, 100), 0)
		f.RecordPosition("far", at(1, 100), 0)
		targets = []routing.Candidate{
			{Target: "primary", Primary: true, SameDC: true, Service: time.Millisecond, Slots: 2},
			{Target: "near", SameDC: true, Service: time.Millisecond, Slots: 2},
			{Target: "far", Service: time.Millisecond, Slots: 2},
		}
	})
	choose := func(req routing.Request) topology.TargetID {
		e, err := routing.Choose(10*ms, req, f, targets, random)
		Expect(err).NotTo(HaveOccurred(), "%s", e)
		return e.Chosen
	}
	read := routing.Request{Staleness: routing.AnyAge, Floor: at(1, 100)}

	It("sends writes to the primary and reads to the nearest replica", func() {
		Expect(choose(routing.Request{Write: true})).To(BeEquivalentTo("primary"))
		Expect(choose(read)).To(BeEquivalentTo("near"))
		targets[1].QueueLength = 20
		Expect(choose(read)).To(BeEquivalentTo("far"))
	})

	It("avoids a replica that answered that it is behind until its position advances", func() {
		read.Floor = at(1, 101)
		f.MarkBehind("near", at(1, 100), 0)
		Expect(choose(read)).To(BeEquivalentTo("far"))
		f.RecordPosition("near", at(1, 101), 0)
		Expect(choose(read)).To(BeEquivalentTo("near"))
	})

	It("picks the primary when no age is shown, and refuses when the primary is dead too", func() {
		fresh := routing.Request{Staleness: time.Millisecond}
		Expect(choose(fresh)).To(BeEquivalentTo("primary"))
		targets[0].State = routing.Dead
		_, err := routing.Choose(10*ms, fresh, f, targets, random)
		Expect(result.From(err)).To(And(HaveField("Code", result.AgeNotShown), HaveField("RetryAfter", routing.RetryNoTarget)))
		targets[1].State, targets[2].State = routing.Leaving, routing.Suspect
		Expect(choose(read)).To(BeEquivalentTo("far"), "a suspect replica is better than none")
	})

	It("sends few reads to an outlier, and all if no other target is usable", func() {
		targets[1].Weight = 0.05
		outlier := 0
		for range 1000 {
			if choose(read) == "near" {
				outlier++
			}
		}
		Expect(outlier).To(BeNumerically("~", 50, 30))
		targets[2].State = routing.Dead
		Expect(choose(read)).To(BeEquivalentTo("primary"), "the primary is better than an outlier")
		targets[0].State = routing.Dead
		Expect(choose(read)).To(BeEquivalentTo("near"), "an outlier is better than none")
	})

	It("spills to an idle primary only when every replica is overloaded", func() {
		targets[1].QueueLength = 200
		Expect(choose(read)).To(BeEquivalentTo("far"))
		targets[2].QueueLength = 200
		Expect(choose(read)).To(BeEquivalentTo("primary"))
		third := routing.Candidate{Target: "third", SameDC: true, Service: time.Millisecond, Slots: 2, QueueLength: 200}
		idle := third
		idle.QueueLength, idle.Target = 0, "idle"
		targets = append(targets, third, idle)
		for range 50 {
			Expect(choose(read)).NotTo(BeEquivalentTo("primary"), "a third replica is idle")
		}
		targets = targets[:3]
		targets[0].QueueLength = 100
		Expect(choose(read)).NotTo(BeEquivalentTo("primary"))
	})
})
