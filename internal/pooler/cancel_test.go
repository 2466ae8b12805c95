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

	// The caller gets its target's own answer to the cancel; a request that waits
	// behind it gets "not run" without ever taking a slot.
	It("ends what runs at the target and what waits for a slot", func() {
		b := newBench()
		b.limits.Slots = 1
		running := b.request("write", "select pg_sleep(30)")
		runs := start(b, running)
		time.Sleep(100 * time.Millisecond)
		queued := b.request("write", upsert)
		waits := start(b, queued)
		Eventually(func() bool { return cancel(b, queued) }).Should(BeTrue())
		var resp *peerpb.ExecuteResponse
		Eventually(waits).WithTimeout(3 * time.Second).Should(Receive(&resp))
		Expect(code(resp)).To(Equal(result.Cancelled))
		Expect(result.Ran(resp.Failure.Ran)).To(Equal(result.NotRun))
		Expect(runs).NotTo(Receive())
		Expect(cancel(b, running)).To(BeTrue())
		Eventually(runs).WithTimeout(3 * time.Second).Should(Receive(&resp))
		Expect(resp.Failure).To(BeNil())
		Expect(string(resp.Messages)).To(ContainSubstring("57014"))
		b.write(upsert)
	})

	It("knows no request that has ended", func() {
		b := newBench()
		r := b.request("write", upsert)
		Expect(b.execute(r).Failure).To(BeNil())
		Expect(cancel(b, r)).To(BeFalse())
	})
})
