package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/settings"
)

// Fault is one step of the fault plan.
type Fault struct {
	// At is the time from the start of the run.
	At     settings.Duration `json:"at"`
	Action Action            `json:"action"`
	// Target is a process name of the pid file, "primary:service/group" for the
	// database that is the group's primary at that time, or a database's id for
	// the replication delay. For a platform fault it is a prefix of the callers
	// that the fault applies to.
	Target string `json:"target"`
	// Value is the parameter of the action: the delay, the latency, or the share
	// of lost answers.
	Value string `json:"value"`
	// For is the time after which the fault is undone; 0 leaves it in place.
	For settings.Duration `json:"for"`
	// isReversal is set when the fault undoes an earlier one.
	isReversal bool
}

// Action is what a fault does.
type Action string

// The actions of faults.
const (
	Kill                Action = "kill"
	Freeze              Action = "freeze"
	Thaw                Action = "thaw"
	Terminate           Action = "term"
	ReplicationDelay    Action = "replication-delay"
	PlatformOutage      Action = "platform-outage"
	PlatformLatency     Action = "platform-latency"
	PlatformLostAnswers Action = "platform-lost-answers"
	PlatformHealthy     Action = "platform-healthy"
)

// primaryPrefix marks a target that is the group's primary at the time of the
// fault.
const primaryPrefix = "primary:"

func (f Fault) signals() bool {
	return f.Action == Kill || f.Action == Freeze || f.Action == Thaw || f.Action == Terminate
}

// mayStopWrites reports whether writes may stop, so that the gap without completed
// writes is measured.
func (f Fault) mayStopWrites() bool {
	return f.Action != Thaw && f.Action != PlatformHealthy && f.Action != ReplicationDelay
}

// String names the fault in logs and reports.
func (f Fault) String() string {
	parts := []string{string(f.Action)}
	for _, p := range []string{f.Target, f.Value} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, " ")
}

// reversal returns the fault that undoes f, and whether f is to be undone.
func (f Fault) reversal() (Fault, bool) {
	undo := Fault{At: f.At + f.For, Target: f.Target, isReversal: true}
	switch f.Action {
	case Freeze:
		undo.Action = Thaw
	case ReplicationDelay:
		undo.Action, undo.Value = ReplicationDelay, "0s"
	case PlatformOutage, PlatformLatency, PlatformLostAnswers:
		undo.Action, undo.Target = PlatformHealthy, ""
	default:
		return Fault{}, false
	}
	return undo, f.For > 0
}

func checkFaults(faults []Fault) error {
	for _, f := range faults {
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (f Fault) check() error {
	var err error
	switch f.Action {
	case Kill, Freeze, Thaw, Terminate:
		if f.Target == "" {
			err = errors.New("target is missing")
		}
	case ReplicationDelay, PlatformLatency:
		_, err = time.ParseDuration(f.Value)
	case PlatformLostAnswers:
		_, err = strconv.ParseFloat(f.Value, 64)
	case PlatformOutage, PlatformHealthy:
	default:
		err = errors.Newf("no action %q", f.Action)
	}
	if err != nil {
		return invalid("fault %q: %v", f, err)
	}
	return nil
}

// ParseFault parses a fault of the form at,action[,target[,value[,for]]].
func ParseFault(text string) (Fault, error) {
	parts := strings.Split(text, ",")
	const maxParts = 5
	if len(parts) < 2 || len(parts) > maxParts {
		return Fault{}, invalid("fault %q is not at,action,target,value,for", text)
	}
	parts = append(parts, make([]string, maxParts-len(parts))...)
	f := Fault{Action: Action(parts[1]), Target: parts[2], Value: parts[3]}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return f, invalid("fault %q: %v", text, err)
	}
	f.At = settings.Duration(at)
	if parts[4] != "" {
		duration, err := time.ParseDuration(parts[4])
		if err != nil {
			return f, invalid("fault %q: %v", text, err)
		}
		f.For = settings.Duration(duration)
	}
	return f, f.check()
}
