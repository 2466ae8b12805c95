package failover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var _ = Describe("Candidates", func() {
	// A data centre is lost, and one VM elsewhere pools the dead replica there and the living
	// one beside it. It is listed for the living one: for the dead one, no replica is synced
	// and callers' writes that wait for one take four seconds each.
	It("stand for the replica beside them first", func() {
		dead := topology.Promoter{VM: "vm-2", Replica: "a"}
		living := topology.Promoter{VM: "vm-2", Replica: "b"}
		other := topology.Promoter{VM: "vm-3", Replica: "c"}
		beside := func(p topology.Promoter) bool { return p != dead }
		Expect(onePerVM([]topology.Promoter{dead, living, other}, beside)).To(Equal([]topology.Promoter{living, other}))
		Expect(onePerVM([]topology.Promoter{dead, other}, beside)).To(ConsistOf(dead, other))
	})
})
