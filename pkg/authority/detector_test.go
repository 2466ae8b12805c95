package authority

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const second = mono.Time(time.Second)

var _ = Describe("Detector", func() {
	// drive ticks every 10 ms; each probe brings what answer says, if anything.
	drive := func(d *Detector, from, to mono.Time, answer func(sent mono.Time) (ProbeOutcome, time.Duration)) mono.Time {
		type pending struct {
			outcome  ProbeOutcome
			sent, at mono.Time
		}
		var open []pending
		for now := from; now < to; now = now.Add(step) {
			for len(open) > 0 && !open[0].at.After(now) {
				d.ObserveProbe("db0", open[0].outcome, open[0].sent, now)
				open = open[1:]
			}
			for _, a := range d.Tick(now) {
				if _, ok := a.(Probe); ok {
					outcome, after := answer(now)
					open = append(open, pending{outcome, now, now.Add(after)})
				}
			}
			if d.Health("db0", now) == Dead {
				return now
			}
		}
		return 0
	}

	newDetector := func() *Detector {
		d := NewDetector()
		d.Watch("db0", second)
		d.ObserveAnswer("db0", 2*time.Millisecond, second)
		return d
	}

	// The process is gone: callers' connections break. New ones are refused at
	// once, so two refusals and a witness's silence suffice.
	It("finds a killed target in less than half a second", func() {
		at := drive(newDetector(), second, 3*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeRefused, 2 * time.Millisecond
		})
		Expect(at.Sub(second)).To(BeNumerically(">", 0))
		Expect(at.Sub(second)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("finds a frozen target in less than a second", func() {
		at := drive(newDetector(), second, 3*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeTimedOut, ProbeTimeout
		})
		Expect(at.Sub(second)).To(BeNumerically(">", 0))
		Expect(at.Sub(second)).To(BeNumerically("<", time.Second))
	})

	// Everything takes ten times as long: callers wait. New connections are
	// answered within the probe's timeout, so nothing counts against the target.
	It("takes a target of ten times the latency for slow", func() {
		d := newDetector()
		usual := func(mono.Time) (ProbeOutcome, time.Duration) { return ProbeAnswered, 12 * time.Millisecond }
		Expect(drive(d, second, 3*second, usual)).To(BeZero())
		Expect(d.Health("db0", 3*second)).To(Equal(Healthy))
		at := drive(d, 3*second, 20*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeAnswered, 120 * time.Millisecond
		})
		Expect(at).To(BeZero())
		Expect(d.Health("db0", 20*second)).To(Equal(Slow))
	})

	// Open connections went silent for good, as a box between the ends forgot
	// them: callers' answers stay out. New connections are answered.
	It("does not take a silent connection for a dead target", func() {
		d := newDetector()
		d.Doubt("db0")
		at := drive(d, second, 6*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeAnswered, 12 * time.Millisecond
		})
		Expect(at).To(BeZero())
	})

	// Only the path from here is dead: a witness of another data centre reaches
	// the target.
	It("believes a witness that reaches the target", func() {
		d := newDetector()
		d.ObserveProbe("db0", ProbeRefused, 2*second, 2*second)
		d.ObserveProbe("db0", ProbeRefused, 2*second+1, 2*second+1)
		d.ObserveWitness("db0", true, 2*second)
		Expect(d.Health("db0", 2*second+second/4)).To(Equal(PathDead))
		Expect(d.Health("db0", 3*second)).To(Equal(Dead))
	})
})

var _ = Describe("Promoter", func() {
	row := func() *topology.Group {
		return &topology.Group{
			ID: testGroup, Version: 3, Term: 2, Primary: "db0",
			Promoters: []topology.Promoter{{VM: "vm1", Incarnation: 1, Replica: "db1", Synced: true}},
		}
	}
	newPromoter := func() *Promoter {
		opts := DefaultOptions()
		opts.CheckInvariants = true
		p := NewPromoter(topology.VM{ID: "vm1", Incarnation: 1}, opts, rand.New(rand.NewPCG(1, 1)), second)
		p.Stand(testGroup, "db1")
		p.ObserveRow(RowRead{Row: row()}, second)
		return p
	}
	beat := func(p *Promoter, health Health, now mono.Time) {
		p.HandleHeartbeat(HeartbeatRequest{VM: "vm0", Promises: []PromiseRequest{{Group: testGroup, Version: 3, Health: health}}}, now)
	}

	// The holder speaks and calls its primary well; this VM reaches it not. That
	// is a path, and callers elsewhere are served.
	It("suspects no primary that its holder calls well", func() {
		p := newPromoter()
		beat(p, Healthy, 2*second)
		Expect(p.Judge(testGroup, Dead, 2*second+1)).To(BeFalse())
	})

	// The holder is silent and the target answers here: the pooler's VM died,
	// and the next pooler takes over without a promotion.
	It("suspects no primary that answers while its holder is silent", func() {
		p := newPromoter()
		beat(p, Healthy, 2*second)
		Expect(p.Judge(testGroup, Healthy, 4*second)).To(BeFalse())
		Expect(p.Judge(testGroup, Dead, 4*second)).To(BeTrue())
	})

	// A link flaps: each promotion costs callers a gap. The third within the
	// window waits, and the next ones longer.
	It("spaces the promotions of a flapping group", func() {
		p := newPromoter()
		s := p.standing(testGroup)
		s.promoted = []mono.Time{10 * second}
		Expect(p.calmAt(s, 11*second)).To(BeZero())
		s.promoted = []mono.Time{10 * second, 12 * second}
		Expect(p.calmAt(s, 13*second)).To(Equal(14 * second))
		s.promoted = []mono.Time{10 * second, 12 * second, 15 * second}
		Expect(p.calmAt(s, 16*second)).To(Equal(19 * second))
		Expect(p.calmAt(s, 100*second)).To(BeZero())
	})

	// The suspicion is wrong and the platform down: callers notice nothing, as
	// nothing is withdrawn before the row was read.
	It("goes on promising when the row can't be read", func() {
		p := newPromoter()
		p.Suspect(testGroup, true, 2*second)
		for now := 2 * second; now < 8*second; now = now.Add(step) {
			p.Tick(now)
		}
		resp := p.HandleHeartbeat(HeartbeatRequest{VM: "vm0", Promises: []PromiseRequest{{Group: testGroup, Version: 3}}}, 8*second)
		Expect(resp.Promises[0].Granted).To(BeTrue())
	})

	It("panics with InvariantBroken when a term goes back", func() {
		p := newPromoter()
		old := row()
		old.Version, old.Term = 4, 1
		Expect(func() { p.ObserveRow(RowRead{Row: old}, 2*second) }).To(PanicWith(HaveField("Code", BeEquivalentTo(1901))))
	})
})

var _ = Describe("Holder", func() {
	// The VM releases its right while it does not pool the group, and pools it
	// again before a promise given earlier arrives: that promise must not count.
	It("remembers a release when it serves the group again", func() {
		h := NewHolder(topology.VM{ID: "vm0", Incarnation: 1}, DefaultOptions())
		g := &topology.Group{ID: testGroup, Version: 1, Term: 1, Primary: "db0", Promoters: []topology.Promoter{{VM: "vm1", Incarnation: 1, Replica: "db1"}}}
		promise := func(now mono.Time) {
			for _, a := range h.Tick(now) {
				if b, ok := a.(SendHeartbeat); ok {
					resp := HeartbeatResponse{Sequence: b.Request.Sequence, Incarnation: 1, Promises: []Promise{{Group: testGroup, Version: 1, Granted: true}}}
					h.ObserveHeartbeat("vm1", resp, now)
				}
			}
		}
		serve := func(now mono.Time) {
			h.Serve(testGroup, "db0")
			h.ObserveRow(RowRead{Row: g, Began: now}, now)
		}
		serve(second)
		promise(second)
		_, err := h.Right(testGroup, 1, second+1)
		Expect(err).To(BeNil())
		h.Drop(testGroup)
		h.HandleRelease(ReleaseRightRequest{Group: testGroup, Version: 1}, 2*second)
		serve(2 * second)
		promise(2 * second)
		_, err = h.Right(testGroup, 1, 2*second+1)
		Expect(err).NotTo(BeNil())
	})
})

var _ = Describe("SurplusOf", func() {
	It("reports what a returning primary holds beyond the end of its term", func() {
		row := &topology.Group{Term: 2, History: []topology.TermEnd{{Term: 1, End: entry{term: 1}.position(9)}}}
		s, lost := SurplusOf(row, entry{term: 1}.position(11))
		Expect(lost).To(BeTrue())
		Expect(s.From.Index).To(BeEquivalentTo(10))
		Expect(s.To.Index).To(BeEquivalentTo(12))
		_, lost = SurplusOf(row, entry{term: 1}.position(9))
		Expect(lost).To(BeFalse())
	})
})
