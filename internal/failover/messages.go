package failover

import (
	"encoding/json"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

func heartbeatToProto(r authority.HeartbeatRequest) *peerpb.HeartbeatRequest {
	out := &peerpb.HeartbeatRequest{Vm: string(r.VM), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence}
	for _, p := range r.Promises {
		out.Promises = append(out.Promises, &peerpb.PromiseRequest{
			Group:        string(p.Group),
			Version:      p.Version,
			TargetHealth: uint32(p.Health),
			Row:          encodeRow(p.Row),
		})
	}
	return out
}

func heartbeatFromProto(r *peerpb.HeartbeatRequest) authority.HeartbeatRequest {
	out := authority.HeartbeatRequest{
		VM:          topology.VMID(r.Vm),
		Incarnation: topology.Incarnation(r.Incarnation),
		Sequence:    r.Sequence,
	}
	for _, p := range r.Promises {
		out.Promises = append(out.Promises, authority.PromiseRequest{
			Group:   topology.GroupID(p.Group),
			Version: p.Version,
			Health:  authority.Health(p.TargetHealth),
			Row:     decodeRow(p.Row),
		})
	}
	return out
}

func heartbeatResponseToProto(r authority.HeartbeatResponse) *peerpb.HeartbeatResponse {
	out := &peerpb.HeartbeatResponse{Sequence: r.Sequence, Incarnation: uint64(r.Incarnation)}
	for _, p := range r.Promises {
		out.Promises = append(out.Promises, &peerpb.Promise{
			Group:            string(p.Group),
			Version:          p.Version,
			Granted:          p.Granted,
			Position:         peers.PositionTo(p.Position),
			ReplicaReachable: p.ReplicaReachable,
			Row:              encodeRow(p.Row),
		})
	}
	return out
}

func heartbeatResponseFromProto(r *peerpb.HeartbeatResponse) authority.HeartbeatResponse {
	out := authority.HeartbeatResponse{Sequence: r.Sequence, Incarnation: topology.Incarnation(r.Incarnation)}
	for _, p := range r.Promises {
		out.Promises = append(out.Promises, authority.Promise{
			Group:            topology.GroupID(p.Group),
			Version:          p.Version,
			Granted:          p.Granted,
			Position:         peers.Position(p.Position),
			ReplicaReachable: p.ReplicaReachable,
			Row:              decodeRow(p.Row),
		})
	}
	return out
}

func withdrawResponseFromProto(req authority.WithdrawRequest, r *peerpb.WithdrawResponse) authority.WithdrawResponse {
	return authority.WithdrawResponse{
		Group:            req.Group,
		Version:          req.Version,
		Withdrawn:        r.Withdrawn,
		LapsesIn:         time.Duration(r.LapsesInMs) * time.Millisecond,
		Position:         peers.Position(r.Position),
		ReplicaReachable: r.ReplicaReachable,
	}
}

func encodeRow(row *topology.Group) []byte {
	if row == nil {
		return nil
	}
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err) // A plain struct of strings and numbers always encodes.
	}
	return raw
}

// decodeRow returns nil if raw is empty or can't be decoded.
func decodeRow(raw []byte) *topology.Group {
	if len(raw) == 0 {
		return nil
	}
	var g topology.Group
	if err := json.Unmarshal(raw, &g); err != nil {
		return nil
	}
	return &g
}
