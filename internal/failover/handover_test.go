package failover

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/standin/database"
	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	groupUnderTest = topology.GroupID("s/g")
	primaryTarget  = topology.TargetID("a")
)

// fakeDaemon implements what a Driver and its Pooler need from the rest of a daemon, for
// one group whose primary this VM pools as long as assignments contains it.
type fakeDaemon struct {
	net.Dialer
	limits      pooler.TargetLimits
	row         *topology.Group
	assignments []Assignment
}

func (s *fakeDaemon) Self() topology.VM {
	return topology.VM{ID: "vm-1", Incarnation: 1, DataCentre: "x"}
}

func (s *fakeDaemon) VM(topology.VMID) (topology.VM, bool) { return topology.VM{}, false }

func (s *fakeDaemon) Assignments() []Assignment                            { return s.assignments }
func (s *fakeDaemon) Target(topology.TargetID) (pooler.TargetLimits, bool) { return s.limits, true }

func (s *fakeDaemon) PoolerOf(topology.TargetID) (topology.VM, bool) { return topology.VM{}, false }

func (s *fakeDaemon) Witness(topology.TargetID) (topology.VM, bool) { return topology.VM{}, false }
func (s *fakeDaemon) Group(topology.GroupID) *topology.Group        { return s.row }
func (s *fakeDaemon) HeardWithin(topology.VMID, time.Duration) bool { return true }
func (s *fakeDaemon) Probe(context.Context, topology.VMID)          {}
func (s *fakeDaemon) Bounds() pooler.Bounds {
	return pooler.Bounds{TransactionIdle: time.Minute, ResultBytes: 1 << 20}
}
func (s *fakeDaemon) Answered(topology.TargetID, time.Duration)   {}
func (s *fakeDaemon) Suspected(topology.TargetID)                 {}
func (s *fakeDaemon) Confirm(authority.Right, bool) *result.Error { return nil }
func (s *fakeDaemon) Class(string, string) (pooler.ClassLimits, bool) {
	return pooler.ClassLimits{Write: true, Repeatable: true, Priority: admission.Normal}, true
}

func (s *fakeDaemon) Admission(topology.TargetID) admission.Limits {
	return admission.Limits{Slots: 2, Queue: 10, ClassQueue: 10, MemberQueue: 10}
}

func (s *fakeDaemon) Right(g topology.GroupID, term uint64) (authority.Right, *result.Error) {
	return authority.Right{Group: g, Term: term}, nil
}

// newHandover starts a target, a pooler and a driver that holds the group.
func newHandover() (*fakeDaemon, *pooler.Pooler, *Driver) {
	db, err := database.New(database.Config{ID: string(primaryTarget)})
	Expect(err).NotTo(HaveOccurred())
	Expect(db.Listen("127.0.0.1:0")).To(Succeed())
	DeferCleanup(db.Close)
	Expect(db.Promote(1)).To(Succeed())
	s := &fakeDaemon{
		row:         &topology.Group{ID: groupUnderTest, Version: 1, Term: 1, Primary: primaryTarget},
		assignments: []Assignment{{Group: groupUnderTest, Targets: []topology.TargetID{primaryTarget}}},
	}
	s.limits = pooler.TargetLimits{
		Target: topology.Target{ID: primaryTarget, Group: groupUnderTest, Address: db.Address()},
		Slots:  2, Connections: 4,
	}
	log := slog.New(slog.DiscardHandler)
	p := pooler.New(pooler.Options{Dialer: s, Directory: s, Clock: mono.System{}, Log: log})
	p.SetRights(s, s)
	DeferCleanup(p.Close)
	d := New(Options{Directory: s, Pooler: p, Liveness: s, Clock: mono.System{}, Authority: authority.DefaultOptions(), Log: log})
	return s, p, d
}

var _ = Describe("A primary's pooler that another VM takes over from", func() {
	// A write runs at the pooler when a restarted VM takes the target back, as rendezvous
	// hashing assigns it. The write commits. If the pooler had given up its right by then, the
	// caller would get an unknown outcome (BTS-1205, with WrongPooler as the reason), though
	// nothing has failed.
	It("keeps its right until the requests that it accepted are answered", func() {
		s, p, d := newHandover()
		d.assign(context.Background())
		d.assign(context.Background()) // The first call makes it the holder, this one makes it observe the row.
		messages, err := (&pgproto3.Query{String: "select pg_sleep(0.6)"}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		answered := make(chan *peerpb.ExecuteResponse, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := p.Execute(context.Background(), &peerpb.ExecuteRequest{
				HopId: 1, Transaction: 1, Entry: "vm-2", EntryIncarnation: 1, Group: string(groupUnderTest),
				Target: string(primaryTarget), Class: "c", Member: "m", DeadlineMs: 5000, Messages: messages, Syncs: 1, Write: true, Term: 1,
			})
			Expect(err).NotTo(HaveOccurred())
			answered <- resp
		}()
		Eventually(func() int { return p.Running(primaryTarget) }).Should(Equal(1))
		s.assignments = nil
		d.assign(context.Background())
		_, refused := d.Right(groupUnderTest, 1)
		Expect(refused == nil || refused.Code != result.WrongPooler).To(BeTrue(), "the right is gone: %v", refused)
		var resp *peerpb.ExecuteResponse
		Eventually(answered).WithTimeout(5 * time.Second).Should(Receive(&resp))
		Expect(resp.Failure).To(BeNil())
		d.assign(context.Background())
		_, refused = d.Right(groupUnderTest, 1)
		Expect(refused.Code).To(Equal(result.WrongPooler))
	})
})
