package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// A data centre of thirty VMs is cut off, with the coordinator, which stands there since it
// holds no primary. Some VM elsewhere takes the groups over at once: callers of all groups
// must not wait for the thirty to have had their turn.
func TestVMsElsewhereComeFirstAfterACoordinator(t *testing.T) {
	shortest := time.Hour
	for self := range 90 {
		d := directory.New(vmNumber(self))
		for i := range 90 {
			d.SetVM(vmNumber(i))
		}
		d.SetTarget(directory.Target{Target: topology.Target{ID: "p", Group: "g", DataCentre: "dc-1"}, ReportsPrimary: true})
		d.SetTarget(directory.Target{Target: topology.Target{ID: "q", Group: "h", DataCentre: "dc-2"}, ReportsPrimary: true})
		l := &Lead{Options: Options{Directory: d}, self: vmNumber(self), holder: lease.NewHolder()}
		if in := vmNumber(self).DataCentre; in != "dc-0" {
			shortest = min(shortest, l.delay("vm-0"))
		}
	}
	if shortest != 0 {
		t.Fatalf("the first VM elsewhere waits %v", shortest)
	}
}

func vmNumber(i int) topology.VM {
	return topology.VM{ID: topology.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: topology.DataCentre(fmt.Sprintf("dc-%d", i%3))}
}

// A VM has just started and knows the coordinator from the store only. Asked whether it hears
// it, it must not say yes: by one such word a silent coordinator was kept.
func TestAVMThatHasHeardNothingDoesNotVouch(t *testing.T) {
	clock := &mono.Manual{T: mono.Time(time.Minute)}
	l := New(Options{Directory: directory.New(vmNumber(1)), Clock: clock})
	l.answers["vm-0"] = answers{last: clock.Now()} // As at the adoption of its row.
	if l.hears("vm-0") {
		t.Fatal("it vouches for a VM that it never heard")
	}
	l.heard["vm-0"] = clock.Now()
	if !l.hears("vm-0") {
		t.Fatal("it does not vouch for a VM that it hears")
	}
}
