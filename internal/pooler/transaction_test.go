package pooler_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const upsert = "insert into quota (k, v) values ('a', '1') on conflict (k) do update set v = excluded.v"

var _ = Describe("Transactions at the pooler", func() {
	// An entry abandons its first attempt to open a transaction and retries, but the first
	// attempt opens a transaction too. The caller's statements must go to the transaction
	// that the retry opened.
	It("keeps an abandoned attempt apart from its retry", func() {
		b := newBench()
		first, retry := b.request("write", "begin"), b.request("write", "begin")
		Expect(b.execute(retry).TxStatus).To(BeEquivalentTo('T'))
		Expect(b.execute(first).TxStatus).To(BeEquivalentTo('T'))
		next := b.request("write", upsert)
		next.Transaction, next.InTransaction = retry.Transaction, true
		Expect(b.execute(next).Failure).To(BeNil())
		b.release(first)
		commit := b.request("write", "commit")
		commit.Transaction, commit.InTransaction = retry.Transaction, true
		Expect(b.execute(commit).Failure).To(BeNil())
		Expect(b.pooler.Running(theTarget)).To(BeZero())
	})

	// The session ends while its statement runs. Its connection is closed and must be
	// subtracted from the open ones only once: otherwise the pool would open one connection
	// too many.
	It("counts the connection of an abandoned busy transaction as closed once", func() {
		b := newBench()
		b.limits.Connections = 1
		begin := b.request("write", "begin")
		Expect(b.execute(begin).Failure).To(BeNil())
		slow := b.request("write", "select pg_sleep(30)")
		slow.Transaction, slow.InTransaction = begin.Transaction, true
		answered := make(chan *peerpb.ExecuteResponse, 1)
		go func() { answered <- b.execute(slow) }()
		time.Sleep(50 * time.Millisecond)
		b.release(begin)
		var resp *peerpb.ExecuteResponse
		Eventually(answered).WithTimeout(3 * time.Second).Should(Receive(&resp))
		Expect(resp.Failure).NotTo(BeNil())
		held := b.request("write", "begin")
		Eventually(func() *peerpb.Failure { return b.execute(held).Failure }).Should(BeNil())
		Expect(code(b.execute(b.request("write", upsert)))).To(Equal(result.ConnectionsInUse))
	})

	// Open transactions hold all connections. The caller is refused at once with the result
	// "not run"; a commit frees a connection for the next request.
	It("refuses a request as not run while transactions hold all connections", func() {
		b := newBench()
		var begun []*peerpb.ExecuteRequest
		for range b.limits.Connections {
			r := b.request("write", "begin")
			Expect(b.execute(r).Failure).To(BeNil())
			begun = append(begun, r)
		}
		resp := b.execute(b.request("write", upsert))
		Expect(code(resp)).To(Equal(result.ConnectionsInUse))
		Expect(result.Ran(resp.Failure.Ran)).To(Equal(result.NotRun))
		Expect(resp.Failure.RetryAfterMs).NotTo(BeZero())
		commit := b.request("write", "commit")
		commit.Transaction, commit.InTransaction = begun[0].Transaction, true
		Expect(b.execute(commit).Failure).To(BeNil())
		b.write(upsert)
	})
})

func (b *bench) release(r *peerpb.ExecuteRequest) {
	_, err := b.pooler.Release(context.Background(), &peerpb.ReleaseRequest{
		Entry: r.Entry, EntryIncarnation: r.EntryIncarnation, Target: r.Target, Transaction: r.Transaction,
	})
	Expect(err).NotTo(HaveOccurred())
}
