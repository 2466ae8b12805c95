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

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
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
	see := func(kind membership.Kind, incarnation uint64, ms int) membership.State {
		GinkgoHelper()
		table.Observe(membership.Evidence{VM: vm("x", incarnation), Kind: kind, At: at(ms)})
		status, ok := table.Status("x")
		Expect(ok).To(BeTrue())
		return status.State
	}

	BeforeEach(func() { table = membership.NewTable(vm("self", 1), at(0)) })

	It("has a VM that answers live, although the list lacks it", func() {
		Expect(see(membership.Answer, 1, 100)).To(Equal(membership.Live))
		table.MergeList(nil, at(200))
		Expect(see(membership.Refusal, 1, 250)).To(Equal(membership.Live))
	})

	// The list still has a VM that died. Callers that were sent to it would hang
	// until their deadline, each again, for as long as the list lags.
	It("takes a listed VM that stays silent for suspect, then dead, and keeps it so", func() {
		table.MergeList([]topology.VM{vm("x", 1)}, at(0))
		Expect(see(membership.Silence, 1, 100)).To(Equal(membership.Suspect))
		Expect(see(membership.Silence, 1, 1500)).To(Equal(membership.Suspect))
		Expect(see(membership.Silence, 1, 1600)).To(Equal(membership.Dead))
		table.MergeList([]topology.VM{vm("x", 1)}, at(1700))
		status, _ := table.Status("x")
		Expect(status).To(Equal(membership.Status{VM: vm("x", 1), State: membership.Dead, Since: at(1600)}))
		Expect(see(membership.Heartbeat, 1, 1800)).To(Equal(membership.Live))
	})

	It("is quicker when connections are refused, and does not count an attempt from before the last sign of life", func() {
		Expect(see(membership.Heartbeat, 1, 100)).To(Equal(membership.Live))
		Expect(see(membership.Silence, 1, 50)).To(Equal(membership.Live))
		Expect(see(membership.ConnectionRefused, 1, 200)).To(Equal(membership.Suspect))
		Expect(see(membership.ConnectionRefused, 1, 500)).To(Equal(membership.Dead))
	})

	It("follows a restart by its higher incarnation and no late message of the old one", func() {
		table.Observe(membership.Evidence{VM: vm("x", 1), Kind: membership.Answer, At: at(0)})
		see(membership.ConnectionRefused, 1, 10)
		Expect(see(membership.ConnectionRefused, 1, 400)).To(Equal(membership.Dead))
		Expect(see(membership.Heartbeat, 0, 500)).To(Equal(membership.Dead))
		Expect(see(membership.Heartbeat, 2, 600)).To(Equal(membership.Live))
	})

	It("asks after a VM that left the list long after its last sign of life, and forgets one known by the list alone", func() {
		see(membership.Answer, 1, 0)
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

	// The list still shows the old process as leaving when its VM has started a
	// new one. The new one would get no work until the list has caught up.
	It("does not hold an old incarnation's leaving against the new one", func() {
		see(membership.Heartbeat, 2, 0)
		old := vm("x", 1)
		old.Leaving = true
		table.MergeList([]topology.VM{old}, at(10))
		Expect(see(membership.Heartbeat, 2, 20)).To(Equal(membership.Live))
	})

	It("has a leaving VM that no longer answers leaving until it is dead", func() {
		leaving := vm("x", 1)
		leaving.Leaving = true
		table.Observe(membership.Evidence{VM: leaving, Kind: membership.Heartbeat, At: at(0)})
		Expect(see(membership.Silence, 1, 10)).To(Equal(membership.Leaving))
		Expect(see(membership.Silence, 1, 1510)).To(Equal(membership.Dead))
		Expect(see(membership.Answer, 1, 1600)).To(Equal(membership.Leaving))
	})

	It("believes nobody that itself is dead, but the list that it is to leave", func() {
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

	// Evidence, lists old and new, restarts and leaving marks come in any order.
	// Work must not come back to a VM that said it leaves, an old process must not
	// pass for a new one, and who has just answered must count as there.
	It("holds its promises under any sequence of messages", func() {
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
		t.Fatalf("same state, other beginning: %+v to %+v", before, after)
	}
}

var _ = Describe("Stop", func() {
	It("asks for each thing until it shows, and leaves when nothing is held and peers had time to hear", func() {
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
		Expect(s.Left()).To(Equal(load))
	})

	It("does not exit before peers had time to hear, and exits at the bound with what is left", func() {
		s := membership.NewStop(at(0), 10*time.Second)
		Expect(s.Tick(at(100), membership.Load{Announced: true})).NotTo(ContainElement(membership.Exit))
		stuck := membership.Load{Announced: true, Running: 2}
		Expect(s.Tick(at(9999), stuck)).NotTo(ContainElement(membership.Exit))
		Expect(s.Tick(at(10_000), stuck)).To(Equal([]membership.Action{membership.Exit}))
		Expect(s.Left().Running).To(Equal(2))
	})
})
