package failover

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// witnessTimeout bounds a witness's probe of a target; the VM that asked waits for
// the result.
const witnessTimeout = 300 * time.Millisecond

// Server implements peerpb.Failover with the tables of a driver.
type Server struct{ d *Driver }

// NewServer returns a server for the driver's tables.
func NewServer(d *Driver) *Server { return &Server{d} }

// Heartbeat implements peerpb.Failover.
func (s *Server) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (resp *peerpb.HeartbeatResponse, _ error) {
	s.d.withLock(func(now mono.Time) {
		resp = heartbeatResponseToProto(s.d.promoter.HandleHeartbeat(heartbeatFromProto(req), now))
	})
	return resp, nil
}

// Withdraw implements peerpb.Failover.
func (s *Server) Withdraw(_ context.Context, req *peerpb.WithdrawRequest) (*peerpb.WithdrawResponse, error) {
	ask := authority.WithdrawRequest{
		Group:   topology.GroupID(req.Group),
		Version: req.Version,
		Row:     decodeRow(req.Row),
	}
	var answer authority.WithdrawResponse
	s.d.withLock(func(now mono.Time) { answer = s.d.promoter.HandleWithdraw(ask, now) })
	return &peerpb.WithdrawResponse{
		Withdrawn:        answer.Withdrawn,
		LapsesInMs:       ceilMilliseconds(answer.LapsesIn),
		Position:         peers.PositionTo(answer.Position),
		ReplicaReachable: answer.ReplicaReachable,
	}, nil
}

// ReleaseRight implements peerpb.Failover.
func (s *Server) ReleaseRight(_ context.Context, req *peerpb.ReleaseRightRequest) (*peerpb.ReleaseRightResponse, error) {
	var answer authority.ReleaseRightResponse
	s.d.withLock(func(now mono.Time) {
		answer = s.d.holder.HandleRelease(authority.ReleaseRightRequest{
			Group:   topology.GroupID(req.Group),
			Version: req.Version,
		}, now)
	})
	return &peerpb.ReleaseRightResponse{Released: answer.Released}, nil
}

// Witness implements peerpb.Failover: it probes the target on a new connection.
func (s *Server) Witness(ctx context.Context, req *peerpb.WitnessRequest) (*peerpb.WitnessResponse, error) {
	t, ok := s.d.o.Directory.Target(topology.TargetID(req.Target))
	if !ok {
		return &peerpb.WitnessResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	_, _, err := pooler.Probe(ctx, s.d.o.Dialer, t.Address)
	return &peerpb.WitnessResponse{Known: true, Reachable: err == nil}, nil
}

// TakeOver implements peerpb.Failover.
func (s *Server) TakeOver(_ context.Context, req *peerpb.SwitchoverNotice) (*peerpb.SwitchoverNoticeResponse, error) {
	s.d.withLock(func(now mono.Time) { s.d.promoter.Switchover(topology.GroupID(req.Group), now) })
	return &peerpb.SwitchoverNoticeResponse{}, nil
}

// ceilMilliseconds rounds up: a lapse reported early would end a promise early.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
