package directory

import (
	"fmt"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func targetNumber(i int) Target {
	return Target{
		Target:       topology.Target{ID: topology.TargetID(fmt.Sprintf("i-%d@1", i)), Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)},
		Registration: fmt.Sprint("i-", i), Started: 1,
	}
}

// Guards against registrations that are compared with all targets: a listing, and each heartbeat, would cost
// more the more targets there are.
func TestARegistrationIsComparedWithItsOwnKeyAndAddressOnly(t *testing.T) {
	for _, targets := range []int{90, 300, 900, 3000} {
		d := New(topology.VM{ID: "vm-1"})
		for i := range targets {
			d.SetTarget(targetNumber(i))
		}
		again := targetNumber(7)
		if related := d.index.related(&again); len(related) != 1 {
			t.Errorf("%d targets: compared with %d", targets, len(related))
		}
	}
}

// Guards against an index that keeps what has moved or gone.
func TestTheIndexFollowsTheTargets(t *testing.T) {
	d := New(topology.VM{ID: "vm-1"})
	moved := targetNumber(1)
	d.SetTarget(moved)
	moved.Address = "10.9.9.9:1"
	d.SetTarget(moved)
	later := targetNumber(2)
	later.Address = "10.0.0.1:1" // The former address of the one that moved.
	later.Started = 5
	d.SetTarget(later)
	if known, _ := d.Target(moved.ID); known.Superseded {
		t.Fatal("a target is superseded by one at its former address")
	}
	d.RemoveRegistration("i-1")
	if len(d.index.byRegistration) != 1 || len(d.index.byAddress) != 1 {
		t.Fatalf("left in the index: %v, %v", d.index.byRegistration, d.index.byAddress)
	}
}
