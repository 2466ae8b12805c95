package load

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// Injection is a fault that was carried out.
type Injection struct {
	Fault string        `json:"fault"`
	At    time.Duration `json:"at_ns"`
	// Group whose targets it hit; empty for faults of the platform.
	Group string `json:"group,omitempty"`
	// Hit is the process or database that it hit.
	Hit   string `json:"hit,omitempty"`
	Error string `json:"error,omitempty"`
	// gap: writes may stop, so the group's gap is measured.
	gap bool
}

// stops reports whether writes may stop by the fault, which did happen.
func (n *Injection) stops() bool { return n.gap && n.Error == "" }

// injector carries out the fault plan.
type injector struct {
	conf      *config.View
	processes Processes
	standIn   platformpb.StandIn
	log       *slog.Logger
	since     func() time.Duration

	// hits keeps which process a "primary:" target was when it was frozen or
	// slowed: after a failover the same words mean another one.
	hits map[string]string

	mu         sync.Mutex
	injections []Injection
}

func newInjector(o Options, since func() time.Duration) *injector {
	i := &injector{conf: o.Config, processes: o.Processes, log: o.Log, since: since, hits: map[string]string{}}
	if url := o.Profiles[0].PlatformURL; url != "" {
		i.standIn = platformpb.NewStandInProtobufClient(url, http.DefaultClient)
	}
	return i
}

// schedule orders the faults and those that undo them.
func schedule(faults []Fault) []Fault {
	all := slices.Clone(faults)
	for _, f := range faults {
		if undo, ok := f.reversal(); ok {
			all = append(all, undo)
		}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// run carries out the plan until ctx ends.
func (i *injector) run(ctx context.Context, faults []Fault) {
	for _, f := range schedule(faults) {
		if !sleepUntil(ctx, i.since, f.At.Std()) {
			return
		}
		i.inject(ctx, f)
	}
}

// faultTimeout bounds one fault's own request.
const faultTimeout = 3 * time.Second

func (i *injector) inject(ctx context.Context, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	n := Injection{Fault: f.String(), gap: f.stopsWrites()}
	var err error
	n.Hit, err = i.resolve(ctx, f)
	if t, ok := i.conf.Target(topology.TargetID(n.Hit)); ok {
		n.Group = string(t.Group)
	}
	n.At = i.since()
	if err == nil {
		err = i.carryOut(ctx, f, n.Hit)
	}
	if err != nil {
		n.Error = err.Error()
	}
	i.log.Info("event=fault", "fault", f, "hit", n.Hit, "error", err)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.injections = append(i.injections, n)
}

// resolve finds the process or database that the fault means.
func (i *injector) resolve(ctx context.Context, f Fault) (string, error) {
	group, ok := strings.CutPrefix(f.Target, primaryPrefix)
	if !ok {
		return f.Target, nil
	}
	if hit, known := i.hits[f.Target]; known && f.undoes {
		return hit, nil
	}
	hit, err := i.primary(ctx, topology.GroupID(group))
	i.hits[f.Target] = hit
	return hit, err
}

func (i *injector) carryOut(ctx context.Context, f Fault, target string) error {
	if f.signals() {
		return i.processes.Signal(target, f.Action)
	}
	if f.Action == ReplicationDelay {
		return i.delayReplication(ctx, topology.TargetID(target), f.Value)
	}
	if i.standIn == nil {
		return invalid("the profile has no platform_url")
	}
	_, err := i.standIn.SetFaults(ctx, &platformpb.SetFaultsRequest{Faults: platformFaults(f)})
	return err
}

// platformFaults translates a fault; none is the healthy platform.
func platformFaults(f Fault) []*platformpb.Fault {
	p := &platformpb.Fault{CallerPrefix: f.Target}
	switch f.Action {
	case PlatformOutage:
		p.Unavailable = true
	case PlatformLatency:
		d, _ := time.ParseDuration(f.Value) // Checked with the profile.
		p.LatencyMs = uint32(d.Milliseconds())
	case PlatformLoss:
		p.LostAnswers, _ = strconv.ParseFloat(f.Value, 64) // Checked with the profile.
	default:
		return nil
	}
	return []*platformpb.Fault{p}
}

func (i *injector) done() []Injection {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.injections)
}

// sleepUntil returns false when ctx ended first.
func sleepUntil(ctx context.Context, since func() time.Duration, at time.Duration) bool {
	timer := time.NewTimer(at - since())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// undo ends the faults that were to be undone later than the load's end.
// It runs after an interrupt too: a process left frozen would outlive the tool.
func (i *injector) undo(ctx context.Context, faults []Fault) {
	ctx = context.WithoutCancel(ctx)
	injected := map[string]bool{}
	for _, n := range i.done() {
		injected[n.Fault] = true
	}
	for _, f := range faults {
		undo, ok := f.reversal()
		if ok && injected[f.String()] && undo.At.Std() > i.since() {
			i.inject(ctx, undo)
		}
	}
}
