package authority

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// holderFixture is a holder of one group. All of its promoters grant promises, except
// for the silent ones.
type holderFixture struct {
	h      *Holder
	silent map[topology.VMID]bool
	beats  int
	rows   []*topology.Group
}

func newHolderFixture(list ...topology.Promoter) *holderFixture {
	opts := DefaultOptions()
	opts.CheckInvariants = true
	h := NewHolder(topology.VM{ID: "vm0", Incarnation: 1}, opts)
	h.Serve(testGroup, "db0")
	row := &topology.Group{ID: testGroup, Version: 2, Term: 1, Primary: "db0", Promoters: list}
	h.ObserveRow(RowRead{Row: row, Began: second}, second)
	return &holderFixture{h: h, silent: map[topology.VMID]bool{}}
}

// run ticks from one time to another and carries out the actions.
func (x *holderFixture) run(from, to mono.Time) {
	for now := from; now < to; now = now.Add(step) {
		for _, a := range x.h.Tick(now) {
			x.carryOut(a, now)
		}
	}
}

func (x *holderFixture) carryOut(a Action, now mono.Time) {
	switch a := a.(type) {
	case SendHeartbeat:
		x.beats++
		if x.silent[a.To] {
			return
		}
		resp := HeartbeatResponse{Sequence: a.Request.Sequence, Incarnation: 1}
		for _, r := range a.Request.Promises {
			resp.Promises = append(resp.Promises, Promise{Group: r.Group, Version: r.Version, Granted: true})
		}
		x.h.ObserveHeartbeat(a.To, resp, now)
	case CommitRow:
		x.rows = append(x.rows, a.Row)
		x.h.ObserveCommit(CommitResult{Group: a.Row.ID, ChangeID: a.Row.ChangeID, Status: Committed}, now)
		x.h.ObserveRow(RowRead{Row: a.Row, Began: now}, now)
	}
}

func candidate(i int, synced bool) topology.Promoter {
	return topology.Promoter{VM: vmName(i), Incarnation: 1, Replica: targetName(i), Synced: synced}
}

var _ = Describe("list changes", func() {
	// At startup the VMs discover each other one by one. If each discovery caused a new
	// row and an unsettled list, a primary killed at that time was replaced late or not
	// at all. The changes must be combined in one row.
	It("are combined in one row once the candidates are stable", func() {
		x := newHolderFixture(candidate(1, true), candidate(2, true))
		x.run(second, second.Add(100*time.Millisecond))
		x.h.Candidates(testGroup, []topology.Promoter{candidate(1, true), candidate(3, false)})
		x.run(second.Add(100*time.Millisecond), second.Add(400*time.Millisecond))
		x.h.Candidates(testGroup, []topology.Promoter{candidate(4, false), candidate(3, false)})
		x.run(second.Add(400*time.Millisecond), second.Add(850*time.Millisecond))
		Expect(x.rows).To(BeEmpty())
		x.run(second.Add(850*time.Millisecond), second.Add(1200*time.Millisecond))
		Expect(x.rows).NotTo(BeEmpty())
		Expect(x.rows[0].Promoters).To(ConsistOf(HaveField("VM", topology.VMID("vm3")), HaveField("VM", topology.VMID("vm4"))))
	})

	// A VM that knew only itself listed itself for both replicas. If it dies together
	// with the primary, no replica can be promoted, so another VM is listed at once.
	It("don't wait while one VM is listed for several replicas", func() {
		alone := candidate(1, true)
		alone.Replica = targetName(2)
		x := newHolderFixture(candidate(1, true), alone)
		x.run(second, second.Add(100*time.Millisecond))
		x.h.Candidates(testGroup, []topology.Promoter{candidate(1, true), candidate(2, true)})
		x.run(second.Add(100*time.Millisecond), second.Add(200*time.Millisecond))
		Expect(x.rows).NotTo(BeEmpty())
		Expect(countVMs(x.rows[0].Promoters)).To(Equal(2))
	})

	// A promoter falls silent while the candidates keep changing. The right would end
	// with its last promise and callers' writes would stop, so this change is urgent.
	It("don't wait when the right would end", func() {
		x := newHolderFixture(candidate(1, true), candidate(2, true))
		x.silent["vm2"] = true
		last := 1400 * time.Millisecond
		for at := time.Duration(0); at < last; at += 100 * time.Millisecond {
			flapping := []topology.Promoter{candidate(1, true), candidate(3+int(at/(100*time.Millisecond))%2, false)}
			x.h.Candidates(testGroup, flapping)
			x.run(second.Add(at), second.Add(at+100*time.Millisecond))
		}
		Expect(x.rows).NotTo(BeEmpty())
		Expect(x.h.Row(testGroup).Promoters).NotTo(ContainElement(HaveField("VM", topology.VMID("vm2"))))
	})
})

var _ = Describe("heartbeats", func() {
	// After a promotion no replica is synced, and callers' writes that wait for one are
	// refused until an answer to a heartbeat shows that one has caught up. Heartbeats are
	// sent at the shorter interval then, but not with a synced entry or when no replica
	// has caught up for a while.
	It("are more frequent only while a replica may become synced", func() {
		beats := func(list topology.Promoter, from, to time.Duration) int {
			x := newHolderFixture(list)
			x.run(second, second.Add(from))
			x.beats = 0
			x.run(second.Add(from), second.Add(to))
			return x.beats
		}
		Expect(beats(candidate(1, true), 0, time.Second)).To(BeNumerically("<=", 5))
		Expect(beats(candidate(1, false), 0, time.Second)).To(BeNumerically(">=", 15))
		Expect(beats(candidate(1, false), fastHeartbeatPeriod, fastHeartbeatPeriod+time.Second)).To(BeNumerically("<=", 5))
	})
})
