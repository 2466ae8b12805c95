package membership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a pooler that moves to another VM and back because of one late
// answer: each move costs new connections and missing promises. The VM was only
// paused or its network path slow, so nothing may move until it stays silent.
var _ = Describe("One slow answer", func() {
	var table *membership.Table
	observe := func(kind membership.Kind, ms int) {
		table.Observe(membership.Evidence{VM: vm("x", 1), Kind: kind, At: at(ms)})
	}
	pooler := func() topology.VMID {
		id, _ := table.View(nil).PoolerOf("target", "a")
		return id
	}

	BeforeEach(func() {
		leaving := vm("self", 1)
		leaving.Leaving = true
		table = membership.NewTable(leaving, at(0))
		observe(membership.Answer, 0)
	})

	It("does not move the pooler, nor do two attempts that began close together", func() {
		observe(membership.Silence, 100)
		observe(membership.Silence, 300)
		status, _ := table.Status("x")
		Expect(status.State).To(Equal(membership.Suspect))
		Expect(pooler()).To(Equal(topology.VMID("x")))
	})

	It("is disregarded once the VM has answered", func() {
		observe(membership.Silence, 100)
		observe(membership.Answer, 300)
		observe(membership.Silence, 400)
		Expect(pooler()).To(Equal(topology.VMID("x")))
	})

	It("moves the pooler when the silence lasts or the connection is refused", func() {
		observe(membership.Silence, 100)
		observe(membership.Silence, 350)
		Expect(pooler()).To(BeEmpty())
		observe(membership.Answer, 400)
		Expect(pooler()).To(Equal(topology.VMID("x")))
		observe(membership.ConnectionRefused, 500)
		Expect(pooler()).To(BeEmpty())
	})
})
