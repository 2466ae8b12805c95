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
	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Rights tells whether this VM may acknowledge for a group's primary now.
type Rights interface {
	// Right is asked before a request goes to the primary.
	Right(group topology.GroupID, term uint64) (authority.Right, *result.Error)
	// Confirm is asked before its answer goes out; waited: the write waited for
	// the replicas of the right.
	Confirm(right authority.Right, waited bool) *result.Error
}

// Evidence hears how targets behave, so that no probe is needed while they are
// busy.
type Evidence interface {
	Answered(target topology.TargetID, latency time.Duration)
	Doubted(target topology.TargetID)
}

// ClassLimits is what the pooler needs of a request's class.
type ClassLimits struct {
	Write bool
	// Repeatable: may run more than once; others get a row in the ledger.
	Repeatable bool
	// WaitsForReplica: the acknowledgement waits for the synced replicas.
	WaitsForReplica bool
	Priority        admission.Priority
}

// Directory answers questions about the configuration and the group rows.
type Directory interface {
	Target(id topology.TargetID) (TargetLimits, bool)
	Class(service, class string) (ClassLimits, bool)
	// Admission returns the limits of a target's queue as the preset has them.
	Admission(id topology.TargetID) admission.Limits
	// Group returns the newest known row of a group; nil when there is none.
	Group(id topology.GroupID) *topology.Group
	// Bounds returns what the configuration allows one request or transaction.
	Bounds() Bounds
}

// Bounds of one request or transaction.
type Bounds struct {
	// TransactionIdle is how long a transaction may sit idle.
	TransactionIdle time.Duration
	// ResultBytes is the largest answer.
	ResultBytes int
}

// Entries tells which entries have gone, and asks one that is silent.
type Entries interface {
	// Gone reports whether the VM is dead, or has been started anew since.
	Gone(id topology.VMID, incarnation topology.Incarnation) bool
	// Ask sends the VM a sign of life to answer; what comes of it shows in Gone.
	Ask(ctx context.Context, id topology.VMID)
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
	Directory Directory
	Clock     mono.Clock
	Log       *slog.Logger
	// FirstCome serves requests in the order of their arrival: a baseline.
	FirstCome bool
	// Entries may be nil: then only the idle time-out ends abandoned transactions.
	Entries Entries
	// Metrics may be nil.
	Metrics *metrics.Pooler
}

// Pooler serves the other VMs' requests to its targets. Safe for concurrent use.
type Pooler struct {
	o        Options
	rights   Rights
	evidence Evidence
	flights  flights

	mu    sync.Mutex
	pools map[topology.TargetID]*targetPool
}

// targetPool is one target: its connections, its queue and its control connection.
type targetPool struct {
	*pool
	gate    *gate
	floors  *sessionFloors
	control *Control
	watch   *replicaWatch
	work    work
}

// New makes a pooler; pools open on first use.
func New(o Options) *Pooler {
	return &Pooler{o: o, pools: map[topology.TargetID]*targetPool{}}
}

// Guard names what guards the pooler's primaries; it is called once, before the
// first request.
func (p *Pooler) Guard(r Rights, e Evidence) {
	p.rights = r
	p.evidence = e
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
		gate:    newGate(p.o.Directory.Admission(id), p.o.Clock),
		floors:  newSessionFloors(p.o.Clock),
		watch:   newReplicaWatch(),
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

// Sweep closes what has been idle too long and puts changed limits in force; the
// daemon calls it each second.
func (p *Pooler) Sweep(now time.Time) {
	for _, tp := range p.all() {
		p.sweepEntries(tp, now)
		tp.sweep(now, p.o.Directory.Bounds().TransactionIdle)
		tp.floors.tick()
		tp.gate.setLimits(p.o.Directory.Admission(tp.target.ID))
		p.o.Metrics.Connections(string(tp.target.ID), tp.inUse())
	}
}

// Tick answers requests whose deadline has passed in a queue, and those that a
// replaced primary will not answer.
func (p *Pooler) Tick() {
	p.flights.cut(p.o.Directory)
	p.findSilent(time.Now())
	for _, tp := range p.all() {
		tp.gate.tick()
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
	ctx, f := p.flights.begin(ctx, flightKey{req.Entry, req.EntryIncarnation, req.HopId})
	defer p.flights.end(f)
	if err := f.explain(p.execute(ctx, f, req, resp)); err != nil {
		resp.Failure = peers.Failure(err)
		resp.Messages = nil
	}
	p.logExecuted(ctx, req, resp)
	return resp, nil
}

// logExecuted writes a line that the entry's line of the same hop joins: entry
// and hop name the request on both VMs.
func (p *Pooler) logExecuted(ctx context.Context, req *peerpb.ExecuteRequest, resp *peerpb.ExecuteResponse) {
	if p.o.Log == nil || !p.o.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	p.o.Log.Debug("event=executed", "entry", req.Entry, "hop", req.HopId, "target", req.Target, "class", req.Class,
		"code", resp.GetFailure().GetCode(), "queue_us", resp.QueueUs, "run_us", resp.RunUs)
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
	if _, failure := p.rights.Right(topology.GroupID(req.Group), req.Term); failure != nil {
		resp.Failure = peers.Failure(failure)
		return resp, nil
	}
	resp.Position = peers.PositionTo(status.Position)
	for _, session := range req.Sessions {
		resp.Floors = append(resp.Floors, peers.PositionTo(tp.floors.floor(session, status.Position)))
	}
	return resp, nil
}

// Release implements peerpb.Pooler.
func (p *Pooler) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	tp, failure := p.pool(topology.TargetID(req.Target))
	if failure == nil {
		tp.abandon(txKey{req.Entry, req.EntryIncarnation, req.Transaction})
	}
	return &peerpb.ReleaseResponse{}, nil
}
