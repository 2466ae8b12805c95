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

var _ = Describe("actionQueues", func() {
	// Guards against a replica that stays fenced and falls behind: its fence was slow,
	// the attempt was given up, and the command to follow again arrived first.
	It("runs the actions on a target in order and delays no other target", func() {
		q := newActionQueues()
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
		q.enqueue("db1", queuedAction{kind: "fence", do: func() {
			close(started)
			<-slow
			record("fence")()
		}})
		Eventually(started).Should(BeClosed())
		q.enqueue("db1", queuedAction{kind: "follow", do: record("follow, first")})
		q.enqueue("db1", queuedAction{kind: "follow", do: record("follow")})
		other := make(chan struct{})
		q.enqueue("db2", queuedAction{kind: "fence", do: func() { close(other) }})
		Eventually(other).Should(BeClosed())
		close(slow)
		Eventually(func() []string {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), done...)
		}).Should(Equal([]string{"fence", "follow"}))
		Eventually(func() int {
			q.mu.Lock()
			defer q.mu.Unlock()
			return len(q.busy) + len(q.waiting)
		}).Should(BeZero())
	})
})

var _ = Describe("logMatchesPrimary", func() {
	// An old primary returns with writes that no other target holds. Its position is
	// greater than the new primary's until they are cut off, and must not count.
	It("is false for a target that still holds entries of its own", func() {
		at := func(term uint64) pooler.TargetStatus {
			return pooler.TargetStatus{Term: 2, Primary: topology.TargetID("db1"), Position: position.Position{Term: term, Index: 9}}
		}
		Expect(logMatchesPrimary(at(1))).To(BeFalse())
		Expect(logMatchesPrimary(at(2))).To(BeTrue())
	})
})
