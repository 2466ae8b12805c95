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
	// half of the time that a right lasts.
	half = mono.Time(lease.Duration / 2)
	// right is how long one lasts, and lapsed a moment after which it is over for every clock.
	right  = mono.Time(lease.Duration)
	lapsed = right + right/10
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

func mustEnd(t *testing.T, c *lease.Coordinator, registered []topology.VM, now mono.Time, want bool) {
	t.Helper()
	if got := c.RightsEnded("g", registered, now); got != want {
		t.Fatalf("at %v rights ended: %v, want %v", time.Duration(now), got, want)
	}
}

// A VM freezes after its statement was sent. When it wakes, the primary's answer
// is there, but another primary may have been promoted meanwhile: the caller must
// not be told that its write stands.
func TestConfirmAfterAPause(t *testing.T) {
	h := lease.NewHolder()
	h.Adopt(firstRow())
	h.Promised("g", 1, 10*second)
	right, ok := h.Right("g", 10*second)
	if !ok || !h.Confirm(right, 10*second+half) {
		t.Fatal("no right after a promise")
	}
	if h.Confirm(right, 10*second+2*half) {
		t.Fatal("the right outlived its promise")
	}
}

// The store is out: the coordinator's promises alone keep the right. Then the
// coordinator is cut off: readings of the row alone keep it.
func TestEitherSourceSuffices(t *testing.T) {
	h := lease.NewHolder()
	h.Adopt(firstRow())
	h.Read("g", 1, 10*second)
	if _, ok := h.Right("g", 10*second+half); !ok {
		t.Fatal("a reading gives no right")
	}
	h.Promised("g", 1, 12*second)
	if _, ok := h.Right("g", 12*second+half); !ok {
		t.Fatal("a promise gives no right")
	}
	h.Read("g", 0, 20*second)
	if _, ok := h.Right("g", 20*second); ok {
		t.Fatal("a reading of an older row gave a right")
	}
}

// Another VM takes the group over. What a VM read itself goes on counting, so that no
// request has to wait for the new coordinator; what the former one promised does not,
// nor does either once the row is closed.
func TestAReadingOutlastsAChangeOfTheCoordinator(t *testing.T) {
	h := lease.NewHolder()
	h.Adopt(firstRow())
	h.Read("g", 1, 10*second)
	h.Promised("g", 1, 11*second)
	taken := firstRow().TakenBy("vm-2", 1, "vm-2", nil)
	h.Adopt(taken)
	if _, ok := h.Right("g", 10*second+half); !ok {
		t.Fatal("the reading was dropped")
	}
	if _, ok := h.Right("g", 11*second+half); ok {
		t.Fatal("the former coordinator's promise still counts")
	}
	h.Adopt(taken.Closed("x"))
	h.Adopt(taken.Closed("x").Resumed())
	if _, ok := h.Right("g", 10*second+half); ok {
		t.Fatal("a reading from before the row was closed counts")
	}
}

// The primary fails while one VM can't be reached. Its rights lapse by time, those
// of the others end as they adopt the closed row; then alone a promotion is safe.
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
	mustEnd(t, c, registered, 11*second, false)
	mustEnd(t, c, registered, 11*second+right, false)
	mustEnd(t, c, registered, 11*second+lapsed, true)
	c.Promise("g", "vm-3", 1, 2, 11*second)
	mustEnd(t, c, registered, 11*second, true)
}

// A coordinator is cut off from the store and from the VM that took over, and goes
// on promising to the VMs beside it until its limit. A promotion before that
// would leave them acknowledging at the replaced primary.
func TestTakeoverWaitsForTheEarlierCoordinator(t *testing.T) {
	c := lease.NewCoordinator("vm-2", 1)
	taken := firstRow().TakenBy("vm-2", 1, "vm-2", nil)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("primary_failed"), 11*second, 11*second)
	registered := vms("vm-1", "vm-2")
	c.Promise("g", "vm-2", 1, 3, 11*second)
	mustEnd(t, c, registered, 15*second, false)
	limit := 10*second + mono.Time(lease.CoordinatorLimit)
	mustEnd(t, c, registered, limit+right, false)
	mustEnd(t, c, registered, limit+lapsed, true)
	c.Promise("g", "vm-1", 1, 3, 12*second)
	mustEnd(t, c, registered, 12*second, true)
}

// A VM that started again has lost what it adopted, and may hold a reading of its
// own: what its former process confirmed counts for nothing.
func TestAnEarlierStartsAdoptionDoesNotCount(t *testing.T) {
	c := lease.NewCoordinator("vm-1", 1)
	row := firstRow()
	c.Observe(row, 10*second, 10*second)
	c.Observe(row.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-1", 1, 2, 10*second)
	c.Promise("g", "vm-2", 1, 2, 10*second)
	registered := vms("vm-1", "vm-2")
	registered[1].Incarnation = 2
	mustEnd(t, c, registered, 10*second, false)
}

// The store is out for all. The coordinator hears most of its witnesses, so nobody can
// have taken over with them, and writes go on up to its limit.
func TestPromisesOutlastAnOutageOfTheStore(t *testing.T) {
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

// A coordinator is cut off with one VM beside it. It can't know whether another one
// has taken over, so it stops: the VMs beside it would go on at a replaced primary.
func TestCoordinatorInAMinorityStops(t *testing.T) {
	row := firstRow()
	row.Witnesses = []topology.VMID{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	c := lease.NewCoordinator("vm-1", 1)
	c.Observe(row, 10*second, 10*second)
	c.Promise("g", "vm-1", 1, 1, 10*second+half)
	if !c.Promise("g", "vm-2", 1, 1, 10*second+half) {
		t.Fatal("stopped although it read the row just before")
	}
	c.Promise("g", "vm-1", 1, 1, 13*second)
	if c.Promise("g", "vm-2", 1, 1, 13*second) {
		t.Fatal("goes on without the store and most witnesses")
	}
}

// The coordinator's machine is gone for good. Most of its witnesses follow the one that
// took over, so a primary can be replaced long before the former one's limit.
func TestWitnessesShortenTheWait(t *testing.T) {
	row := firstRow()
	row.Witnesses = []topology.VMID{"vm-1", "vm-2", "vm-3"}
	c := lease.NewCoordinator("vm-2", 1)
	taken := row.TakenBy("vm-2", 1, "vm-2", row.Witnesses)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-2", 1, 3, 10*second)
	c.Promise("g", "vm-3", 1, 3, 10*second)
	registered := vms("vm-1", "vm-2", "vm-3")
	mustEnd(t, c, registered, 10*second+right+half, false)
	mustEnd(t, c, registered, 12*second, true)
}

func TestRowOfAHandover(t *testing.T) {
	row := firstRow().Closed("x").Choosing("b", position.Position{Term: 3, Index: 9}, true).Opened(4)
	if row.Version != 4 || row.Term != 4 || row.Primary != "b" || !row.Open() {
		t.Fatalf("%+v", row)
	}
	if !row.Topology().Lost(position.Position{Term: 3, Index: 10}) {
		t.Fatal("the end of the term is not kept")
	}
}

// A coordinator's process is killed and starts again, and takes its group back. Its
// former process promises nothing any more, so a VM that has gone for good is waited
// for as long as a right lasts, not as long as a coordinator that is cut off.
func TestALaterStartOfTheCoordinatorKnowsThatItEnded(t *testing.T) {
	c := lease.NewCoordinator("vm-1", 2)
	taken := firstRow().TakenBy("vm-1", 2, "vm-1", nil)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("x"), 10*second, 10*second)
	c.Promise("g", "vm-1", 2, 3, 10*second)
	gone := vms("vm-1", "vm-gone")
	mustEnd(t, c, gone, 10*second+right, false)
	mustEnd(t, c, gone, 10*second+lapsed, true)
}

// The former coordinator comes back after another VM took over, and says that it has
// adopted the change: what it promised before lapses within a right's time.
func TestTheFormerCoordinatorAdoptsTheChange(t *testing.T) {
	c := lease.NewCoordinator("vm-2", 1)
	taken := firstRow().TakenBy("vm-2", 1, "vm-2", nil)
	c.Observe(taken, 10*second, 10*second)
	c.Observe(taken.Closed("x"), 11*second, 11*second)
	c.Promise("g", "vm-2", 1, 3, 11*second)
	c.Promise("g", "vm-1", 1, 3, 12*second)
	gone := vms("vm-1", "vm-2", "vm-gone")
	mustEnd(t, c, gone, 12*second+right, false)
	mustEnd(t, c, gone, 12*second+lapsed, true)
}

// Two takeovers follow each other within a moment. The first coordinator is cut off and
// knows of neither; that the second one follows says nothing of it.
func TestASecondTakeoverWaitsForTheFirstCoordinatorToo(t *testing.T) {
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
	mustEnd(t, c, registered, 13*second, false)
	mustEnd(t, c, registered, 22*second, false)
	mustEnd(t, c, registered, 24*second, true)
	c.Promise("g", "vm-1", 1, 4, 14*second)
	mustEnd(t, c, registered, 14*second, true)
}

// A coordinator that itself waits for an earlier one hands over: its successor waits, too.
func TestAHandoverKeepsEarlierCoordinators(t *testing.T) {
	row := firstRow().TakenBy("vm-2", 1, "vm-2", nil).TakenBy("vm-3", 1, "vm-2", nil)
	if len(row.Formers) != 1 || row.Formers[0].VM != "vm-1" {
		t.Fatalf("%+v", row.Formers)
	}
	if len(row.Settled().Formers) != 0 {
		t.Fatal("settled rows keep them")
	}
}
