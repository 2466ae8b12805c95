package pooler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

var _ = Describe("The queue of a target", func() {
	start := func(b *bench, r *peerpb.ExecuteRequest) <-chan *peerpb.ExecuteResponse {
		answered := make(chan *peerpb.ExecuteResponse, 1)
		go func() { answered <- b.execute(r) }()
		return answered
	}

	It("is reported as of the time when the answer is sent", func() {
		b := newBench()
		b.limits.Slots = 1
		first := start(b, b.request("write", "select pg_sleep(0.5)"))
		time.Sleep(100 * time.Millisecond)
		for range 3 {
			start(b, b.request("write", "select pg_sleep(0.3)"))
		}
		var resp *peerpb.ExecuteResponse
		Eventually(first).WithTimeout(5 * time.Second).Should(Receive(&resp))
		Expect(resp.QueueLength).To(BeNumerically(">=", 2))
	})

	// The caller is refused as soon as its request can no longer run by its deadline. The
	// refusal says that the request has not run and when to retry.
	It("refuses a request that can't run by its deadline", func() {
		b := newBench()
		b.limits.Slots = 1
		start(b, b.request("write", "select pg_sleep(2)"))
		time.Sleep(100 * time.Millisecond)
		late := b.request("write", upsert)
		late.DeadlineMs = 200
		begun := time.Now()
		resp := b.execute(late)
		Expect(code(resp)).To(Equal(result.DeadlineInQueue))
		Expect(result.Ran(resp.Failure.Ran)).To(Equal(result.NotRun))
		Expect(resp.Failure.RetryAfterMs).NotTo(BeZero())
		Expect(time.Since(begun)).To(BeNumerically("<", 1500*time.Millisecond))
	})
})
