package failover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var _ = Describe("Candidates", func() {
	// A data centre is lost, and one VM elsewhere pools both the dead replica there and the
	// live one in its own data centre. It must be listed for the live one: with the dead one,
	// no replica is synced and writes that wait for a replica take four seconds each.
	It("are listed for the replica in their own data centre first", func() {
		dead := topology.Promoter{VM: "vm-2", Replica: "a"}
		living := topology.Promoter{VM: "vm-2", Replica: "b"}
		other := topology.Promoter{VM: "vm-3", Replica: "c"}
		sameDataCentre := func(p topology.Promoter) bool { return p != dead }
		Expect(onePerVM([]topology.Promoter{dead, living, other}, sameDataCentre)).To(Equal([]topology.Promoter{living, other}))
		Expect(onePerVM([]topology.Promoter{dead, other}, sameDataCentre)).To(ConsistOf(dead, other))
	})
})
