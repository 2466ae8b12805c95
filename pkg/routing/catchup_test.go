package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var _ = Describe("A replica that is behind", func() {
	const replica, primary = topology.TargetID("r"), topology.TargetID("p")
	second := mono.Time(time.Second)

	// history returns the samples of a primary that writes a position every 10 ms,
	// sampled every 100 ms for a second, and of a replica that is 300 ms behind at
	// the end of that second.
	history := func() *routing.Freshness {
		f := routing.NewFreshness(10*time.Second, 10*time.Millisecond)
		for i := range uint64(11) {
			f.AddSample(routing.Sample{Begun: mono.Time(i) * 100 * ms, Position: at(1, 1+10*i)})
		}
		f.RecordPosition(replica, at(1, 71), second)
		return f
	}

	It("is expected to hold a floor once it has applied the log up to it", func() {
		f := history()
		Expect(f.CatchUp(replica, at(1, 91), second)).To(Equal(200 * time.Millisecond))
		Expect(f.CatchUp(replica, at(1, 91), second+150*ms)).To(Equal(50 * time.Millisecond))
		Expect(f.CatchUp(replica, at(1, 71), second)).To(BeZero())
		Expect(f.CatchUp("unknown", at(1, 91), second)).To(BeZero())
	})

	// With little traffic samples are rare, so positions between two samples are
	// interpolated.
	It("is given an interpolated catch-up time between samples", func() {
		f := history()
		f.RecordPosition(replica, at(1, 76), second)
		Expect(f.CatchUp(replica, at(1, 91), second)).To(Equal(150 * time.Millisecond))
	})

	// The replica receives nothing for a while. It is asked when it should have
	// caught up, and refuses. The estimate then restarts from the refusal.
	It("gets no shorter catch-up time while its position does not advance", func() {
		f := history()
		f.MarkRefused(replica, second+200*ms)
		Expect(f.CatchUp(replica, at(1, 91), second+200*ms)).To(Equal(200 * time.Millisecond))
	})

	choose := func(primaryWait, patience time.Duration) topology.TargetID {
		f := history()
		targets := []routing.Candidate{
			{Target: primary, Primary: true, Latency: primaryWait},
			{Target: replica, SameDC: true, Latency: 10 * time.Millisecond},
		}
		req := routing.Request{Staleness: 150 * time.Millisecond, MaxCatchUp: patience}
		e, err := routing.Choose(second, req, f, targets, rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		return e.Chosen
	}

	// Guards against all reads going to the primary when all replicas lag: it can't
	// serve them all. A read whose floor is soon reached waits for a replica instead,
	// as long as it can still be answered in time.
	It("is waited for while the primary would take longer", func() {
		Expect(choose(400*time.Millisecond, time.Second)).To(Equal(replica))
		Expect(choose(50*time.Millisecond, time.Second)).To(Equal(primary))
		Expect(choose(400*time.Millisecond, 100*time.Millisecond)).To(Equal(primary))
	})
})
