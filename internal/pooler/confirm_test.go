package pooler_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var _ = Describe("A write that waits for replicas", func() {
	// The caller waits for its write. The write has committed and no replica has confirmed it
	// yet, when a restart hands the target to another VM. This VM will never have the right
	// again, so the caller must hear at once that the outcome is unknown, while it has the
	// time to ask by its request id; it used to hear so after four seconds.
	It("ends when the target is handed to another VM", func() {
		b := newBench()
		var handed atomic.Bool
		b.rights = func(g topology.GroupID, term uint64) (authority.Right, *result.Error) {
			h := authority.NewHolder(topology.VM{ID: "vm-1", Incarnation: 1}, authority.Options{})
			if handed.Load() {
				return h.Right(g, term, mono.System{}.Now())
			}
			return authority.Right{Group: g, Term: term, WaitFor: []topology.TargetID{"no-replica"}}, nil
		}
		time.AfterFunc(100*time.Millisecond, func() { handed.Store(true) })
		begun := time.Now()
		resp := b.execute(b.request("replicated", upsert))
		Expect(code(resp)).To(Equal(result.OutcomeUnknown))
		Expect(result.Ran(resp.Failure.Ran)).To(Equal(result.Unknown))
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	})
})
