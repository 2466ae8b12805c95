// Package platformd serves a stand-in for the platform over Twirp. It injects
// faults on request: latency, outages, lost answers to commits that took effect,
// and outdated VM lists.
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

// Server is a stand-in for the platform.
type Server struct {
	mem    *platform.Memory
	reads  atomic.Uint64
	writes atomic.Uint64

	mu        sync.Mutex
	faults    []*platformpb.Fault
	random    *rand.Rand
	snapshots []listSnapshot
}

// listSnapshot is the VM list at a point in time, kept to serve outdated lists.
type listSnapshot struct {
	at  time.Time
	vms []topology.VM
}

// maxListSnapshots limits the memory that the snapshots use.
const maxListSnapshots = 1024

// New returns a stand-in that stores its data in mem. seed determines which answers
// are lost.
func New(mem *platform.Memory, seed uint64) *Server {
	return &Server{mem: mem, random: rand.New(rand.NewPCG(seed, seed))}
}

// Handler returns a handler for both the platform service and the StandIn service,
// which controls the faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	p := platformpb.NewPlatformServer(s)
	mux.Handle(p.PathPrefix(), p)
	f := platformpb.NewStandInServer(s)
	mux.Handle(f.PathPrefix(), f)
	return mux
}

// faultFor returns the combination of all faults that apply to caller.
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

// applyFaults delays or fails a request according to the faults for caller, which
// it returns.
func (s *Server) applyFaults(ctx context.Context, caller string) (*platformpb.Fault, error) {
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

func (s *Server) losesAnswer(f *platformpb.Fault) bool {
	if f.LostAnswers <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < f.LostAnswers
}

// Scan implements platformpb.Platform.
func (s *Server) Scan(ctx context.Context, req *platformpb.ScanRequest) (*platformpb.ScanResponse, error) {
	if _, err := s.applyFaults(ctx, req.Caller); err != nil {
		return nil, err
	}
	s.reads.Add(1)
	rows, revision, err := s.mem.Scan(ctx, req.Prefix, req.Since)
	if err != nil {
		return nil, err
	}
	return &platformpb.ScanResponse{Rows: rowsToProto(rows), Revision: revision}, nil
}

// Commit implements platformpb.Platform.
func (s *Server) Commit(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitResponse, error) {
	f, err := s.applyFaults(ctx, req.Caller)
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
	if s.losesAnswer(f) {
		return nil, twirp.NewError(twirp.Unavailable, "answer lost")
	}
	return &platformpb.CommitResponse{Committed: out.Committed, Revision: out.Revision, Conflicts: rowsToProto(out.Conflicts)}, nil
}

// Put implements platformpb.Platform.
func (s *Server) Put(ctx context.Context, req *platformpb.PutRequest) (*platformpb.PutResponse, error) {
	if _, err := s.applyFaults(ctx, req.Caller); err != nil {
		return nil, err
	}
	s.writes.Add(1)
	return &platformpb.PutResponse{}, s.mem.Put(ctx, req.Name, req.Blob)
}

// Get implements platformpb.Platform.
func (s *Server) Get(ctx context.Context, req *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	if _, err := s.applyFaults(ctx, req.Caller); err != nil {
		return nil, err
	}
	s.reads.Add(1)
	blob, found, err := s.mem.Get(ctx, req.Name)
	return &platformpb.GetResponse{Found: found, Blob: blob}, err
}

// List implements platformpb.Platform. It returns the list as it was ListLagMs
// milliseconds ago.
func (s *Server) List(ctx context.Context, req *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	f, err := s.applyFaults(ctx, req.Caller)
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
	for _, l := range s.snapshots {
		if l.at.After(at) {
			break
		}
		vms = l.vms
	}
	return vms
}

// Register implements platformpb.Platform.
func (s *Server) Register(ctx context.Context, req *platformpb.RegisterRequest) (*platformpb.RegisterResponse, error) {
	if _, err := s.applyFaults(ctx, req.Vm.GetId()); err != nil {
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
	s.snapshots = append(s.snapshots, listSnapshot{at: time.Now(), vms: vms})
	if len(s.snapshots) > maxListSnapshots {
		s.snapshots = s.snapshots[len(s.snapshots)-maxListSnapshots:]
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

func rowsToProto(rows []platform.Row) []*platformpb.Row {
	out := make([]*platformpb.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &platformpb.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return out
}
