package retry_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/retry"
)

func TestRetry(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		NewWithT(t).Expect(seed.Value.Set("1")).To(Succeed())
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

const ms = mono.Time(time.Millisecond)

func drawFailure(t *rapid.T) *result.Error {
	e := result.New(rapid.SampledFrom(result.All()).Draw(t, "code"), "")
	e.Ran = rapid.SampledFrom([]result.Ran{result.NotRun, result.Unknown, result.Done}).Draw(t, "ran")
	e.RetryAfter = time.Duration(rapid.IntRange(0, 50).Draw(t, "after")) * time.Millisecond
	return e
}

var _ = Describe("Next", func() {
	// Any number of answers may be lost, in any order. A payment may then have been
	// recorded, so whatever the result code, an attempt that may have run must not
	// be retried, and the final answer must not claim that nothing ran.
	It("never makes a second possibly-run attempt of a class that may not run twice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			class := retry.Class{Name: "payment", Ledger: rapid.Bool().Draw(t, "ledger")}
			if !class.Ledger {
				class.Repeatable = rapid.Bool().Draw(t, "repeatable")
			}
			policy, budgets := retry.DefaultPolicy(), retry.NewBudgets(10, 20)
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			now, deadline := mono.Time(0), mono.Time(rapid.IntRange(1, 5000).Draw(t, "deadline"))*ms
			for attempt := 1; ; attempt++ {
				e := drawFailure(t)
				d := policy.Next(retry.FailedAttempt{Attempt: attempt, Err: e, Member: "m"}, class, budgets, now, deadline, random)
				if d.Err == nil {
					if e.Ran != result.NotRun {
						t.Fatalf("retried after %v", e)
					}
					if now = now.Add(d.After); now >= deadline {
						t.Fatalf("the next attempt begins %v after the deadline", now.Sub(deadline))
					}
					continue
				}
				if d.Err.Ran != e.Ran {
					t.Fatalf("%v became %v", e, d.Err)
				}
				return
			}
		})
	})

	DescribeTable("decides by the class and the failure", func(class retry.Class, code result.Code, again bool, final result.Code) {
		random := rand.New(rand.NewPCG(1, 1))
		d := retry.DefaultPolicy().Next(retry.FailedAttempt{Attempt: 1, Err: result.New(code, ""), Member: "m"}, class, retry.NewBudgets(1, 1), 0, 1000*ms, random)
		Expect(d.Err == nil).To(Equal(again))
		if !again {
			Expect(d.Err.Code).To(Equal(final))
		}
	},
		Entry("a write of a replaced term goes to the new primary", retry.Class{}, result.TermRefused, true, result.Code(0)),
		Entry("a silent target leaves a payment unknown", retry.Class{Ledger: true}, result.TargetSilent, false, result.OutcomeUnknown),
		Entry("a silent target leaves a repeatable class without a ledger unknown", retry.Class{Repeatable: true}, result.TargetSilent, false, result.OutcomeUnknown),
		Entry("the ledger makes a repeatable class idempotent", retry.Class{Repeatable: true, Ledger: true}, result.TargetSilent, true, result.Code(0)),
		Entry("a read is idempotent", retry.Class{Read: true}, result.TargetSilent, true, result.Code(0)),
		Entry("a write is not retried on a full queue", retry.Class{}, result.QueueFull, false, result.QueueFull),
		Entry("a read refused by a full queue tries another target", retry.Class{Read: true}, result.QueueFull, true, result.Code(0)),
		Entry("a write that committed but was not replicated keeps its code", retry.Class{}, result.NotReplicated, false, result.NotReplicated),
		Entry("a lost write is reported", retry.Class{Read: true}, result.WriteLost, false, result.WriteLost),
	)

	It("returns the final answer at once, with RetryAfter, when the deadline is too close or the budget is exhausted", func() {
		random := rand.New(rand.NewPCG(1, 1))
		budgets := retry.NewBudgets(1, 1)
		next := func(code result.Code, deadline mono.Time) retry.Decision {
			return retry.DefaultPolicy().Next(retry.FailedAttempt{Attempt: 1, Err: result.New(code, ""), Member: "m"}, retry.Class{}, budgets, 0, deadline, random)
		}
		Expect(next(result.ConnectionsInUse, 5*ms).Err).To(And(HaveField("Code", result.ConnectionsInUse), HaveField("RetryAfter", 5*time.Millisecond)))
		Expect(next(result.ConnectionsInUse, 1000*ms).Err).To(BeNil())
		Expect(next(result.ConnectionsInUse, 1000*ms).Err).To(And(HaveField("Code", result.BudgetExhausted), HaveField("RetryAfter", time.Second)))
		// Retries of attempts that reached no target don't count against the budget,
		// or a failover would exhaust it at its very start. The deadline still limits
		// them.
		for range 100 {
			Expect(next(result.NoRight, 1000*ms).Err).To(BeNil())
		}
		Expect(next(result.NoRight, 5*ms).Err).To(And(HaveField("Code", result.NoRight), HaveField("RetryAfter", 5*time.Millisecond)))
	})
})

var _ = Describe("A failover", func() {
	// The primary dies, and for two seconds every write attempt finds no primary.
	// Requests keep arriving, each with a deadline of five seconds. None may fail,
	// and they should not wait long once the new primary is available.
	It("delays a write whose deadline has not passed instead of failing it", func() {
		const gap = 2000 * ms
		random := rand.New(rand.NewPCG(1, 1))
		policy, budgets := retry.DefaultPolicy(), retry.NewBudgets(10, 20)
		var delays []time.Duration
		perInterval := map[mono.Time]int{}
		for arrived := mono.Time(0); arrived < gap; arrived += 2 * ms {
			now := arrived
			for attempt := 1; now < gap; attempt++ {
				o := retry.FailedAttempt{Attempt: attempt, Err: result.New(result.NoPrimary, ""), Member: "m"}
				d := policy.Next(o, retry.Class{Name: "confirm"}, budgets, now, arrived+5000*ms, random)
				Expect(d.Err).To(BeNil(), "attempt %d at %v of a request of %v", attempt, now.Sub(0), arrived.Sub(0))
				now = now.Add(d.After)
			}
			delays = append(delays, now.Sub(gap))
			perInterval[now/(10*ms)]++
		}
		slices.Sort(delays)
		most := 0
		for _, n := range perInterval {
			most = max(most, n)
		}
		GinkgoWriter.Printf("delay after the failover p50=%v p99=%v, at most %d of %d in 10 ms\n", delays[len(delays)/2], delays[len(delays)*99/100], most, len(delays))
	})
})

func BenchmarkNext(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	budgets, policy := retry.NewBudgets(1e9, 1e9), retry.DefaultPolicy()
	o := retry.FailedAttempt{Attempt: 3, Err: result.New(result.NoRight, ""), Member: "m"}
	b.ReportAllocs()
	for b.Loop() {
		policy.Next(o, retry.Class{Name: "c"}, budgets, 0, 1000*ms, random)
	}
}
