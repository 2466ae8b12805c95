package ctl

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/buckthornshore/buckthornshore/internal/opauth"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// daemonAt returns a client of the Admin service of the daemon at an address.
func (o *online) daemonAt(address string) peerpb.Admin {
	client := &http.Client{Transport: &opauth.Signer{
		Secret: o.settings.OperatorSecret,
		Next:   http.DefaultTransport,
		Now:    time.Now,
	}}
	return peerpb.NewAdminProtobufClient("http://"+address, client)
}

// daemon returns a client of the daemon that the settings name.
func (o *online) daemon() (peerpb.Admin, error) {
	if o.settings.Daemon == "" || o.settings.OperatorSecret == "" {
		return nil, result.New(result.ConfigInvalid, "%s: daemon and operator_secret are needed", o.args.Settings)
	}
	return o.daemonAt(o.settings.Daemon), nil
}

// callResult converts the error of a call to a daemon to a result. Only a refused
// authentication or a failed dial shows that the call was not executed; after any
// other error the outcome is unknown.
func callResult(err error) error {
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.Unauthenticated {
		return result.New(result.NotAuthorized, "%s", refused.Msg())
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.New(result.PoolerUnreachable, "%v", err)
	}
	return result.New(result.OutcomeUnknown, "%v", err)
}

// fetchStatus reads one kind of status from a daemon.
func fetchStatus(ctx context.Context, d peerpb.Admin, kind string, out any) error {
	resp, err := d.Status(ctx, &peerpb.StatusRequest{Kind: kind})
	return decodeStatus(resp, err, out)
}

func decodeStatus(resp *peerpb.StatusResponse, err error, out any) error {
	if err != nil {
		return callResult(err)
	}
	if failure := peers.Result(resp.Failure); failure != nil {
		return failure
	}
	if err := json.Unmarshal(resp.Json, out); err != nil {
		return result.New(result.Internal, "the daemon's answer: %v", err)
	}
	return nil
}

// switchover requests a switchover from the daemon that pools the group's primary.
func (o *online) switchover(ctx context.Context, c *switchoverCommand) error {
	d, err := o.daemon()
	if err != nil {
		return err
	}
	address, err := primaryPooler(ctx, d, c.Group)
	if err != nil {
		return err
	}
	resp, err := o.daemonAt(address).Switchover(ctx, &peerpb.SwitchoverRequest{Group: c.Group, Target: c.To})
	if err != nil {
		return callResult(err)
	}
	if failure := peers.Result(resp.Failure); failure != nil {
		return failure
	}
	answer := struct {
		Group string `json:"group"`
		Term  uint64 `json:"term"`
	}{c.Group, resp.Term}
	return o.out.line(answer, "group %s has a primary in term %d", c.Group, resp.Term)
}

// primaryPooler returns the peer address of the VM that pools the group's primary.
func primaryPooler(ctx context.Context, d peerpb.Admin, group string) (string, error) {
	var groups []status.Group
	if err := fetchStatus(ctx, d, status.KindGroups, &groups); err != nil {
		return "", err
	}
	var vms []status.VM
	if err := fetchStatus(ctx, d, status.KindVMs, &vms); err != nil {
		return "", err
	}
	for _, g := range groups {
		if string(g.Group) != group {
			continue
		}
		for _, vm := range vms {
			if vm.VM == g.Pooler {
				return vm.PeerAddress, nil
			}
		}
		return "", result.New(result.NoPrimary, "no VM pools the primary of %s", group)
	}
	return "", result.New(result.NotFound, "group %s", group)
}

// drainVM starts the planned stop of a daemon.
func (o *online) drainVM(ctx context.Context, id string) error {
	d, err := o.daemon()
	if err != nil {
		return err
	}
	var vms []status.VM
	if err := fetchStatus(ctx, d, status.KindVMs, &vms); err != nil {
		return err
	}
	for _, vm := range vms {
		if string(vm.VM) != id {
			continue
		}
		if _, err := o.daemonAt(vm.PeerAddress).Leave(ctx, &peerpb.LeaveRequest{}); err != nil {
			return callResult(err)
		}
		return o.out.line(vm, "daemon %s is leaving", id)
	}
	return result.New(result.NotFound, "VM %s", id)
}

// drain marks a target as leaving in a new version of the configuration.
func (o *online) drain(ctx context.Context, c *drainCommand) error {
	if c.VM != "" {
		return o.drainVM(ctx, c.VM)
	}
	current, err := o.store.Read(ctx)
	if err != nil {
		return err
	}
	if current.Config.Version == 0 {
		return result.New(result.NotFound, "no configuration was applied yet")
	}
	doc, err := o.store.Load(ctx, current.Config)
	if err != nil {
		return err
	}
	for i := range doc.Groups {
		for j := range doc.Groups[i].Targets {
			t := &doc.Groups[i].Targets[j]
			if string(t.ID) != c.Target {
				continue
			}
			t.Leaving = true
			version, err := o.store.Apply(ctx, doc, current.Config.Expected(), o.settings.Operator)
			if err != nil {
				return err
			}
			return o.out.line(versionAnswer{version}, "target %s is leaving, configuration version %d", c.Target, version)
		}
	}
	return result.New(result.NotFound, "target %s", c.Target)
}
