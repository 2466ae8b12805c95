package authority

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
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
