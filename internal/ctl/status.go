package ctl

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// maxConcurrentCalls limits the number of daemons called at the same time.
const maxConcurrentCalls = 32

func (o *online) status(ctx context.Context, c *statusCommand) error {
	d, err := o.daemon()
	if err != nil {
		return err
	}
	switch c.Kind {
	case status.KindGroups:
		return printStatus(ctx, o, d, c.Kind, groupTable)
	case status.KindTargets:
		return printStatus(ctx, o, d, c.Kind, targetTable)
	case status.KindVMs:
		return printStatus(ctx, o, d, c.Kind, vmTable)
	case status.KindSessions:
		return printStatus(ctx, o, d, c.Kind, sessionTable)
	case status.KindConfig:
		return printStatus(ctx, o, d, c.Kind, func(c status.Config) table { return configTable([]configAnswer{{Config: c}}) })
	}
	return result.New(result.NotFound, "status %q; there are groups, targets, vms, sessions and config", c.Kind)
}

func printStatus[T any](ctx context.Context, o *online, d peerpb.Admin, kind string, tableOf func(T) table) error {
	var value T
	if err := fetchStatus(ctx, d, kind, &value); err != nil {
		return err
	}
	return o.out.answer(value, tableOf(value))
}

func groupTable(groups []status.Group) table {
	t := table{header: []string{"GROUP", "TERM", "VERSION", "PRIMARY", "POOLER", "PROMOTERS"}}
	for _, g := range groups {
		var promoters []string
		for _, p := range g.Promoters {
			mark := ""
			if p.Synced {
				mark = "*"
			}
			promoters = append(promoters, string(p.VM)+":"+string(p.Replica)+mark)
		}
		t.rows = append(t.rows, []string{
			string(g.Group), formatNumber(g.Term), formatNumber(g.Version), orDash(string(g.Primary)),
			orDash(string(g.Pooler)), orDash(strings.Join(promoters, ",")),
		})
	}
	return t
}

func targetTable(targets []status.Target) table {
	t := table{header: []string{"TARGET", "GROUP", "DATA CENTRE", "ADDRESS", "ROLE", "LEAVING", "POOLER"}}
	for _, x := range targets {
		role := map[bool]string{true: "primary", false: "replica"}[x.Primary]
		t.rows = append(t.rows, []string{
			string(x.Target), string(x.Group), string(x.DataCentre), x.Address, role,
			orDash(map[bool]string{true: "yes"}[x.Leaving]), orDash(string(x.Pooler)),
		})
	}
	return t
}

func vmTable(vms []status.VM) table {
	t := table{header: []string{"VM", "DATA CENTRE", "PEER ADDRESS", "STATE"}}
	for _, vm := range vms {
		t.rows = append(t.rows, []string{string(vm.VM), string(vm.DataCentre), vm.PeerAddress, vm.State})
	}
	return t
}

func sessionTable(s status.Sessions) table {
	return table{
		header: []string{"VM", "SESSIONS", "SERVING", "RUNNING"},
		rows:   [][]string{{string(s.VM), strconv.Itoa(s.Sessions), strconv.FormatBool(s.Serving), strconv.Itoa(s.Running)}},
	}
}

// configAnswer is the configuration that one daemon has in force, or the error of
// reading it.
type configAnswer struct {
	status.Config
	Error string `json:"error,omitempty"`
}

func configTable(answers []configAnswer) table {
	t := table{header: []string{"VM", "CONFIG", "PRESET", "SWITCH", "SINCE", "PLATFORM AGE"}}
	for _, a := range answers {
		if a.Error != "" {
			t.rows = append(t.rows, []string{string(a.VM), orDash(""), orDash(""), orDash(""), orDash(""), a.Error})
			continue
		}
		t.rows = append(t.rows, []string{
			string(a.VM), formatNumber(a.Config.Config), orDash(a.Preset), formatNumber(a.PresetVersion),
			formatTime(a.Since), a.PlatformAge.Std().String(),
		})
	}
	return t
}

// configStatus prints the configuration that each daemon has in force. It calls every
// VM in the membership list of the daemon that the settings name, except VMs listed as
// dead.
func (o *online) configStatus(ctx context.Context) error {
	d, err := o.daemon()
	if err != nil {
		return err
	}
	var vms []status.VM
	if err := fetchStatus(ctx, d, status.KindVMs, &vms); err != nil {
		return err
	}
	answers := o.fetchConfigs(ctx, vms)
	return o.out.answer(answers, configTable(answers))
}

func (o *online) fetchConfigs(ctx context.Context, vms []status.VM) []configAnswer {
	answers := make([]configAnswer, len(vms))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wait sync.WaitGroup
	for i, vm := range vms {
		if vm.State == membership.Dead.String() {
			answers[i] = configAnswer{Config: status.Config{VM: vm.VM}, Error: vm.State}
			continue
		}
		wait.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-semaphore }()
			answers[i] = o.fetchConfig(ctx, vm)
		}()
	}
	wait.Wait()
	return answers
}

func (o *online) fetchConfig(ctx context.Context, vm status.VM) configAnswer {
	answer := configAnswer{}
	if err := fetchStatus(ctx, o.daemonAt(vm.PeerAddress), status.KindConfig, &answer.Config); err != nil {
		return configAnswer{Config: status.Config{VM: vm.VM}, Error: err.Error()}
	}
	return answer
}

// explain prints where the daemon that the settings name would send a request, and why.
func (o *online) explain(ctx context.Context, c *explainCommand) error {
	d, err := o.daemon()
	if err != nil {
		return err
	}
	req := &peerpb.ExplainRequest{Service: c.Service, Class: c.Class, Group: c.Group}
	if c.Floor != "" {
		floor, err := position.Parse(c.Floor)
		if err != nil {
			return result.New(result.BadOption, "--floor: %v", err)
		}
		req.Floor = peers.PositionTo(floor)
	}
	resp, err := d.Explain(ctx, req)
	var explanation routing.Explanation
	if err := decodeStatus(resp, err, &explanation); err != nil {
		return err
	}
	if o.out.json {
		return o.out.writeJSON(json.RawMessage(resp.Json))
	}
	return o.out.line(nil, "%s", explanation.String())
}
