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

// Injection is a fault that was injected, or failed to be.
type Injection struct {
	Fault string        `json:"fault"`
	At    time.Duration `json:"at_ns"`
	// Group is the group of the target that the fault hit; empty when it hit no
	// target.
	Group string `json:"group,omitempty"`
	// Hit is the process or database that the fault hit.
	Hit   string `json:"hit,omitempty"`
	Error string `json:"error,omitempty"`
	// writesMayStop is set when the fault may stop writes, so that the group's gap
	// is measured.
	writesMayStop bool
}

// measuresGap reports whether the gap is measured: the fault may stop writes and
// its injection succeeded.
func (n *Injection) measuresGap() bool { return n.writesMayStop && n.Error == "" }

// injector injects the faults of the plan.
type injector struct {
	conf      *config.View
	processes Processes
	standIn   platformpb.StandIn
	log       *slog.Logger
	elapsed   func() time.Duration

	// resolvedPrimaries maps a "primary:" target to the process that it resolved
	// to, so that undoing a fault reaches the same process: after a failover
	// another one is primary.
	resolvedPrimaries map[string]string

	mu         sync.Mutex
	injections []Injection
}

func newInjector(o Options, elapsed func() time.Duration) *injector {
	i := &injector{conf: o.Config, processes: o.Processes, log: o.Log, elapsed: elapsed, resolvedPrimaries: map[string]string{}}
	if url := o.Profiles[0].PlatformURL; url != "" {
		i.standIn = platformpb.NewStandInProtobufClient(url, http.DefaultClient)
	}
	return i
}

// schedule returns the faults and their reversals ordered by time.
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

// run injects the faults of the plan at their times until ctx ends.
func (i *injector) run(ctx context.Context, faults []Fault) {
	for _, f := range schedule(faults) {
		if !sleepUntil(ctx, i.elapsed, f.At.Std()) {
			return
		}
		i.inject(ctx, f)
	}
}

// faultTimeout bounds the injection of one fault.
const faultTimeout = 3 * time.Second

func (i *injector) inject(ctx context.Context, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	n := Injection{Fault: f.String(), writesMayStop: f.mayStopWrites()}
	var err error
	n.Hit, err = i.resolve(ctx, f)
	if t, ok := i.conf.Target(topology.TargetID(n.Hit)); ok {
		n.Group = string(t.Group)
	}
	n.At = i.elapsed()
	if err == nil {
		err = i.apply(ctx, f, n.Hit)
	}
	if err != nil {
		n.Error = err.Error()
	}
	i.log.Info("event=fault", "fault", f, "hit", n.Hit, "error", err)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.injections = append(i.injections, n)
}

// resolve returns the process or database that the fault's target names.
func (i *injector) resolve(ctx context.Context, f Fault) (string, error) {
	group, ok := strings.CutPrefix(f.Target, primaryPrefix)
	if !ok {
		return f.Target, nil
	}
	if hit, known := i.resolvedPrimaries[f.Target]; known && f.isReversal {
		return hit, nil
	}
	hit, err := i.primary(ctx, topology.GroupID(group))
	i.resolvedPrimaries[f.Target] = hit
	return hit, err
}

func (i *injector) apply(ctx context.Context, f Fault, target string) error {
	if f.signals() {
		return i.processes.Signal(target, f.Action)
	}
	if f.Action == ReplicationDelay {
		return i.setReplicationDelay(ctx, topology.TargetID(target), f.Value)
	}
	if i.standIn == nil {
		return invalid("the profile has no platform_url")
	}
	_, err := i.standIn.SetFaults(ctx, &platformpb.SetFaultsRequest{Faults: platformFaults(f)})
	return err
}

// platformFaults converts a fault to those of the platform stand-in. An empty list
// makes the platform healthy.
func platformFaults(f Fault) []*platformpb.Fault {
	p := &platformpb.Fault{CallerPrefix: f.Target}
	switch f.Action {
	case PlatformOutage:
		p.Unavailable = true
	case PlatformLatency:
		d, _ := time.ParseDuration(f.Value) // Checked with the profile.
		p.LatencyMs = uint32(d.Milliseconds())
	case PlatformLostAnswers:
		p.LostAnswers, _ = strconv.ParseFloat(f.Value, 64) // Checked with the profile.
	default:
		return nil
	}
	return []*platformpb.Fault{p}
}

func (i *injector) performed() []Injection {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.injections)
}

// sleepUntil waits until elapsed reaches at. It returns false when ctx ended first.
func sleepUntil(ctx context.Context, elapsed func() time.Duration, at time.Duration) bool {
	timer := time.NewTimer(at - elapsed())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// undo undoes the faults whose end lies after the end of the load. It
// runs after an interrupt too: otherwise a frozen process would stay frozen after
// the tool has exited.
func (i *injector) undo(ctx context.Context, faults []Fault) {
	ctx = context.WithoutCancel(ctx)
	injected := map[string]bool{}
	for _, n := range i.performed() {
		injected[n.Fault] = true
	}
	for _, f := range faults {
		undo, ok := f.reversal()
		if ok && injected[f.String()] && undo.At.Std() > i.elapsed() {
			i.inject(ctx, undo)
		}
	}
}
