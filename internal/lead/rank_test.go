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

// A data centre of thirty VMs is cut off, together with the coordinator, which is there because
// that data centre holds no primary. A VM elsewhere takes the groups over at once: callers of all
// groups must not wait for the takeover delays of the thirty.
func TestVMsInOtherDataCentresTakeOverFirst(t *testing.T) {
	shortest := time.Hour
	for self := range 90 {
		d := directory.New(vmNumber(self))
		for i := range 90 {
			d.SetVM(vmNumber(i))
		}
		d.SetTarget(directory.Target{Target: topology.Target{ID: "p", Group: "g", DataCentre: "dc-1"}, ClaimsPrimary: true})
		d.SetTarget(directory.Target{Target: topology.Target{ID: "q", Group: "h", DataCentre: "dc-2"}, ClaimsPrimary: true})
		l := &Lead{Options: Options{Directory: d}, self: vmNumber(self), holder: lease.NewHolder()}
		if in := vmNumber(self).DataCentre; in != "dc-0" {
			shortest = min(shortest, l.takeoverDelay("vm-0"))
		}
	}
	if shortest != 0 {
		t.Fatalf("the first VM elsewhere waits %v", shortest)
	}
}

func vmNumber(i int) topology.VM {
	return topology.VM{ID: topology.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: topology.DataCentre(fmt.Sprintf("dc-%d", i%3))}
}

// A VM that has just started knows the coordinator from the store only. If asked, it must not
// report it as reachable: a single such opinion kept a silent coordinator in place.
func TestAVMWithoutMessagesReportsNoCoordinatorReachable(t *testing.T) {
	clock := &mono.Manual{T: mono.Time(time.Minute)}
	l := New(Options{Directory: directory.New(vmNumber(1)), Clock: clock})
	l.coordinatorState["vm-0"] = coordinatorState{lastAnswer: clock.Now()} // As at the adoption of its row.
	if l.reachable("vm-0") {
		t.Fatal("it reports a VM as reachable without any message from it")
	}
	l.lastMessage["vm-0"] = clock.Now()
	if !l.reachable("vm-0") {
		t.Fatal("it reports a VM as unreachable that sent it a message")
	}
}
