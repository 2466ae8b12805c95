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
	// The write has committed but no replica has confirmed it when a restart hands the target
	// to another VM. This VM will not get the right back, so the caller must be told at once
	// that the outcome is unknown, while it still has time to ask by its request id. The
	// failure was that the answer came only after the replica wait of four seconds.
	It("ends when the target is handed to another VM", func() {
		b := newBench()
		var handedOver atomic.Bool
		b.rights = func(g topology.GroupID, term uint64) (authority.Right, *result.Error) {
			h := authority.NewHolder(topology.VM{ID: "vm-1", Incarnation: 1}, authority.Options{})
			if handedOver.Load() {
				return h.Right(g, term, mono.System{}.Now())
			}
			return authority.Right{Group: g, Term: term, WaitFor: []topology.TargetID{"no-replica"}}, nil
		}
		time.AfterFunc(100*time.Millisecond, func() { handedOver.Store(true) })
		begun := time.Now()
		resp := b.execute(b.request("replicated", upsert))
		Expect(code(resp)).To(Equal(result.OutcomeUnknown))
		Expect(result.Ran(resp.Failure.Ran)).To(Equal(result.Unknown))
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	})
})
