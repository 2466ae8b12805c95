package failover

import (
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover")
}

var _ = Describe("lanes", func() {
	// A replica stays fenced and falls behind: its fence was slow, the attempt was
	// given up, and the order to follow again was sent before the fence arrived.
	It("keeps the order of a database and holds up no other", func() {
		l := newLanes()
		var mu sync.Mutex
		var done []string
		record := func(s string) func() {
			return func() {
				mu.Lock()
				defer mu.Unlock()
				done = append(done, s)
			}
		}
		slow := make(chan struct{})
		started := make(chan struct{})
		l.run("db1", step{kind: "fence", do: func() {
			close(started)
			<-slow
			record("fence")()
		}})
		Eventually(started).Should(BeClosed())
		l.run("db1", step{kind: "follow", do: record("follow, first")})
		l.run("db1", step{kind: "follow", do: record("follow")})
		other := make(chan struct{})
		l.run("db2", step{kind: "fence", do: func() { close(other) }})
		Eventually(other).Should(BeClosed())
		close(slow)
		Eventually(func() []string {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), done...)
		}).Should(Equal([]string{"fence", "follow"}))
		Eventually(func() int {
			l.mu.Lock()
			defer l.mu.Unlock()
			return len(l.busy) + len(l.waiting)
		}).Should(BeZero())
	})
})

var _ = Describe("rewound", func() {
	// An old primary returns with writes that nobody else holds. Its position is
	// greater than the new primary's until they are cut off, and must not count.
	It("tells a target that still holds entries of its own", func() {
		at := func(term uint64) pooler.TargetStatus {
			return pooler.TargetStatus{Term: 2, Primary: topology.TargetID("db1"), Position: position.Position{Term: term, Index: 9}}
		}
		Expect(rewound(at(1))).To(BeFalse())
		Expect(rewound(at(2))).To(BeTrue())
	})
})
