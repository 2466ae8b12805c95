// Package pooler manages the connections and slots of the targets whose pooler is
// this VM. It admits requests, runs them, and acknowledges them while this VM holds
// the right to do so. A request comes from its entry, which is the VM that received it
// from the caller; each forwarding of a request from entry to pooler is a hop.
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

// Rights reports whether this VM may currently acknowledge requests for a group's
// primary.
type Rights interface {
	// Right returns the right for the group and term. It is called before a request
	// is sent to the primary.
	Right(group topology.GroupID, term uint64) (authority.Right, *result.Error)
	// Confirm checks that the right still stands. It is called before the answer is
	// sent; waited is set if the write waited for the replicas of the right.
	Confirm(right authority.Right, waited bool) *result.Error
}

// Evidence receives observations about targets from requests, so that no probe is
// needed while they are busy.
type Evidence interface {
	// Answered records that the target answered a request after latency.
	Answered(target topology.TargetID, latency time.Duration)
	// Suspected records that the target may have failed.
	Suspected(target topology.TargetID)
}

// ClassLimits are the properties of a request's class that the pooler uses.
type ClassLimits struct {
	Write bool
	// Repeatable is set if a write may run more than once; other writes get a row in
	// the ledger.
	Repeatable bool
	// WaitsForReplica is set if the acknowledgement waits for the synced replicas.
	WaitsForReplica bool
	Priority        admission.Priority
}

// Directory gives access to the configuration and the group rows.
type Directory interface {
	Target(id topology.TargetID) (TargetLimits, bool)
	Class(service, class string) (ClassLimits, bool)
	// Admission returns the limits of a target's queue in the current preset.
	Admission(id topology.TargetID) admission.Limits
	// Group returns the newest known row of a group; nil if there is none.
	Group(id topology.GroupID) *topology.Group
	// Bounds returns the configured bounds of one request or transaction.
	Bounds() Bounds
}

// Bounds are the limits of one request or transaction.
type Bounds struct {
	// TransactionIdle is how long a transaction may be idle.
	TransactionIdle time.Duration
	// ResultBytes is the maximum size of an answer.
	ResultBytes int
}

// Entries reports which entries have ended, and probes those that send nothing.
type Entries interface {
	// IncarnationEnded reports whether the VM is dead or has restarted since this incarnation.
	IncarnationEnded(id topology.VMID, incarnation topology.Incarnation) bool
	// Probe sends the VM a message that it must answer; IncarnationEnded reflects the outcome.
	Probe(ctx context.Context, id topology.VMID)
}

// TargetLimits is a target with its limits.
type TargetLimits struct {
	topology.Target
	Slots       int
	Connections int
}

// Options are the options of a Pooler.
type Options struct {
	Dialer    Dialer
	Directory Directory
	Clock     mono.Clock
	Log       *slog.Logger
	// FIFO makes the pooler serve requests first in, first out. It is a baseline
	// for comparisons.
	FIFO bool
	// Entries may be nil; then only the idle time-out ends abandoned transactions.
	Entries Entries
	// Metrics may be nil.
	Metrics *metrics.Pooler
}

// Pooler serves requests that other VMs forward to its targets. Safe for concurrent
// use.
type Pooler struct {
	o                Options
	rights           Rights
	evidence         Evidence
	inFlightRequests inFlightRequests

	mu    sync.Mutex
	pools map[topology.TargetID]*targetPool
}

// targetPool holds the connections, the queue and the control connection of one
// target.
type targetPool struct {
	*pool
	gate           *gate
	floors         *sessionFloors
	control        *Control
	watch          *replicaWatch
	requestCounter requestCounter
}

// New returns a pooler. The pool of a target is created on first use.
func New(o Options) *Pooler {
	return &Pooler{o: o, pools: map[topology.TargetID]*targetPool{}}
}

// SetRights sets the rights that are checked for requests to primaries, and the receiver
// of evidence. It must be called once, before the first request.
func (p *Pooler) SetRights(r Rights, e Evidence) {
	p.rights = r
	p.evidence = e
}

// pool returns the target's pool, and creates it on first use.
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

// Sweep ends transactions and closes connections that have been idle too long, and
// applies changed limits. The daemon calls it every second.
func (p *Pooler) Sweep(now time.Time) {
	for _, tp := range p.targetPools() {
		p.sweepEntries(tp, now)
		tp.sweep(now, p.o.Directory.Bounds().TransactionIdle)
		tp.floors.tick()
		tp.gate.setLimits(p.o.Directory.Admission(tp.target.ID))
		p.o.Metrics.Connections(string(tp.target.ID), tp.inUse())
	}
}

// Tick ends the requests that can't be answered any more: those whose deadline has
// passed in a queue, those at a replaced primary, and those whose connection is
// silent.
func (p *Pooler) Tick() {
	p.inFlightRequests.interruptSuperseded(p.o.Directory)
	p.findSilent(time.Now())
	for _, tp := range p.targetPools() {
		tp.gate.tick()
	}
}

func (p *Pooler) targetPools() []*targetPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make([]*targetPool, 0, len(p.pools))
	for _, tp := range p.pools {
		pools = append(pools, tp)
	}
	return pools
}

// Close closes all idle connections and control connections.
func (p *Pooler) Close() {
	for _, tp := range p.targetPools() {
		tp.closeAll()
		tp.control.Close()
	}
}

// Execute implements peerpb.Pooler. Failures of the request are returned in the
// response; a Twirp error means that the hop itself failed.
func (p *Pooler) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	// The context of the hop must not end the request: a write that is running is
	// answered, or reported as unknown, by its own deadline.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	resp := &peerpb.ExecuteResponse{HopId: req.HopId}
	ctx, f := p.inFlightRequests.begin(ctx, inFlightKey{req.Entry, req.EntryIncarnation, req.HopId})
	defer p.inFlightRequests.end(f)
	if err := f.asCancelled(p.execute(ctx, f, req, resp)); err != nil {
		resp.Failure = peers.Failure(err)
		resp.Messages = nil
	}
	p.logExecuted(ctx, req, resp)
	return resp, nil
}

// logExecuted logs the request. The entry logs the same hop; entry and hop identify
// the request in the logs of both VMs.
func (p *Pooler) logExecuted(ctx context.Context, req *peerpb.ExecuteRequest, resp *peerpb.ExecuteResponse) {
	if p.o.Log == nil || !p.o.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	p.o.Log.Debug("event=executed", "entry", req.Entry, "hop", req.HopId, "target", req.Target, "class", req.Class,
		"code", resp.GetFailure().GetCode(), "queue_us", resp.QueueUs, "run_us", resp.RunUs)
}

// ReadPosition implements peerpb.Pooler. The right is checked after the target has
// answered. While the right is valid, no later term has acknowledged anything, so the
// position covers every write that was acknowledged before the call began.
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
