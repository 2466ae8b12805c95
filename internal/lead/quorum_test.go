package lead_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/lead"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// observed is how long a test watches that no target is promoted: longer than a registration may be absent until its
// target counts as gone, and several attempts to replace the primary.
const observed = 5 * time.Second

// startSyncCluster starts VMs with a group whose commits wait for one replica. The primary a and the replica b hold all
// acknowledged commits, c does not and receives nothing.
func startSyncCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	c.configuration = &directory.Configuration{Version: 1, SyncReplicas: map[topology.GroupID]int{group: 1}}
	c.databases.notReceiving["c"], c.databases.acknowledged = true, 9
	c.startVMs(3)
	c.awaitRights()
	return c
}

// expire removes a target's registration, as all VMs learn.
func (c *cluster) expire(id topology.TargetID) {
	for _, v := range c.vms {
		v.directory.RemoveRegistration(string(id))
	}
}

// register writes a target's registration, as all VMs learn.
func (c *cluster) register(t directory.Target) {
	for _, v := range c.vms {
		v.directory.SetTarget(t)
	}
}

// change changes the databases.
func (d *databases) change(by func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	by()
}

// checkKept watches that no target is promoted that lacks an acknowledged commit.
func (c *cluster) checkKept() {
	c.t.Helper()
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.checkNoneLacking()
	}
}

func (c *cluster) checkNoneLacking() {
	c.t.Helper()
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	if len(c.databases.lacking) > 0 {
		c.t.Fatalf("%v promoted without acknowledged commits", c.databases.lacking)
	}
}

// checkGoesOn checks that a target is promoted and that VMs may acknowledge there.
func (c *cluster) checkGoesOn(primary topology.TargetID) {
	c.t.Helper()
	c.eventually(8*time.Second, "every VM has the right for "+string(primary), func() bool { return c.allRight(primary) })
	c.checkNoneLacking()
}

// Guards against the promotion of a replica that lacks acknowledged commits, once the registration of a failed primary that
// holds them has expired.
func TestAnExpiredFormerPrimaryStillCounts(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("a")
	c.checkGoesOn("b")
	c.databases.change(func() { c.databases.stalled["b"], c.databases.index["b"] = true, 12 })
	time.Sleep(time.Second)
	c.expire("a")
	c.checkKept()
	if !c.allRight("b") {
		t.Fatal("the primary was given up although no replica could be promoted")
	}
	c.databases.change(func() { c.databases.notReceiving["c"], c.databases.index["c"] = false, 12 })
	c.checkGoesOn("c")
}

// Guards against the promotion of the last replica that answers, after two primaries have failed that hold more.
func TestTheNextPrimaryFailsToo(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("a")
	c.checkGoesOn("b")
	c.databases.kill("b")
	c.expire("a")
	c.checkKept()
	c.databases.revive("a")
	c.register(registration("a"))
	c.checkGoesOn("a")
}

// Guards against a replica that lacks acknowledged commits in place of a primary that leaves as planned.
func TestALeavingPrimaryStaysUntilAReplicaHoldsItsCommits(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("b")
	leaving := registration("a")
	leaving.Leaving = true
	c.register(leaving)
	c.expire("b")
	c.checkKept()
	if !c.allRight("a") {
		t.Fatal("the primary was given up although no replica could be promoted")
	}
	c.databases.change(func() { c.databases.notReceiving["c"], c.databases.index["c"] = false, 9 })
	c.checkGoesOn("c")
}

// Guards against a replica that lacks acknowledged commits in place of a primary that has left, and against waiting for a
// target whose log has gone to its successor.
func TestTheSuccessorOfALeftPrimaryHasItsLog(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("b")
	leaving := registration("a")
	leaving.Leaving = true
	c.register(leaving)
	c.eventually(4*time.Second, "the row records that a leaves", func() bool { return c.row().Quorum.Members[0].Leaving })
	c.databases.kill("a")
	c.expire("a")
	c.checkKept()
	c.databases.change(func() { c.databases.index["d"], c.databases.isPrimary["d"] = 9, false })
	d := registration("d")
	d.Address = registration("a").Address
	c.register(d)
	c.checkGoesOn("d")
}

// Guards against the promotion of a replica that lacks acknowledged commits while the registration of the one that holds
// them has expired.
func TestAnExpiredReplicaStillCounts(t *testing.T) {
	c := startSyncCluster(t)
	c.expire("b")
	c.databases.kill("a")
	c.checkKept()
	c.register(registration("b"))
	c.checkGoesOn("b")
}

// Guards against the promotion of a replica that lacks acknowledged commits by the next coordinator, after the registration
// of the one that holds them has expired.
func TestTheNextCoordinatorKnowsAnExpiredReplica(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("b")
	c.expire("b")
	c.databases.kill("a")
	time.Sleep(time.Second)
	c.stop(c.row().Coordinator)
	c.checkKept()
	c.databases.change(func() { c.databases.down["b"] = false })
	c.register(registration("b"))
	c.checkGoesOn("b")
}

// Guards against a group without a primary: a former coordinator has closed the row, and no replica can be promoted.
func TestAReplacementWithoutASuccessorKeepsThePrimary(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("b")
	c.expire("b")
	closed := c.row().Closed("primary_failed")
	c.write(closed)
	c.eventually(2*time.Second, "the row is closed", func() bool { return c.row().Version >= closed.Version })
	c.checkGoesOn("a")
}

// Guards against a former primary that lacks acknowledged commits and leads again, after all VMs and the row of its successor
// were lost.
func TestAFormerPrimaryDoesNotReturnAfterARestoration(t *testing.T) {
	c := startSyncCluster(t)
	before := c.store.Backup()
	c.databases.kill("a")
	c.checkGoesOn("b")
	c.databases.change(func() {
		c.databases.acknowledged, c.databases.index["b"], c.databases.index["c"] = 12, 12, 12
		c.databases.down["a"], c.databases.down["b"], c.databases.isPrimary["a"] = false, true, true
	})
	for id := range c.addresses {
		c.stop(id)
	}
	c.store.Restore(before)
	for id := range c.addresses {
		c.start(id)
	}
	c.neverRight("a", observed)
	c.checkGoesOn("c")
}

// write writes the group's row in place of the present one.
func (c *cluster) write(row *lease.Row) {
	c.t.Helper()
	raw, err := json.Marshal(row)
	if err != nil {
		c.t.Fatal(err)
	}
	present, err := c.store.List(c.t.Context(), lead.Table, metastore.Prefix("group/"))
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.Put(c.t.Context(), lead.Table, present.Rows[0].Key, raw, present.Rows[0].Version); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a target that is lost for good and blocks each later replacement.
func TestATargetThatIsGoneIsRemovedFromTheQuorum(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("c")
	c.expire("c")
	c.eventually(8*time.Second, "c is no member", func() bool { return len(c.row().Quorum.Members) == 2 })
	c.databases.kill("a")
	c.checkGoesOn("b")
}

// Guards against a target that is removed from the quorum while it may hold commits that the others lack.
func TestATargetThatMayHoldCommitsIsNotRemovedFromTheQuorum(t *testing.T) {
	c := startSyncCluster(t)
	c.databases.kill("b")
	c.expire("b")
	c.checkKept()
	if n := len(c.row().Quorum.Members); n != 3 {
		t.Fatalf("%d members", n)
	}
}

// Guards against acknowledged commits that are held by the primary and a target of which no coordinator has taken note: a
// request gets no right, and one that has run waits.
func TestNothingIsAcknowledgedUntilANewTargetIsRecorded(t *testing.T) {
	c := startSyncCluster(t)
	for _, v := range c.vms {
		v.store.delayWrites("group/", 500*time.Millisecond)
	}
	held, _ := c.vms["vm-1"].lead.Right(group)
	c.register(registration("d"))
	for _, v := range c.vms {
		if _, ok := v.lead.Right(group); ok {
			t.Errorf("%s has the right", v.id)
		}
	}
	if !c.vms["vm-1"].lead.Confirm(held) {
		t.Error("the right ended")
	}
	if n := len(c.row().Quorum.Members); n != 4 {
		t.Errorf("confirmed with %d members", n)
	}
	c.checkGoesOn("a")
}

// Guards against a VM without a right that still lists a target which the coordinator has removed from the row, since it does not
// learn that its registration has expired.
func TestAVMThatListsARemovedTargetKeepsItsRight(t *testing.T) {
	c := startSyncCluster(t)
	coordinator := c.row().Coordinator
	c.databases.kill("c")
	c.vms[coordinator].directory.RemoveRegistration("c")
	lastRight := time.Now()
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.allRight("a") {
			lastRight = time.Now()
		}
		if gap := time.Since(lastRight); gap > longestRightGap {
			t.Fatalf("a VM has no right for %v", gap)
		}
	}
	if n := len(c.row().Quorum.Members); n != 2 {
		t.Fatalf("%d members", n)
	}
}

// Guards against requests that wait for good while no coordinator can record a new target.
func TestConfirmEndsWhileATargetIsNotRecorded(t *testing.T) {
	c := startSyncCluster(t)
	for _, v := range c.vms {
		v.store.delayWrites("group/", time.Minute)
	}
	held, _ := c.vms["vm-1"].lead.Right(group)
	c.register(registration("d"))
	begun := time.Now()
	if c.vms["vm-1"].lead.Confirm(held) || time.Since(begun) > 2*lease.Duration {
		t.Errorf("confirmed, or after %v", time.Since(begun))
	}
}
