package membership_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// A fixed seed makes every run reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

func vm(id string, incarnation uint64) topology.VM {
	return topology.VM{
		ID: topology.VMID(id), DataCentre: "a", Region: "r",
		Incarnation: topology.Incarnation(incarnation),
	}
}

func at(ms int) mono.Time { return mono.Time(0).Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("Table", func() {
	var table *membership.Table
	observe := func(kind membership.Kind, incarnation uint64, ms int) membership.State {
		GinkgoHelper()
		table.Observe(membership.Evidence{VM: vm("x", incarnation), Kind: kind, At: at(ms)})
		status, ok := table.Status("x")
		Expect(ok).To(BeTrue())
		return status.State
	}

	BeforeEach(func() { table = membership.NewTable(vm("self", 1), at(0)) })

	It("keeps a VM that answers live although the list lacks it", func() {
		Expect(observe(membership.Answer, 1, 100)).To(Equal(membership.Live))
		table.MergeList(nil, at(200))
		Expect(observe(membership.Refusal, 1, 250)).To(Equal(membership.Live))
	})

	// The list still contains a VM that died. Without this check, callers routed to
	// it would hang until their deadline for as long as the list lags.
	It("marks a listed VM that stays silent as suspect, then as dead until it answers", func() {
		table.MergeList([]topology.VM{vm("x", 1)}, at(0))
		Expect(observe(membership.Silence, 1, 100)).To(Equal(membership.Suspect))
		Expect(observe(membership.Silence, 1, 1500)).To(Equal(membership.Suspect))
		Expect(observe(membership.Silence, 1, 1600)).To(Equal(membership.Dead))
		table.MergeList([]topology.VM{vm("x", 1)}, at(1700))
		status, _ := table.Status("x")
		Expect(status).To(Equal(membership.Status{VM: vm("x", 1), State: membership.Dead, Since: at(1600)}))
		Expect(observe(membership.Heartbeat, 1, 1800)).To(Equal(membership.Live))
	})

	It("marks a VM dead sooner when it refuses connections, and ignores failed attempts from before its last sign of life", func() {
		Expect(observe(membership.Heartbeat, 1, 100)).To(Equal(membership.Live))
		Expect(observe(membership.Silence, 1, 50)).To(Equal(membership.Live))
		Expect(observe(membership.ConnectionRefused, 1, 200)).To(Equal(membership.Suspect))
		Expect(observe(membership.ConnectionRefused, 1, 500)).To(Equal(membership.Dead))
	})

	It("recognizes a restart by the higher incarnation and ignores late messages of the old one", func() {
		table.Observe(membership.Evidence{VM: vm("x", 1), Kind: membership.Answer, At: at(0)})
		observe(membership.ConnectionRefused, 1, 10)
		Expect(observe(membership.ConnectionRefused, 1, 400)).To(Equal(membership.Dead))
		Expect(observe(membership.Heartbeat, 0, 500)).To(Equal(membership.Dead))
		Expect(observe(membership.Heartbeat, 2, 600)).To(Equal(membership.Live))
	})

	It("suspects an unlisted VM whose last sign of life is old, and forgets one known only from the list", func() {
		observe(membership.Answer, 1, 0)
		table.MergeList([]topology.VM{vm("y", 1)}, at(0))
		late := at(0).Add(membership.EvidenceFresh)
		table.MergeList(nil, late)
		x, _ := table.Status("x")
		Expect(x.State).To(Equal(membership.Suspect))
		y, _ := table.Status("y")
		Expect(y.State).To(Equal(membership.Dead))
		table.MergeList(nil, late.Add(membership.ForgetAfter))
		_, ok := table.Status("y")
		Expect(ok).To(BeFalse())
	})

	// The list still shows the old process as leaving after its VM has started a
	// new one. The new process would get no work until the list has caught up.
	It("does not apply an old incarnation's leaving mark to the new one", func() {
		observe(membership.Heartbeat, 2, 0)
		old := vm("x", 1)
		old.Leaving = true
		table.MergeList([]topology.VM{old}, at(10))
		Expect(observe(membership.Heartbeat, 2, 20)).To(Equal(membership.Live))
	})

	It("keeps a leaving VM that no longer answers in state Leaving until it is dead", func() {
		leaving := vm("x", 1)
		leaving.Leaving = true
		table.Observe(membership.Evidence{VM: leaving, Kind: membership.Heartbeat, At: at(0)})
		Expect(observe(membership.Silence, 1, 10)).To(Equal(membership.Leaving))
		Expect(observe(membership.Silence, 1, 1510)).To(Equal(membership.Dead))
		Expect(observe(membership.Answer, 1, 1600)).To(Equal(membership.Leaving))
	})

	It("ignores evidence that its own VM is dead, but takes its leaving mark from the list", func() {
		table.Observe(membership.Evidence{VM: vm("self", 1), Kind: membership.Silence, At: at(10)})
		table.MergeList(nil, at(60_000))
		self, _ := table.Status("self")
		Expect(self.State).To(Equal(membership.Live))
		marked := vm("self", 1)
		marked.Leaving = true
		table.MergeList([]topology.VM{marked}, at(70_000))
		self, _ = table.Status("self")
		Expect(self.State).To(Equal(membership.Leaving))
	})

	// Evidence, old and new lists, restarts and leaving marks arrive in any order.
	// A VM that announced it is leaving must get no work again, an old process must
	// not be taken for a new one, and a VM that has just answered must not count as
	// suspect or dead.
	It("keeps its invariants under any sequence of messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := membership.NewTable(vm("self", 1), at(0))
			var now mono.Time
			var before membership.Status
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
				x := vm("x", rapid.Uint64Range(1, 4).Draw(t, "incarnation"))
				x.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				ev := membership.Evidence{VM: x, At: now, Kind: membership.Kind(rapid.IntRange(1, 6).Draw(t, "kind"))}
				fresh := x.Incarnation >= before.VM.Incarnation && ev.Kind <= membership.Heartbeat
				if ev.Kind > membership.Silence {
					list := []topology.VM{x}
					table.MergeList(list[:rapid.IntRange(0, 1).Draw(t, "listed")], now)
				} else {
					table.Observe(ev)
				}
				after, known := table.Status("x")
				if !known {
					before = membership.Status{}
					continue
				}
				checkStep(t, before, after, fresh)
				before = after
			}
		})
	})
})

func checkStep(t *rapid.T, before, after membership.Status, fresh bool) {
	if after.VM.Incarnation < before.VM.Incarnation {
		t.Fatalf("incarnation went back: %+v to %+v", before, after)
	}
	same := after.VM.Incarnation == before.VM.Incarnation
	if same && before.VM.Leaving && (!after.VM.Leaving || after.State == membership.Live) {
		t.Fatalf("no longer leaving: %+v to %+v", before, after)
	}
	if fresh && after.State != membership.Live && after.State != membership.Leaving {
		t.Fatalf("answered, but is %+v", after)
	}
	if same && before.State == after.State && before.Since != after.Since {
		t.Fatalf("Since changed although the state did not: %+v to %+v", before, after)
	}
}

var _ = Describe("Stop", func() {
	It("repeats each action until its effect shows, and exits when no work remains and MinNotice has passed", func() {
		s := membership.NewStop(at(0), time.Minute)
		load := membership.Load{IdleSessions: 3, Running: 1, Poolers: 2, Promoters: 1}
		Expect(s.Tick(at(0), load)).To(Equal([]membership.Action{
			membership.RefuseNewSessions, membership.Announce, membership.AskIdleToReconnect,
			membership.HandOverPoolers, membership.HandOverPromoters,
		}))
		load = membership.Load{Announced: true, Running: 1}
		Expect(s.Tick(at(5000), load)).To(Equal([]membership.Action{membership.RefuseNewSessions}))
		load.Running = 0
		Expect(s.Tick(at(6000), load)).To(Equal([]membership.Action{membership.Exit}))
		Expect(s.Remaining()).To(Equal(load))
	})

	It("does not exit before MinNotice has passed, and exits after the drain time with the remaining load", func() {
		s := membership.NewStop(at(0), 10*time.Second)
		Expect(s.Tick(at(100), membership.Load{Announced: true})).NotTo(ContainElement(membership.Exit))
		stuck := membership.Load{Announced: true, Running: 2}
		Expect(s.Tick(at(9999), stuck)).NotTo(ContainElement(membership.Exit))
		Expect(s.Tick(at(10_000), stuck)).To(Equal([]membership.Action{membership.Exit}))
		Expect(s.Remaining().Running).To(Equal(2))
	})
})
