package pooler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

var _ = Describe("The floor of a read", func() {
	// The target is a former primary that ran past the end of its term. Its position
	// is greater than the floor, but the writes past the end of the term are lost, and
	// a reader would see them. The read must be refused, so that its caller goes on to
	// another target.
	It("is refused by a former primary whose history has diverged", func() {
		b := newBench()
		for range 5 {
			b.write("insert into quota (k, v) values ('a', '1') on conflict (k) do update set v = excluded.v")
		}
		b.row = &topology.Group{
			ID: theGroup, Version: 2, Term: 2, Primary: "t2",
			History: []topology.TermEnd{{Term: 1, End: position.Position{Term: 1, Index: 3}}},
		}
		read := b.request("read", "select v from quota where k = 'a'")
		read.Floor = &peerpb.Position{Term: 1, Index: 2}
		Expect(code(b.execute(read))).To(Equal(result.ReplicaBehind))
	})

	It("is served by a target that holds it", func() {
		b := newBench()
		at := b.write("insert into quota (k, v) values ('a', '1')").Position
		read := b.request("read", "select v from quota where k = 'a'")
		read.Floor = at
		Expect(b.execute(read).Failure).To(BeNil())
	})
})
