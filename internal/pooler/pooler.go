// Package pooler owns the connections and slots of the targets whose pooler
// this VM is: it admits requests, runs them and acknowledges what it may.
package pooler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Rights tells whether this VM may acknowledge for a group's primary now.
type Rights interface {
	// Check returns nil while every promise for the term is valid.
	Check(group topology.GroupID, term uint64) *result.Error
}

// ClassLimits is what the pooler needs of a request's class.
type ClassLimits struct {
	Write bool
	// Repeatable: may run more than once; others get a row in the ledger.
	Repeatable bool
	// WaitsForReplica: the acknowledgement waits for the synced replicas.
	WaitsForReplica bool
	Priority        int
}

// Directory answers questions about the configuration and the group rows.
type Directory interface {
	Target(id topology.TargetID) (TargetLimits, bool)
	Class(service, class string) (ClassLimits, bool)
	// SyncedReplicas lists the replicas that a waiting class waits for.
	SyncedReplicas(group topology.GroupID) []topology.TargetID
}

// TargetLimits is a target with its limits.
type TargetLimits struct {
	topology.Target
	Slots       int
	Connections int
}

// Options of a Pooler.
type Options struct {
	Dialer    Dialer
	Rights    Rights
	Directory Directory
	Log       *slog.Logger
	// TransactionIdle is how long a transaction may sit idle.
	TransactionIdle time.Duration
	// MaxResult bounds one answer in bytes.
	MaxResult int
	// Metrics may be nil.
	Metrics *metrics.Pooler
}

// Pooler serves the other VMs' requests to its targets. Safe for concurrent use.
type Pooler struct {
	o Options

	mu    sync.Mutex
	pools map[topology.TargetID]*targetPool
}

// targetPool is one target: its connections, its queue and its control connection.
type targetPool struct {
	*pool
	gate    *gate
	control *Control
}

// New makes a pooler; pools open on first use.
func New(o Options) *Pooler {
	return &Pooler{o: o, pools: map[topology.TargetID]*targetPool{}}
}

// pool returns the target's pool, making it on first use.
func (p *Pooler) pool(id topology.TargetID) (*targetPool, *result.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tp := p.pools[id]; tp != nil {
		return tp, nil
	}
	t, ok := p.o.Directory.Target(id)
	if !ok {
		return nil, result.New(result.NotFound, "target %s", id)
	}
	tp := &targetPool{
		pool:    newPool(t.Target, p.o.Dialer, t.Connections),
		gate:    newGate(t.Slots),
		control: NewControl(p.o.Dialer, t.Address),
	}
	p.pools[id] = tp
	return tp, nil
}

// Control returns the target's control connection.
func (p *Pooler) Control(id topology.TargetID) (*Control, *result.Error) {
	tp, err := p.pool(id)
	if err != nil {
		return nil, err
	}
	return tp.control, nil
}

// Sweep closes what has been idle too long; the daemon calls it each second.
func (p *Pooler) Sweep(now time.Time) {
	for _, tp := range p.all() {
		tp.sweep(now, p.o.TransactionIdle)
		p.o.Metrics.Connections(string(tp.target.ID), tp.inUse())
	}
}

func (p *Pooler) all() []*targetPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make([]*targetPool, 0, len(p.pools))
	for _, tp := range p.pools {
		pools = append(pools, tp)
	}
	return pools
}

// Close ends all idle connections.
func (p *Pooler) Close() {
	for _, tp := range p.all() {
		tp.closeAll()
		tp.control.Close()
	}
}

// Execute implements peerpb.Pooler. Results travel in the answer; a Twirp error
// means that the hop itself failed.
func (p *Pooler) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	// The entry's own time-out must not cut the request here: a write under way
	// is answered or known to be unknown by its deadline, not by its hop.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	resp := &peerpb.ExecuteResponse{HopId: req.HopId}
	if err := p.execute(ctx, req, resp); err != nil {
		resp.Failure = peers.Failure(err)
		resp.Messages = nil
	}
	return resp, nil
}

// ReadPosition implements peerpb.Pooler. The right is checked after the target
// has answered: while it is valid no later term has acknowledged anything, so
// the position covers every write acknowledged before the fetch began.
func (p *Pooler) ReadPosition(ctx context.Context, req *peerpb.PositionRequest) (*peerpb.PositionResponse, error) {
	resp := &peerpb.PositionResponse{}
	tp, failure := p.pool(topology.TargetID(req.Target))
	if failure != nil {
		resp.Failure = peers.Failure(failure)
		return resp, nil
	}
	status, err := tp.control.Status(ctx)
	if err != nil {
		resp.Failure = peers.Failure(result.New(result.TargetUnreachable, "%s: %v", req.Target, err).After(verifyAfter))
		return resp, nil
	}
	if status.Role != RolePrimary || status.Term != req.Term {
		resp.Failure = peers.Failure(result.New(result.TermRefused, "%s is %s in term %d", req.Target, status.Role, status.Term).After(verifyAfter))
		return resp, nil
	}
	if failure := p.o.Rights.Check(topology.GroupID(req.Group), req.Term); failure != nil {
		resp.Failure = peers.Failure(failure)
		return resp, nil
	}
	resp.Position = peers.PositionTo(status.Position)
	resp.Floor = resp.Position
	return resp, nil
}

// Cancel implements peerpb.Pooler.
func (p *Pooler) Cancel(ctx context.Context, req *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	return &peerpb.CancelResponse{}, nil
}

// Release implements peerpb.Pooler.
func (p *Pooler) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	tp, failure := p.pool(topology.TargetID(req.Target))
	if failure == nil {
		tp.abandon(txKey{req.Entry, req.EntryIncarnation, req.Transaction})
	}
	return &peerpb.ReleaseResponse{}, nil
}
