package lead

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a healthy primary that is replaced because of the report of one VM among many:
// before any callers connect, no other VM reports.
func TestOneVMOfManyDoesNotReplaceAPrimary(t *testing.T) {
	for _, c := range []struct {
		vms, failing int
		want         bool
	}{
		{vms: 300, failing: 1, want: false},
		{vms: 300, failing: 2, want: false},
		{vms: 300, failing: 3, want: true},
		{vms: 3, failing: 1, want: false},
		{vms: 3, failing: 2, want: true},
		{vms: 2, failing: 1, want: true},
		{vms: 1, failing: 1, want: true},
	} {
		clock := &mono.Manual{T: mono.Time(time.Minute)}
		d := directory.New(vmNumber(0))
		for i := range c.vms {
			d.SetVM(vmNumber(i))
		}
		l := New(Options{Directory: d, Clock: clock})
		row := &lease.Row{Group: "g", Version: 1, Primary: "a"}
		l.reports["g"] = map[topology.VMID]report{}
		for i := range c.failing {
			l.reports["g"][vmNumber(i).ID] = report{at: clock.Now(), target: "a", failing: time.Second}
		}
		if got := l.hasFailed(row, clock.Now()); got != c.want {
			t.Errorf("the primary fails for %d of %d VMs, and no others report: replaced %v", c.failing, c.vms, got)
		}
	}
}

// Guards against a failed primary that most VMs report as reached: each sends it few requests and
// got its last answer before the failure.
func TestAnOldAnswerDoesNotCountAsReached(t *testing.T) {
	_, vm, clock := newPair(1)
	answered := clock.Now()
	for _, c := range []struct {
		later time.Duration
		want  bool
	}{{later: 100 * time.Millisecond, want: true}, {later: failedAfter + renewPeriod, want: false}} {
		clock.T = answered.Add(c.later)
		vm.Health = fixedAnswerTime{at: answered}
		if got := vm.entryFor(groupNumber(0), rowNumber(0)).Reached; got != c.want {
			t.Errorf("%v after the last answer: reached %v", c.later, got)
		}
	}
}

// fixedAnswerTime is the health of targets that last answered at a fixed time.
type fixedAnswerTime struct{ at mono.Time }

func (l fixedAnswerTime) Load(topology.TargetID) (target.Load, bool) {
	return target.Load{LastAnswer: l.at}, true
}

func (fixedAnswerTime) Starved() []topology.TargetID { return nil }

func (fixedAnswerTime) LimitToShare([]topology.TargetID) {}
