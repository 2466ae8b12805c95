package membership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Callers see requests move to another pooler, with new connections and missing
// promises, and back. One answer is late: the VM was paused for a moment or its
// path was slow. The VM is well, so nothing may move until it stays silent.
var _ = Describe("One slow answer", func() {
	var table *membership.Table
	see := func(kind membership.Kind, ms int) {
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
		see(membership.Answer, 0)
	})

	It("moves no pooler, and neither do two that began close together", func() {
		see(membership.Silence, 100)
		see(membership.Silence, 300)
		status, _ := table.Status("x")
		Expect(status.State).To(Equal(membership.Suspect))
		Expect(pooler()).To(Equal(topology.VMID("x")))
	})

	It("counts for nothing once the VM has answered", func() {
		see(membership.Silence, 100)
		see(membership.Answer, 300)
		see(membership.Silence, 400)
		Expect(pooler()).To(Equal(topology.VMID("x")))
	})

	It("moves the pooler when the silence lasts, or nothing listens", func() {
		see(membership.Silence, 100)
		see(membership.Silence, 350)
		Expect(pooler()).To(BeEmpty())
		see(membership.Answer, 400)
		Expect(pooler()).To(Equal(topology.VMID("x")))
		see(membership.ConnectionRefused, 500)
		Expect(pooler()).To(BeEmpty())
	})
})
