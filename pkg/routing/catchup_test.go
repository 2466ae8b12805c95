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

	// history is a primary that writes a position each 10 ms, sampled each 100 ms for a second, and a
	// replica that was seen at its end 300 ms behind.
	history := func() *routing.Freshness {
		f := routing.NewFreshness(10*time.Second, 10*time.Millisecond)
		for i := range uint64(11) {
			f.AddSample(routing.Sample{Begun: mono.Time(i) * 100 * ms, Position: at(1, 1+10*i)})
		}
		f.Learn(replica, at(1, 71), second)
		return f
	}

	It("is expected to hold a floor as soon as it has applied what lies between", func() {
		f := history()
		Expect(f.CatchUp(replica, at(1, 91), second)).To(Equal(200 * time.Millisecond))
		Expect(f.CatchUp(replica, at(1, 91), second+150*ms)).To(Equal(50 * time.Millisecond))
		Expect(f.CatchUp(replica, at(1, 71), second)).To(BeZero())
		Expect(f.CatchUp("unknown", at(1, 91), second)).To(BeZero())
	})

	// Samples are rare where an entry has little traffic: what lies between two of them counts.
	It("is judged between samples", func() {
		f := history()
		f.Learn(replica, at(1, 76), second)
		Expect(f.CatchUp(replica, at(1, 91), second)).To(Equal(150 * time.Millisecond))
	})

	// It receives nothing for a while. Expected to have caught up, it is asked, refuses, and is
	// expected that much later.
	It("is not expected sooner by standing still", func() {
		f := history()
		f.Refused(replica, second+200*ms)
		Expect(f.CatchUp(replica, at(1, 91), second+200*ms)).To(Equal(200 * time.Millisecond))
	})

	choose := func(primaryWait, patience time.Duration) topology.TargetID {
		f := history()
		targets := []routing.Candidate{
			{Target: primary, Primary: true, Latency: primaryWait},
			{Target: replica, SameDC: true, Latency: 10 * time.Millisecond},
		}
		req := routing.Request{Staleness: 150 * time.Millisecond, Patience: patience}
		e, err := routing.Choose(second, req, f, targets, rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		return e.Chosen
	}

	// All replicas lag, and all reads go to the primary, which can't serve them all. A read that
	// lacks little waits for a replica instead, as long as it can still be answered in time.
	It("is waited for while the primary would take longer", func() {
		Expect(choose(400*time.Millisecond, time.Second)).To(Equal(replica))
		Expect(choose(50*time.Millisecond, time.Second)).To(Equal(primary))
		Expect(choose(400*time.Millisecond, 100*time.Millisecond)).To(Equal(primary))
	})
})
