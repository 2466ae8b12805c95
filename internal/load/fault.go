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
	// At counts from the start of the run.
	At     settings.Duration `json:"at"`
	Action Action            `json:"action"`
	// Target is a name of the pid file, "primary:service/group" for whichever
	// database is primary then, or a database's id for the replication delay.
	Target string `json:"target"`
	// Value of the action: the delay, the latency, or the share of lost answers.
	Value string `json:"value"`
	// For is how long it lasts before it is undone; 0 leaves it.
	For settings.Duration `json:"for"`
	// undoes: the fault is the reversal of an earlier one.
	undoes bool
}

// Action is what a fault does.
type Action string

// The actions of faults.
const (
	Kill             Action = "kill"
	Freeze           Action = "freeze"
	Thaw             Action = "thaw"
	Terminate        Action = "term"
	ReplicationDelay Action = "replication-delay"
	PlatformOutage   Action = "platform-outage"
	PlatformLatency  Action = "platform-latency"
	PlatformLoss     Action = "platform-lost-answers"
	PlatformHealthy  Action = "platform-healthy"
)

// primaryPrefix begins a target that means the group's primary of the moment.
const primaryPrefix = "primary:"

func (f Fault) signals() bool {
	return f.Action == Kill || f.Action == Freeze || f.Action == Thaw || f.Action == Terminate
}

// stopsWrites: writes may stop, so the gap is measured.
func (f Fault) stopsWrites() bool {
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

// reversal returns the fault that undoes f, if anything does.
func (f Fault) reversal() (Fault, bool) {
	undo := Fault{At: f.At + f.For, Target: f.Target, undoes: true}
	switch f.Action {
	case Freeze:
		undo.Action = Thaw
	case ReplicationDelay:
		undo.Action, undo.Value = ReplicationDelay, "0s"
	case PlatformOutage, PlatformLatency, PlatformLoss:
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
	case PlatformLoss:
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

// ParseFault reads a fault from a flag: at,action[,target[,value[,for]]].
func ParseFault(text string) (Fault, error) {
	parts := strings.Split(text, ",")
	const most = 5
	if len(parts) < 2 || len(parts) > most {
		return Fault{}, invalid("fault %q is not at,action,target,value,for", text)
	}
	parts = append(parts, make([]string, most-len(parts))...)
	f := Fault{Action: Action(parts[1]), Target: parts[2], Value: parts[3]}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return f, invalid("fault %q: %v", text, err)
	}
	f.At = settings.Duration(at)
	if parts[4] != "" {
		lasts, err := time.ParseDuration(parts[4])
		if err != nil {
			return f, invalid("fault %q: %v", text, err)
		}
		f.For = settings.Duration(lasts)
	}
	return f, f.check()
}
