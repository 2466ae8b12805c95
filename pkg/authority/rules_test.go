package authority

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var _ = Describe("Promoter", func() {
	row := func() *topology.Group {
		return &topology.Group{
			ID: testGroup, Version: 3, Term: 2, Primary: "db0",
			Promoters: []topology.Promoter{{VM: "vm1", Incarnation: 1, Replica: "db1", Synced: true}},
		}
	}
	newPromoter := func() *Promoter {
		opts := DefaultOptions()
		opts.CheckInvariants = true
		p := NewPromoter(topology.VM{ID: "vm1", Incarnation: 1}, opts, rand.New(rand.NewPCG(1, 1)), second)
		p.SetReplica(testGroup, "db1")
		p.ObserveRow(RowRead{Row: row()}, second)
		return p
	}
	beat := func(p *Promoter, health Health, now mono.Time) {
		p.HandleHeartbeat(HeartbeatRequest{VM: "vm0", Promises: []PromiseRequest{{Group: testGroup, Version: 3, Health: health}}}, now)
	}

	// A data centre is lost. This VM answers for the replica there, which is dead, and also
	// pools the group's live replica. It must report the dead one as unreachable: if it
	// reported the status of the live one, the holder would keep the dead one synced, and
	// each of a caller's writes would wait four seconds for it.
	It("reports the status of its own replica only", func() {
		p := newPromoter()
		promise := func() Promise {
			req := HeartbeatRequest{VM: "vm0", Promises: []PromiseRequest{{Group: testGroup, Version: 3, Health: Healthy}}}
			return p.HandleHeartbeat(req, 2*second).Promises[0]
		}
		living := ReplicaStatus{Reachable: true, Term: 2, Primary: "db0", Position: position.Position{Term: 2, Index: 9}}
		p.ObserveReplica(testGroup, "db1", ReplicaStatus{})
		p.ObserveReplica(testGroup, "db2", living)
		Expect(promise().ReplicaReachable).To(BeFalse())
		p.ObserveReplica(testGroup, "db1", living)
		Expect(promise().ReplicaReachable).To(BeTrue())
		p.SetReplica(testGroup, "db2")
		Expect(promise().ReplicaReachable).To(BeFalse())
	})

	// The holder reports its primary as healthy, but this VM can't reach the primary. The
	// failure is on the path, and callers elsewhere are served.
	It("suspects no primary that its holder reports as healthy", func() {
		p := newPromoter()
		beat(p, Healthy, 2*second)
		Expect(p.AssessPrimary(testGroup, Dead, 2*second+1)).To(BeFalse())
	})

	// The holder is silent but the target answers this VM: the pooler's VM died, and
	// another pooler takes over without a promotion.
	It("suspects no primary that answers while its holder is silent", func() {
		p := newPromoter()
		beat(p, Healthy, 2*second)
		Expect(p.AssessPrimary(testGroup, Healthy, 4*second)).To(BeFalse())
		Expect(p.AssessPrimary(testGroup, Dead, 4*second)).To(BeTrue())
	})

	// Over a flapping link, each promotion interrupts the callers. The third promotion
	// within the window is delayed, and later ones are delayed longer.
	It("delays the promotions of a flapping group", func() {
		p := newPromoter()
		s := p.promoterGroup(testGroup)
		s.promotions = []mono.Time{10 * second}
		Expect(p.nextPromotionAt(s, 11*second)).To(BeZero())
		s.promotions = []mono.Time{10 * second, 12 * second}
		Expect(p.nextPromotionAt(s, 13*second)).To(Equal(14 * second))
		s.promotions = []mono.Time{10 * second, 12 * second, 15 * second}
		Expect(p.nextPromotionAt(s, 16*second)).To(Equal(19 * second))
		Expect(p.nextPromotionAt(s, 100*second)).To(BeZero())
	})

	// The suspicion is wrong and the platform is down. Callers are not affected, since no
	// promise is withdrawn before the row has been read.
	It("keeps promising when the row can't be read", func() {
		p := newPromoter()
		p.Suspect(testGroup, true, 2*second)
		for now := 2 * second; now < 8*second; now = now.Add(step) {
			p.Tick(now)
		}
		resp := p.HandleHeartbeat(HeartbeatRequest{VM: "vm0", Promises: []PromiseRequest{{Group: testGroup, Version: 3}}}, 8*second)
		Expect(resp.Promises[0].Granted).To(BeTrue())
	})

	It("panics with InvariantBroken when a term goes back", func() {
		p := newPromoter()
		old := row()
		old.Version, old.Term = 4, 1
		Expect(func() { p.ObserveRow(RowRead{Row: old}, 2*second) }).To(PanicWith(HaveField("Code", BeEquivalentTo(1901))))
	})
})

var _ = Describe("Holder", func() {
	// The VM releases its right while it does not pool the group, and pools it again
	// before a promise that was given earlier arrives. That promise must not count.
	It("remembers a release when it serves the group again", func() {
		h := NewHolder(topology.VM{ID: "vm0", Incarnation: 1}, DefaultOptions())
		g := &topology.Group{ID: testGroup, Version: 1, Term: 1, Primary: "db0", Promoters: []topology.Promoter{{VM: "vm1", Incarnation: 1, Replica: "db1"}}}
		promise := func(now mono.Time) {
			for _, a := range h.Tick(now) {
				if b, ok := a.(SendHeartbeat); ok {
					resp := HeartbeatResponse{Sequence: b.Request.Sequence, Incarnation: 1, Promises: []Promise{{Group: testGroup, Version: 1, Granted: true}}}
					h.ObserveHeartbeat("vm1", resp, now)
				}
			}
		}
		serve := func(now mono.Time) {
			h.Serve(testGroup, "db0")
			h.ObserveRow(RowRead{Row: g, Began: now}, now)
		}
		serve(second)
		promise(second)
		_, err := h.Right(testGroup, 1, second+1)
		Expect(err).To(BeNil())
		h.Drop(testGroup)
		h.HandleRelease(ReleaseRightRequest{Group: testGroup, Version: 1}, 2*second)
		serve(2 * second)
		promise(2 * second)
		_, err = h.Right(testGroup, 1, 2*second+1)
		Expect(err).NotTo(BeNil())
	})

	// The platform is down for MaxOutage. Callers' writes stop at that time and not
	// before: after it other VMs may assume that the rights under the old list ended.
	It("stops when its row was not confirmed for MaxOutage", func() {
		opts := DefaultOptions()
		h := NewHolder(topology.VM{ID: "vm0", Incarnation: 1}, opts)
		g := &topology.Group{ID: testGroup, Version: 1, Term: 1, Primary: "db0", Promoters: []topology.Promoter{{VM: "vm1", Incarnation: 1, Replica: "db1"}}}
		h.Serve(testGroup, "db0")
		h.ObserveRow(RowRead{Row: g, Began: second}, second)
		promised := func(now mono.Time) *result.Error {
			h.heartbeatSent = false
			for _, a := range h.Tick(now) {
				if b, ok := a.(SendHeartbeat); ok {
					resp := HeartbeatResponse{Sequence: b.Request.Sequence, Incarnation: 1, Promises: []Promise{{Group: testGroup, Version: 1, Granted: true}}}
					h.ObserveHeartbeat("vm1", resp, now)
				}
			}
			_, err := h.Right(testGroup, 1, now)
			return err
		}
		end := second.Add(opts.MaxOutage)
		Expect(promised(end - 1)).To(BeNil())
		Expect(promised(end)).NotTo(BeNil())

		s := newSettlement()
		next := ChangeList(g, []topology.Promoter{{VM: "vm2", Incarnation: 1, Replica: "db2"}}, "x")
		s.note(next, second)
		_, ok := s.provenAt(&opts, 1, second.Add(opts.MaxOutage))
		Expect(ok).To(BeFalse())
		_, ok = s.provenAt(&opts, 1, second.Add(opts.stretched(opts.MaxOutage)))
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("SurplusOf", func() {
	It("reports what a returning primary holds beyond the end of its term", func() {
		row := &topology.Group{Term: 2, History: []topology.TermEnd{{Term: 1, End: entry{term: 1}.position(9)}}}
		s, lost := SurplusOf(row, entry{term: 1}.position(11))
		Expect(lost).To(BeTrue())
		Expect(s.From.Index).To(BeEquivalentTo(10))
		Expect(s.To.Index).To(BeEquivalentTo(12))
		_, lost = SurplusOf(row, entry{term: 1}.position(9))
		Expect(lost).To(BeFalse())
	})
})
