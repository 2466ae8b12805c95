package pooler_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
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

func TestPooler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pooler")
}

const (
	theTarget = topology.TargetID("t1")
	theGroup  = topology.GroupID("s/g")
)

// bench is a pooler in front of one database, with the configuration of both. It
// implements the interfaces that the pooler needs.
type bench struct {
	db         *database.Database
	pooler     *pooler.Pooler
	address    string // address at which the pooler connects to the database
	row        *topology.Group
	bounds     pooler.Bounds
	limits     pooler.TargetLimits
	hop        atomic.Uint64
	suspicions atomic.Int32
	// rights, if set, replaces the default of Right, which always grants the right.
	rights func(topology.GroupID, uint64) (authority.Right, *result.Error)
}

// newBench starts a database as the primary of term 1, and a pooler in front of it.
func newBench() *bench {
	db, err := database.New(database.Config{ID: string(theTarget)})
	Expect(err).NotTo(HaveOccurred())
	Expect(db.Listen("127.0.0.1:0")).To(Succeed())
	DeferCleanup(db.Close)
	Expect(db.Promote(1)).To(Succeed())
	b := &bench{
		db:      db,
		address: db.Address(),
		row:     &topology.Group{ID: theGroup, Version: 1, Term: 1, Primary: theTarget},
		bounds:  pooler.Bounds{TransactionIdle: time.Minute, ResultBytes: 1 << 20},
		limits:  pooler.TargetLimits{Slots: 2, Connections: 4},
	}
	b.limits.Target = topology.Target{ID: theTarget, Group: theGroup, Address: db.Address()}
	b.pooler = pooler.New(pooler.Options{Dialer: b, Directory: b, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)})
	b.pooler.SetRights(b, b)
	DeferCleanup(b.pooler.Close)
	return b
}

func (b *bench) DialContext(ctx context.Context, network, _ string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, b.address)
}
func (b *bench) Target(topology.TargetID) (pooler.TargetLimits, bool) { return b.limits, true }
func (b *bench) Group(topology.GroupID) *topology.Group               { return b.row }
func (b *bench) Bounds() pooler.Bounds                                { return b.bounds }
func (b *bench) Admission(topology.TargetID) admission.Limits {
	return admission.Limits{Slots: b.limits.Slots, Queue: 100, ClassQueue: 100, MemberQueue: 100}
}

func (b *bench) Class(_, class string) (pooler.ClassLimits, bool) {
	return pooler.ClassLimits{
		Write: class != "read", Repeatable: class != "once", WaitsForReplica: class == "replicated", Priority: admission.Normal,
	}, true
}

func (b *bench) Right(g topology.GroupID, term uint64) (authority.Right, *result.Error) {
	if b.rights != nil {
		return b.rights(g, term)
	}
	return authority.Right{Group: g, Term: term}, nil
}
func (b *bench) Confirm(authority.Right, bool) *result.Error { return nil }
func (b *bench) Answered(topology.TargetID, time.Duration)   {}
func (b *bench) Suspected(topology.TargetID)                 { b.suspicions.Add(1) }

// request returns a request of the class with one simple query.
func (b *bench) request(class, sql string) *peerpb.ExecuteRequest {
	messages, err := (&pgproto3.Query{String: sql}).Encode(nil)
	Expect(err).NotTo(HaveOccurred())
	hop := b.hop.Add(1)
	r := &peerpb.ExecuteRequest{
		HopId: hop, Transaction: hop, Entry: "vm-1", EntryIncarnation: 1,
		Group: string(theGroup), Target: string(theTarget), Class: class, Member: "m",
		DeadlineMs: 5000, Messages: messages, Syncs: 1, Write: class != "read",
	}
	if r.Write {
		r.Term = 1
	}
	return r
}

func (b *bench) execute(r *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	resp, err := b.pooler.Execute(context.Background(), r)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

// write runs a write that must succeed.
func (b *bench) write(sql string) *peerpb.ExecuteResponse {
	resp := b.execute(b.request("write", sql))
	Expect(resp.Failure).To(BeNil())
	Expect(resp.Messages).NotTo(BeEmpty())
	return resp
}

func code(resp *peerpb.ExecuteResponse) result.Code { return result.Code(resp.Failure.GetCode()) }
