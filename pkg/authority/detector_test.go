package authority

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const second = mono.Time(time.Second)

var _ = Describe("Detector", func() {
	// drive ticks every 10 ms until the target is dead, and returns when that was, or
	// zero. answer returns the outcome of each probe and the delay until it is known.
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

	// The process was killed: callers' connections break, and new ones are refused at
	// once. Two refusals suffice if no witness answers.
	It("detects a killed target in less than half a second", func() {
		at := drive(newDetector(), second, 3*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeRefused, 2 * time.Millisecond
		})
		Expect(at.Sub(second)).To(BeNumerically(">", 0))
		Expect(at.Sub(second)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("detects a frozen target in less than a second", func() {
		at := drive(newDetector(), second, 3*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeTimedOut, ProbeTimeout
		})
		Expect(at.Sub(second)).To(BeNumerically(">", 0))
		Expect(at.Sub(second)).To(BeNumerically("<", time.Second))
	})

	// All requests take ten times as long, and callers wait. New connections are still
	// answered within the probe's timeout, so no probe fails.
	It("reports a target with ten times the usual latency as slow", func() {
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

	// A network device dropped the state of open connections: callers get no answers
	// on them, but new connections are answered.
	It("does not report a target as dead because of a silent connection", func() {
		d := newDetector()
		d.RequestProbe("db0")
		at := drive(d, second, 6*second, func(mono.Time) (ProbeOutcome, time.Duration) {
			return ProbeAnswered, 12 * time.Millisecond
		})
		Expect(at).To(BeZero())
	})

	// Only the path from this VM is cut: a witness in another data centre reaches the
	// target.
	It("reports a dead path while a witness reaches the target", func() {
		d := newDetector()
		d.ObserveProbe("db0", ProbeRefused, 2*second, 2*second)
		d.ObserveProbe("db0", ProbeRefused, 2*second+1, 2*second+1)
		d.ObserveWitness("db0", true, 2*second)
		Expect(d.Health("db0", 2*second+second/4)).To(Equal(PathDead))
		Expect(d.Health("db0", 3*second)).To(Equal(Dead))
	})
})
