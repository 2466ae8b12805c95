package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/opauth"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// operators implements peerpb.Admin.
type operators struct {
	view        *view.View
	entry       *entry.Server
	pooler      *pooler.Pooler
	updater     *configUpdater
	switchovers *switchovers
	stop        fx.Shutdowner
	log         *slog.Logger
}

func newOperators(v *view.View, e *entry.Server, p *pooler.Pooler, u *configUpdater, s *switchovers, stop fx.Shutdowner, log *slog.Logger) *operators {
	return &operators{view: v, entry: e, pooler: p, updater: u, switchovers: s, stop: stop, log: log}
}

// handler serves the requests that are signed with the operators' secret.
func (o *operators) handler(secret string) (prefix string, h http.Handler) {
	server := peerpb.NewAdminServer(o)
	return server.PathPrefix(), &opauth.Verifier{Secret: secret, Next: server, Now: time.Now}
}

// Status implements peerpb.Admin.
func (o *operators) Status(_ context.Context, req *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	switch req.Kind {
	case status.KindGroups:
		return statusResponse(o.groups())
	case status.KindTargets:
		return statusResponse(o.targets())
	case status.KindVMs:
		return statusResponse(o.vms())
	case status.KindSessions:
		return statusResponse(status.Sessions{
			VM:       o.view.Self().ID,
			Sessions: o.entry.Sessions(),
			Serving:  o.entry.Serving(),
			Running:  o.pooler.RunningAll(),
		})
	case status.KindConfig:
		return statusResponse(o.updater.status())
	}
	return failedStatus(result.New(result.NotFound, "no status %q", req.Kind)), nil
}

func statusResponse(value any) (*peerpb.StatusResponse, error) {
	raw, err := json.Marshal(value)
	return &peerpb.StatusResponse{Json: raw}, err
}

func failedStatus(failure *result.Error) *peerpb.StatusResponse {
	return &peerpb.StatusResponse{Failure: peers.Failure(failure)}
}

func (o *operators) groups() []status.Group {
	out := []status.Group{}
	conf := o.view.Config()
	if conf == nil {
		return out
	}
	for _, id := range conf.AllGroups() {
		row := o.view.Group(id)
		if row == nil {
			out = append(out, status.Group{Group: id})
			continue
		}
		out = append(out, status.Group{
			Group:     id,
			Term:      row.Term,
			Version:   row.Version,
			Primary:   row.Primary,
			Pooler:    o.poolerOf(row.Primary),
			Promoters: row.Promoters,
		})
	}
	return out
}

func (o *operators) poolerOf(id topology.TargetID) topology.VMID {
	vm, _ := o.view.PoolerOf(id)
	return vm.ID
}

func (o *operators) targets() []status.Target {
	out := []status.Target{}
	conf := o.view.Config()
	if conf == nil {
		return out
	}
	for _, id := range conf.AllGroups() {
		g, _ := conf.Group(id)
		row := o.view.Group(id)
		for _, t := range g.Targets {
			out = append(out, status.Target{
				Target:     t.ID,
				Group:      id,
				DataCentre: t.DataCentre,
				Address:    t.Address,
				Primary:    row != nil && row.Primary == t.ID,
				Leaving:    t.Leaving,
				Pooler:     o.poolerOf(t.ID),
			})
		}
	}
	return out
}

func (o *operators) vms() []status.VM {
	out := []status.VM{}
	for _, s := range o.view.Statuses() {
		out = append(out, status.VM{
			VM:          s.VM.ID,
			DataCentre:  s.VM.DataCentre,
			PeerAddress: s.VM.PeerAddress,
			State:       s.State.String(),
			Avoided:     s.Avoided,
		})
	}
	return out
}

// Explain implements peerpb.Admin.
func (o *operators) Explain(_ context.Context, req *peerpb.ExplainRequest) (*peerpb.StatusResponse, error) {
	conf := o.view.Config()
	if conf == nil {
		return failedStatus(result.New(result.NotFound, "no configuration is in force")), nil
	}
	class, ok := conf.Class(req.Service, req.Class)
	if !ok {
		return failedStatus(result.New(result.UnknownClass, "%q of service %q", req.Class, req.Service)), nil
	}
	group, failure := groupFor(conf, req)
	if failure != nil {
		return failedStatus(failure), nil
	}
	explanation, failure := o.entry.Explain(group, class, peers.Position(req.Floor))
	if failure != nil {
		return failedStatus(failure), nil
	}
	return statusResponse(explanation)
}

// groupFor returns the group that the request names or, if it names none, the group
// of an empty shard key.
func groupFor(conf *config.View, req *peerpb.ExplainRequest) (topology.GroupID, *result.Error) {
	if req.Group != "" {
		id := config.GroupID(req.Service, req.Group)
		if _, ok := conf.Group(id); !ok {
			return "", result.New(result.NotFound, "group %s", id)
		}
		return id, nil
	}
	id, ok := conf.GroupOf(req.Service, "")
	if !ok {
		return "", result.New(result.UnknownService, "%q has no group", req.Service)
	}
	return id, nil
}

// Switchover implements peerpb.Admin. It returns once the replica is primary.
func (o *operators) Switchover(ctx context.Context, req *peerpb.SwitchoverRequest) (*peerpb.SwitchoverResponse, error) {
	o.log.Info("event=switchover_requested", "group", req.Group, "to", req.Target)
	term, failure := o.switchovers.Switchover(ctx, topology.GroupID(req.Group), topology.TargetID(req.Target))
	return &peerpb.SwitchoverResponse{Failure: peers.Failure(failure), Term: term}, nil
}

// Leave implements peerpb.Admin. It starts the same planned stop as SIGTERM.
func (o *operators) Leave(context.Context, *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	o.log.Info("event=leave_requested")
	return &peerpb.LeaveResponse{}, o.stop.Shutdown()
}
