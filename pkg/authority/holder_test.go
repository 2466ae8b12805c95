package authority

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// heldGroup is a holder of one group whose promoters all promise but the silent.
type heldGroup struct {
	h      *Holder
	silent map[topology.VMID]bool
	beats  int
	rows   []*topology.Group
}

func newHeldGroup(list ...topology.Promoter) *heldGroup {
	opts := DefaultOptions()
	opts.CheckInvariants = true
	h := NewHolder(topology.VM{ID: "vm0", Incarnation: 1}, opts)
	h.Serve(testGroup, "db0")
	row := &topology.Group{ID: testGroup, Version: 2, Term: 1, Primary: "db0", Promoters: list}
	h.ObserveRow(RowRead{Row: row, Began: second}, second)
	return &heldGroup{h: h, silent: map[topology.VMID]bool{}}
}

// run ticks from one instant to another, answers and commits.
func (x *heldGroup) run(from, to mono.Time) {
	for now := from; now < to; now = now.Add(step) {
		for _, a := range x.h.Tick(now) {
			x.carryOut(a, now)
		}
	}
}

func (x *heldGroup) carryOut(a Action, now mono.Time) {
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
	// A start: the VMs hear of each other one by one. Callers notice nothing, but
	// each step used to be a row and an unsettled list; a primary killed then was
	// replaced late or not at all. Now one row tells all of it.
	It("come in one row once the view of the VMs rests", func() {
		x := newHeldGroup(candidate(1, true), candidate(2, true))
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

	// A VM that knew itself alone listed itself for both replicas. If it dies with
	// the primary nobody may promote, so the first other VM is listed at once.
	It("don't wait while one VM is listed for more than it need be", func() {
		alone := candidate(1, true)
		alone.Replica = targetName(2)
		x := newHeldGroup(candidate(1, true), alone)
		x.run(second, second.Add(100*time.Millisecond))
		x.h.Candidates(testGroup, []topology.Promoter{candidate(1, true), candidate(2, true)})
		x.run(second.Add(100*time.Millisecond), second.Add(200*time.Millisecond))
		Expect(x.rows).NotTo(BeEmpty())
		Expect(countVMs(x.rows[0].Promoters)).To(Equal(2))
	})

	// A promoter falls silent while the view changes all the time. The right ends
	// with its last promise, so callers' writes would stop: this change can't wait.
	It("don't wait when the right would end", func() {
		x := newHeldGroup(candidate(1, true), candidate(2, true))
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
	// After a promotion no replica is synced, and callers' waiting writes are
	// refused until a heartbeat tells of one that is. So heartbeats hurry, and at
	// rest, with a synced entry or without any in sight, they don't.
	It("hurry only while a replica may become synced", func() {
		beats := func(list topology.Promoter, from, to time.Duration) int {
			x := newHeldGroup(list)
			x.run(second, second.Add(from))
			x.beats = 0
			x.run(second.Add(from), second.Add(to))
			return x.beats
		}
		Expect(beats(candidate(1, true), 0, time.Second)).To(BeNumerically("<=", 5))
		Expect(beats(candidate(1, false), 0, time.Second)).To(BeNumerically(">=", 15))
		Expect(beats(candidate(1, false), hurryFor, hurryFor+time.Second)).To(BeNumerically("<=", 5))
	})
})
