package lead_test

import (
	"context"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The primary fails. Writes stop until the replica that has received the most leads, after a single
// promotion order; then every VM may acknowledge there.
func TestAFailedPrimaryIsReplaced(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.databases.kill("a")
	c.eventually(4*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if n := len(c.databases.orders); n != 1 || c.databases.orders[0].id != "b" {
		t.Fatalf("orders %+v", c.databases.orders)
	}
	row := c.row()
	if row.Term != 2 || len(row.History) != 1 || row.History[0].End.Index != 9 {
		t.Fatalf("%+v", row)
	}
}

// The platform promotes, but its answer is lost. The candidate's own status shows the promotion,
// and no other target is promoted.
func TestAnUnansweredPromotionIsFollowedUp(t *testing.T) {
	c := startCluster(t, 2)
	c.awaitRights()
	c.databases.answerLost = true
	c.databases.kill("a")
	c.eventually(5*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
}

// The platform reports that the chosen replica is not running, so another one is chosen.
func TestARefusedCandidateIsDropped(t *testing.T) {
	c := startCluster(t, 2)
	c.awaitRights()
	c.databases.mu.Lock()
	c.databases.refused["b"] = true
	c.databases.mu.Unlock()
	c.databases.kill("a")
	time.AfterFunc(1500*time.Millisecond, func() { c.databases.kill("b") })
	c.eventually(8*time.Second, "every VM has the right for c", func() bool { return c.allRight("c") })
}

// The primary announces that it is leaving, as in a release. It steps down first, so that its
// successor holds everything that it acknowledged.
func TestALeavingPrimaryHandsOver(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.databases.mu.Lock()
	c.databases.index["a"] = 12 // Ahead of the replicas.
	c.databases.mu.Unlock()
	for _, v := range c.vms {
		v.directory.SetTarget(directory.Target{Target: topology.Target{ID: "a", Group: group, Leaving: true}, ClaimsPrimary: true})
	}
	c.eventually(3*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if end := c.row().History[0].End.Index; end != 12 {
		t.Fatalf("the term ended at %d, the primary held 12", end)
	}
}

// During a store outage for all VMs, writes continue by the coordinator's promises alone.
func TestRightsSurviveAStoreOutage(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	for _, v := range c.vms {
		v.store.setUnavailable(true)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !c.allRight("a") {
			t.Fatal("a VM lost its right while the store was out")
		}
	}
}

// The coordinator is killed and restarted. Rights continue without a gap, by reads of the store,
// until another VM has taken over the group.
func TestRightsSurviveTheLossOfTheCoordinator(t *testing.T) {
	c := startCluster(t, 4)
	coordinator := c.awaitRights()
	c.stop(coordinator)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !c.allRight("a") {
			t.Fatal("a VM lost its right")
		}
	}
	if c.row().Coordinator == coordinator {
		t.Fatal("nobody took over")
	}
	c.start(coordinator)
	c.eventually(3*time.Second, "the restarted VM has the right", func() bool { return c.allRight("a") })
}

// The coordinator is lost for good, and then the primary fails. The VM that took over waits until
// the former coordinator's promises have ended for certain, and not much longer.
func TestAPrimaryFailsAfterItsCoordinator(t *testing.T) {
	c := startCluster(t, 4)
	c.stop(c.awaitRights())
	time.Sleep(1500 * time.Millisecond)
	c.databases.kill("a")
	c.eventually(8*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if n := len(c.databases.orders); n != 1 {
		t.Fatalf("orders %+v", c.databases.orders)
	}
}

// The store refuses the coordinator and serves the other VMs. A replacement of a primary that fails
// then must not wait until the store accepts the coordinator again.
func TestACoordinatorWithoutTheStoreIsReplaced(t *testing.T) {
	c := startCluster(t, 3)
	coordinator := c.awaitRights()
	c.vms[coordinator].store.setUnavailable(true)
	c.eventually(10*time.Second, "another coordinator", func() bool { return c.row().Coordinator != coordinator })
	c.databases.kill("a")
	c.eventually(8*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
}

// A VM shuts down in an orderly way. Its groups are handed over to another VM before it ends, and
// no VM loses its right meanwhile.
func TestALeavingCoordinatorHandsOver(t *testing.T) {
	c := startCluster(t, 3)
	coordinator := c.awaitRights()
	time.Sleep(time.Second) // It receives the others' messages.
	c.databases.kill("a")   // It claims the duty as well.
	c.eventually(4*time.Second, "b leads", func() bool { return c.allRight("b") })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.vms[coordinator].lead.Leave(ctx)
	elsewhere := func() bool {
		for _, v := range c.vms {
			if v.lead.Row(group).Coordinator == coordinator {
				return false
			}
		}
		return true
	}
	c.eventually(500*time.Millisecond, "every VM knows another coordinator", elsewhere)
	for end := time.Now().Add(lease.Duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !elsewhere() {
			t.Fatal("the group returned to the leaving VM")
		}
	}
	c.stop(coordinator)
	time.Sleep(lease.Duration)
	if !c.allRight("b") {
		t.Fatal("a VM lost its right")
	}
}

// All VMs lose power at once. They keep no state, and the rows in the store are enough to
// acknowledge again at once.
func TestRightsReturnAfterAllVMsRestart(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	for id := range c.vms {
		c.stop(id)
	}
	for id := range c.addresses {
		c.start(id)
	}
	c.eventually(2*time.Second, "every VM has the right again", func() bool { return c.allRight("a") })
}

// The orders of successive coordinators carry increasing fences.
func TestFencesRise(t *testing.T) {
	c := startCluster(t, 4)
	coordinator := c.awaitRights()
	c.databases.kill("a")
	c.eventually(4*time.Second, "b leads", func() bool { return c.allRight("b") })
	c.stop(coordinator)
	c.eventually(4*time.Second, "another coordinator", func() bool { return c.row().Coordinator != coordinator })
	c.databases.kill("b")
	c.eventually(8*time.Second, "c leads", func() bool { return c.allRight("c") })
	orders := c.databases.orders
	if first, last := orders[0], orders[len(orders)-1]; first.holder == last.holder || last.fence <= first.fence {
		t.Fatalf("orders %+v", orders)
	}
}

// A VM that loses the store and the coordinator reports that it is out of touch, which is before it
// is cut off, then that it is cut off, and later that it is connected again.
func TestAVMDetectsThatItIsCutOff(t *testing.T) {
	c := startCluster(t, 3)
	coordinator := c.awaitRights()
	for _, v := range c.vms {
		if v.lead.CutOff() {
			t.Fatalf("%s reports that it is cut off", v.id)
		}
		if v.id != coordinator {
			v.store.setUnavailable(true)
		}
	}
	c.stop(coordinator)
	for _, v := range c.vms {
		c.eventually(4*time.Second, "it reports that it is out of touch", v.lead.OutOfTouch)
		if v.lead.CutOff() {
			t.Fatalf("%s reported that it is cut off before it was out of touch", v.id)
		}
	}
	for _, v := range c.vms {
		c.eventually(4*time.Second, "it reports that it is cut off", v.lead.CutOff)
	}
	for _, v := range c.vms {
		v.store.setUnavailable(false)
		c.eventually(4*time.Second, "it reports that it is connected again", func() bool { return !v.lead.CutOff() && !v.lead.OutOfTouch() })
	}
}

// A primary becomes unreachable. All VMs confirm at once that they hold no right, and the command
// to step down is never answered. It must not delay the promotion for as long as a new connection
// to a running primary might take, since the callers' writes wait meanwhile.
func TestAnUnreachablePrimaryDoesNotDelayThePromotion(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.databases.kill("a")
	c.eventually(5*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	if waits := c.databases.stepDownTimeout; waits == 0 || waits > 150*time.Millisecond {
		t.Fatalf("the timeout for the unreachable primary is %v", waits)
	}
}
