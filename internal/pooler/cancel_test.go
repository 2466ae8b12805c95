package pooler_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

var _ = Describe("Cancel", func() {
	start := func(b *bench, r *peerpb.ExecuteRequest) <-chan *peerpb.ExecuteResponse {
		answered := make(chan *peerpb.ExecuteResponse, 1)
		go func() { answered <- b.execute(r) }()
		return answered
	}
	cancel := func(b *bench, r *peerpb.ExecuteRequest) bool {
		resp, err := b.pooler.Cancel(context.Background(), &peerpb.CancelRequest{
			Entry: r.Entry, EntryIncarnation: r.EntryIncarnation, HopId: r.HopId,
		})
		Expect(err).NotTo(HaveOccurred())
		return resp.Found
	}

	// The caller of a running request gets the target's own answer to the cancel. A
	// request that waits behind it gets "not run" and never takes a slot.
	It("ends a running request and one that waits for a slot", func() {
		b := newBench()
		b.limits.Slots = 1
		running := b.request("write", "select pg_sleep(30)")
		runningAnswer := start(b, running)
		time.Sleep(100 * time.Millisecond)
		queued := b.request("write", upsert)
		queuedAnswer := start(b, queued)
		Eventually(func() bool { return cancel(b, queued) }).Should(BeTrue())
		var resp *peerpb.ExecuteResponse
		Eventually(queuedAnswer).WithTimeout(3 * time.Second).Should(Receive(&resp))
		Expect(code(resp)).To(Equal(result.Cancelled))
		Expect(result.Ran(resp.Failure.Ran)).To(Equal(result.NotRun))
		Expect(runningAnswer).NotTo(Receive())
		Expect(cancel(b, running)).To(BeTrue())
		Eventually(runningAnswer).WithTimeout(3 * time.Second).Should(Receive(&resp))
		Expect(resp.Failure).To(BeNil())
		Expect(string(resp.Messages)).To(ContainSubstring("57014"))
		b.write(upsert)
	})

	It("does not find a request that has ended", func() {
		b := newBench()
		r := b.request("write", upsert)
		Expect(b.execute(r).Failure).To(BeNil())
		Expect(cancel(b, r)).To(BeFalse())
	})
})
