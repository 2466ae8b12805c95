package load

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The balancer", func() {
	now := time.Unix(0, 0)

	It("avoids the current proxy, and a proxy that is down until its time is over", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		b := newBalancer(3)
		b.markDown(1, now)
		for range 20 {
			Expect(b.pick(rng, 0, now)).To(Equal(2))
		}
		picked := map[int]bool{}
		for range 20 {
			picked[b.pick(rng, 0, now.Add(2*downTime))] = true
		}
		Expect(picked).To(Equal(map[int]bool{1: true, 2: true}))
	})

	It("picks a proxy that is down when all are, and the current one when there is no other", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		b := newBalancer(2)
		b.markDown(0, now)
		b.markDown(1, now)
		Expect(b.pick(rng, 0, now)).To(Equal(1))
		Expect(newBalancer(1).pick(rng, 0, now)).To(Equal(0))
	})
})
