// Package platformd serves the platform's stand-in over Twirp, with faults on
// command: latency, outages and answers lost after the change took effect.
package platformd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// Server is the stand-in.
type Server struct {
	mem    *platform.Memory
	reads  atomic.Uint64
	writes atomic.Uint64

	mu     sync.Mutex
	faults []*platformpb.Fault
	random *rand.Rand
	lists  []datedList
}

// datedList is the VM list as it was, so that an older one can be served.
type datedList struct {
	at  time.Time
	vms []topology.VM
}

// maxDatedLists bounds the memory that the lagging list costs.
const maxDatedLists = 1024

// New returns a stand-in over mem; seed decides which answers are lost.
func New(mem *platform.Memory, seed uint64) *Server {
	return &Server{mem: mem, random: rand.New(rand.NewPCG(seed, seed))}
}

// Handler serves both the platform and the stand-in's own service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	p := platformpb.NewPlatformServer(s)
	mux.Handle(p.PathPrefix(), p)
	f := platformpb.NewStandInServer(s)
	mux.Handle(f.PathPrefix(), f)
	return mux
}

// faultFor merges the faults that apply to caller.
func (s *Server) faultFor(caller string) *platformpb.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := &platformpb.Fault{}
	for _, f := range s.faults {
		if !strings.HasPrefix(caller, f.CallerPrefix) {
			continue
		}
		merged.LatencyMs += f.LatencyMs
		merged.Unavailable = merged.Unavailable || f.Unavailable
		merged.LostAnswers = max(merged.LostAnswers, f.LostAnswers)
		merged.ListLagMs = max(merged.ListLagMs, f.ListLagMs)
	}
	return merged
}

// enter applies latency and outage.
func (s *Server) enter(ctx context.Context, caller string) (*platformpb.Fault, error) {
	f := s.faultFor(caller)
	if f.LatencyMs > 0 {
		select {
		case <-time.After(time.Duration(f.LatencyMs) * time.Millisecond):
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "caller gave up")
		}
	}
	if f.Unavailable {
		return nil, twirp.NewError(twirp.Unavailable, "platform outage")
	}
	return f, nil
}

func (s *Server) loses(f *platformpb.Fault) bool {
	if f.LostAnswers <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < f.LostAnswers
}

// Scan implements platformpb.Platform.
func (s *Server) Scan(ctx context.Context, req *platformpb.ScanRequest) (*platformpb.ScanResponse, error) {
	if _, err := s.enter(ctx, req.Caller); err != nil {
		return nil, err
	}
	s.reads.Add(1)
	rows, revision, err := s.mem.Scan(ctx, req.Prefix, req.Since)
	if err != nil {
		return nil, err
	}
	return &platformpb.ScanResponse{Rows: rowsTo(rows), Revision: revision}, nil
}

// Commit implements platformpb.Platform.
func (s *Server) Commit(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitResponse, error) {
	f, err := s.enter(ctx, req.Caller)
	if err != nil {
		return nil, err
	}
	s.writes.Add(1)
	var txn platform.Txn
	for _, c := range req.Conditions {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: c.Key, Revision: c.Revision})
	}
	for _, w := range req.Writes {
		txn.Writes = append(txn.Writes, platform.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	out, err := s.mem.Commit(ctx, txn)
	if err != nil {
		return nil, err
	}
	if s.loses(f) {
		return nil, twirp.NewError(twirp.Unavailable, "answer lost")
	}
	return &platformpb.CommitResponse{Committed: out.Committed, Revision: out.Revision, Conflicts: rowsTo(out.Conflicts)}, nil
}

// Put implements platformpb.Platform.
func (s *Server) Put(ctx context.Context, req *platformpb.PutRequest) (*platformpb.PutResponse, error) {
	if _, err := s.enter(ctx, req.Caller); err != nil {
		return nil, err
	}
	s.writes.Add(1)
	return &platformpb.PutResponse{}, s.mem.Put(ctx, req.Name, req.Blob)
}

// Get implements platformpb.Platform.
func (s *Server) Get(ctx context.Context, req *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if _, err := s.enter(ctx, req.Caller); err != nil {
		return nil, err
	}
	s.reads.Add(1)
	blob, found, err := s.mem.Get(ctx, req.Name)
	return &platformpb.GetResponse{Found: found, Blob: blob}, err
}

// List implements platformpb.Platform. It serves the list as it was ListLagMs ago.
func (s *Server) List(ctx context.Context, req *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	f, err := s.enter(ctx, req.Caller)
	if err != nil {
		return nil, err
	}
	s.reads.Add(1)
	vms, err := s.mem.List(ctx)
	if err != nil {
		return nil, err
	}
	if f.ListLagMs > 0 {
		vms = s.listAt(time.Now().Add(-time.Duration(f.ListLagMs) * time.Millisecond))
	}
	resp := &platformpb.ListResponse{}
	for _, vm := range vms {
		resp.Vms = append(resp.Vms, platform.VMToProto(vm))
	}
	return resp, nil
}

func (s *Server) listAt(at time.Time) []topology.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var vms []topology.VM
	for _, l := range s.lists {
		if l.at.After(at) {
			break
		}
		vms = l.vms
	}
	return vms
}

// Register implements platformpb.Platform.
func (s *Server) Register(ctx context.Context, req *platformpb.RegisterRequest) (*platformpb.RegisterResponse, error) {
	if _, err := s.enter(ctx, req.Vm.GetId()); err != nil {
		return nil, err
	}
	if req.Vm == nil {
		return nil, twirp.RequiredArgumentError("vm")
	}
	if err := s.mem.Register(ctx, platform.VMFromProto(req.Vm)); err != nil {
		return nil, err
	}
	vms, err := s.mem.List(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, datedList{at: time.Now(), vms: vms})
	if len(s.lists) > maxDatedLists {
		s.lists = s.lists[len(s.lists)-maxDatedLists:]
	}
	return &platformpb.RegisterResponse{}, nil
}

// SetFaults implements platformpb.StandIn; it replaces all faults.
func (s *Server) SetFaults(_ context.Context, req *platformpb.SetFaultsRequest) (*platformpb.SetFaultsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = req.Faults
	return &platformpb.SetFaultsResponse{}, nil
}

// Stats implements platformpb.StandIn.
func (s *Server) Stats(context.Context, *platformpb.StatsRequest) (*platformpb.StatsResponse, error) {
	return &platformpb.StatsResponse{Reads: s.reads.Load(), Writes: s.writes.Load()}, nil
}

func rowsTo(rows []platform.Row) []*platformpb.Row {
	out := make([]*platformpb.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &platformpb.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return out
}
