package lease_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	second = mono.Time(time.Second)
	// halfDuration is half the time for which a right is valid.
	halfDuration = mono.Time(lease.Duration / 2)
	// duration is how long a right is valid, and lapsed the time after which it has lapsed
	// by every VM's clock.
	duration = mono.Time(lease.Duration)
	lapsed   = duration + duration/10
)

func firstRow() *lease.Row {
	return &lease.Row{Group: "g", Version: 1, Term: 3, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
}

func vms(ids ...topology.VMID) []topology.VM {
	var all []topology.VM
	for _, id := range ids {
		all = append(all, topology.VM{ID: id, Incarnation: 1})
	}
	return all
}

func checkRightsEnded(t *testing.T, c *lease.Coordinator, registered []topology.VM, now mono.Time, want bool) {
	t.Helper()
	if got := c.RightsEnded("g", registered, now); got != want {
		t.Fatalf("at %v rights ended: %v, want %v", time.Duration(now), got, want)
	}
}

// A VM is paused after it has sent a statement. When it resumes, the primary has answered,
// but another primary may have been promoted meanwhile: the write must not be
// acknowledged to the caller.
func TestConfirmFailsAfterPause(t *testing.T) {
	h := lease.NewHolder()
	h.Adopt(firstRow())
	h.RecordPromise("g", 1, 10*second)
	right, ok := h.Right("g", 10*second)
	if !ok || !h.Confirm(right, 10*second+halfDuration) {
		t.Fatal("no right after a promise")
	}
	if h.Confirm(right, 10*second+2*halfDuration) {
		t.Fatal("the right outlived its promise")
	}
}

// Promises alone keep the right while the store can't be reached, and reads of the row alone
// keep it while the coordinator can't.
func TestEitherSourceSuffices(t *testing.T) {
	h := lease.NewHolder()
	h.Adopt(firstRow())
	h.RecordRead("g", 1, 10*second)
	if _, ok := h.Right("g", 10*second+halfDuration); !ok {
		t.Fatal("a read gives no right")
	}
	h.RecordPromise("g", 1, 12*second)
	if _, ok := h.Right("g", 12*second+halfDuration); !ok {
		t.Fatal("a promise gives no right")
	}
	h.RecordRead("g", 0, 20*second)
	if _, ok := h.Right("g", 20*second); ok {
		t.Fatal("a read of an older row gave a right")
	}
}

// Another VM takes the group over. A right from a VM's own read stays valid, so that no
// request has to wait for the new coordinator. A promise of the former coordinator does
// not, and neither is valid once the row is closed.
func TestReadStaysValidAfterTakeover(t *testing.T) {
	h := lease.NewHolder()
	h.Adopt(firstRow())
	h.RecordRead("g", 1, 10*second)
	h.RecordPromise("g", 1, 11*second)
	taken := firstRow().TakenBy("vm-2", 1, "vm-2", nil)
	h.Adopt(taken)
	if _, ok := h.Right("g", 10*second+halfDuration); !ok {
		t.Fatal("the read no longer gives a right")
	}
	if _, ok := h.Right("g", 11*second+halfDuration); ok {
		t.Fatal("the former coordinator's promise still gives a right")
	}
	h.Adopt(taken.Closed("x"))
	h.Adopt(taken.Closed("x").Resumed())
	if _, ok := h.Right("g", 10*second+halfDuration); ok {
		t.Fatal("a read from before the row was closed gives a right")
	}
}

// The primary fails while one VM can't be reached. The rights of that VM lapse with time,
// those of the others end when they adopt the closed row. Only then is a promotion safe.
func TestPromotionWaitsForEveryVM(t *testing.T) {
	c := lease.NewCoordinator("vm-1", 1)
	row := firstRow()
	c.Observe(row, 11*second, 11*second)
	if !c.Promise("g", "vm-2", 1, 1, 11*second) || !c.Promise("g", "vm-3", 1, 1, 11*second) {
		t.Fatal("no promise under an open row")
	}
	c.Withdraw("g")
	if c.Promise("g", "vm-2", 1, 1, 11*second) {
		t.Fatal("promised while the row is being closed")
	}
	closed := row.Closed("primary_failed")
	c.Observe(closed, 11*second, 11*second)
	registered := vms("vm-1", "vm-2", "vm-3")
	c.Promise("g", "vm-1", 1, 2, 11*second)
	c.Promise("g", "vm-2", 1, 2, 11*second)
	checkRightsEnded(t, c, registered, 11*second, false)
	checkRightsEnded(t, c, registered, 11*second+duration, false)
	checkRightsEnded(t, c, registered, 11*second+lapsed, true)
	c.Promise("g", "vm-3", 1, 2, 11*second)
	checkRightsEnded(t, c, registered, 11*second, true)
}

// A coordinator is cut off from the store and from the VM that took over, and goes
// on giving promises to the VMs on its side until its limit. After an earlier promotion
// these VMs would still acknowledge requests to the replaced primary.
func TestTakeoverWaitsForEarlierCoordinator(t *testing.T) {
	c := lease.NewCoordinator("vm-2", 1)
	taken := firstRow().TakenBy("vm-2", 1, "vm-2", nil)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("primary_failed"), 11*second, 11*second)
	registered := vms("vm-1", "vm-2")
	c.Promise("g", "vm-2", 1, 3, 11*second)
	checkRightsEnded(t, c, registered, 15*second, false)
	limit := 10*second + mono.Time(lease.CoordinatorLimit)
	checkRightsEnded(t, c, registered, limit+duration, false)
	checkRightsEnded(t, c, registered, limit+lapsed, true)
	c.Promise("g", "vm-1", 1, 3, 12*second)
	checkRightsEnded(t, c, registered, 12*second, true)
}

// A VM that has restarted has lost what it adopted, and may have a right from its own
// read: what its former process confirmed must not count.
func TestAdoptionByEarlierIncarnationIsIgnored(t *testing.T) {
	c := lease.NewCoordinator("vm-1", 1)
	row := firstRow()
	c.Observe(row, 10*second, 10*second)
	c.Observe(row.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-1", 1, 2, 10*second)
	c.Promise("g", "vm-2", 1, 2, 10*second)
	registered := vms("vm-1", "vm-2")
	registered[1].Incarnation = 2
	checkRightsEnded(t, c, registered, 10*second, false)
}

// No VM can reach the store. The coordinator is in contact with most of its witnesses, so
// no other VM can have taken over with them, and writes continue up to its limit.
func TestPromisesContinueDuringStoreOutage(t *testing.T) {
	row := firstRow()
	row.Witnesses = []topology.VMID{"vm-1", "vm-2", "vm-3"}
	c := lease.NewCoordinator("vm-1", 1)
	c.Observe(row, 10*second, 10*second)
	for now := 11 * second; now < 22*second; now += second / 2 {
		c.Promise("g", "vm-1", 1, 1, now)
		if !c.Promise("g", "vm-2", 1, 1, now) {
			t.Fatalf("stopped at %v", time.Duration(now))
		}
	}
	if c.Promise("g", "vm-2", 1, 1, 23*second) {
		t.Fatal("promised past its limit")
	}
}

// A coordinator is cut off together with one VM. It can't know whether another VM has taken
// over, so it must stop: that VM would go on using a replaced primary.
func TestCoordinatorInMinorityStops(t *testing.T) {
	row := firstRow()
	row.Witnesses = []topology.VMID{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	c := lease.NewCoordinator("vm-1", 1)
	c.Observe(row, 10*second, 10*second)
	c.Promise("g", "vm-1", 1, 1, 10*second+halfDuration)
	if !c.Promise("g", "vm-2", 1, 1, 10*second+halfDuration) {
		t.Fatal("stopped although it read the row just before")
	}
	c.Promise("g", "vm-1", 1, 1, 13*second)
	if c.Promise("g", "vm-2", 1, 1, 13*second) {
		t.Fatal("promised without the store and most witnesses")
	}
}

// The coordinator's machine is permanently lost. Most of its witnesses have adopted the
// takeover, so a primary can be replaced long before the former coordinator's limit.
func TestWitnessesShortenWaitForCoordinator(t *testing.T) {
	row := firstRow()
	row.Witnesses = []topology.VMID{"vm-1", "vm-2", "vm-3"}
	c := lease.NewCoordinator("vm-2", 1)
	taken := row.TakenBy("vm-2", 1, "vm-2", row.Witnesses)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-2", 1, 3, 10*second)
	c.Promise("g", "vm-3", 1, 3, 10*second)
	registered := vms("vm-1", "vm-2", "vm-3")
	checkRightsEnded(t, c, registered, 10*second+duration+halfDuration, false)
	checkRightsEnded(t, c, registered, 12*second, true)
}

func TestRowAfterHandover(t *testing.T) {
	row := firstRow().Closed("x").WithCandidate("b", position.Position{Term: 3, Index: 9}, true).Opened(4)
	if row.Version != 4 || row.Term != 4 || row.Primary != "b" || !row.Open() {
		t.Fatalf("%+v", row)
	}
	if !row.Topology().Lost(position.Position{Term: 3, Index: 10}) {
		t.Fatal("the end of the term is not kept")
	}
}

// A coordinator's process is killed, restarts and takes its group back. Its former process
// gives no more promises, so a permanently lost VM is waited for only as long as a right is
// valid, and not as long as a coordinator that is cut off.
func TestRestartedCoordinatorIsKnownToHaveStopped(t *testing.T) {
	c := lease.NewCoordinator("vm-1", 2)
	taken := firstRow().TakenBy("vm-1", 2, "vm-1", nil)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-1", 2, 3, 10*second)
	gone := vms("vm-1", "vm-gone")
	checkRightsEnded(t, c, gone, 10*second+duration, false)
	checkRightsEnded(t, c, gone, 10*second+lapsed, true)
}

// The former coordinator comes back after another VM took over, and reports that it has
// adopted the takeover: its earlier promises lapse within the duration of a right.
func TestFormerCoordinatorAdoptsTakeover(t *testing.T) {
	c := lease.NewCoordinator("vm-2", 1)
	taken := firstRow().TakenBy("vm-2", 1, "vm-2", nil)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("x"), 11*second, 11*second)
	c.Promise("g", "vm-2", 1, 3, 11*second)
	c.Promise("g", "vm-1", 1, 3, 12*second)
	gone := vms("vm-1", "vm-2", "vm-gone")
	checkRightsEnded(t, c, gone, 12*second+duration, false)
	checkRightsEnded(t, c, gone, 12*second+lapsed, true)
}

// Two takeovers happen in quick succession. The first coordinator is cut off and knows of
// neither. That the second coordinator has adopted the last takeover does not mean that
// the first one has stopped.
func TestASecondTakeoverAlsoWaitsForTheFirstCoordinator(t *testing.T) {
	first := firstRow()
	first.Witnesses = []topology.VMID{"vm-1", "vm-4", "vm-5"}
	taken := first.TakenBy("vm-2", 1, "vm-2", []topology.VMID{"vm-2"})
	third := taken.TakenBy("vm-3", 1, "vm-3", []topology.VMID{"vm-3"})
	c := lease.NewCoordinator("vm-3", 1)
	c.Observe(third, 10*second, 10*second)
	c.Observe(third.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-3", 1, 4, 10*second)
	c.Promise("g", "vm-2", 1, 4, 10*second)
	registered := vms("vm-1", "vm-2", "vm-3")
	checkRightsEnded(t, c, registered, 13*second, false)
	checkRightsEnded(t, c, registered, 22*second, false)
	checkRightsEnded(t, c, registered, 24*second, true)
	c.Promise("g", "vm-1", 1, 4, 14*second)
	checkRightsEnded(t, c, registered, 14*second, true)
}

// A coordinator hands over while it still waits for an earlier one: its successor must wait, too.
func TestCoordinatorHandoverKeepsFormers(t *testing.T) {
	row := firstRow().TakenBy("vm-2", 1, "vm-2", nil).TakenBy("vm-3", 1, "vm-2", nil)
	if len(row.Formers) != 1 || row.Formers[0].VM != "vm-1" {
		t.Fatalf("%+v", row.Formers)
	}
	if len(row.Settled().Formers) != 0 {
		t.Fatal("a settled row still has earlier coordinators")
	}
}

// Guards against two coordinators: an answer with an older row is applied after the one with the row by which another VM
// took the group over.
func TestAnOlderRowDoesNotRenewTheCoordination(t *testing.T) {
	c := lease.NewCoordinator("vm-1", 1)
	row := firstRow()
	c.Observe(row, second, second)
	c.Observe(row.TakenBy("vm-2", 1, "vm-2", nil), 2*second, 2*second)
	c.Observe(row, second, 3*second)
	if c.Row("g") != nil || c.Promise("g", "vm-3", 1, row.Version, second) {
		t.Fatal("the former coordinator promises again")
	}
}
