package lead_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/lead"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// restoredWithin is how long a group may take to be served after the store was restored, with its
// coordinator lost: the grace of the earlier coordinators, a takeover, and the end of all rights.
const restoredWithin = 8 * time.Second

// longestRightGap is how long a VM may be without a right while it asks for the promise under a new version
// of a row.
const longestRightGap = 100 * time.Millisecond

// replaceLostPrimary has the primary a fail and waits until all VMs have the right for b. It returns a
// backup of the store from before.
func (c *cluster) replaceLostPrimary() (before metastore.Backup, coordinator topology.VMID) {
	c.t.Helper()
	c.awaitRights()
	before = c.store.Backup()
	c.databases.kill("a")
	c.eventually(5*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	return before, c.row().Coordinator
}

// neverRight fails if a VM has a right for a target in the given time.
func (c *cluster) neverRight(id topology.TargetID, during time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, v := range c.vms {
			if r, ok := v.lead.Right(group); ok && r.Primary == id {
				c.t.Fatalf("%s has the right for %s in term %d", v.id, id, r.Term)
			}
		}
	}
}

// storedRow returns the primary, the coordinator and the era of the group's row in the store.
func (c *cluster) storedRow() (primary topology.TargetID, coordinator topology.VMID, era uint64) {
	c.t.Helper()
	row, ok := storedRow(c.t, c.store)
	if !ok {
		return "", "", 0
	}
	return row.Primary, row.Coordinator, row.Era()
}

// Guards against a second primary: a VM that starts after the store has lost a replacement reads the
// former primary's row, and had the right by it.
func TestAVMThatStartsAfterARestorationHasNoRightForTheFormerPrimary(t *testing.T) {
	c := startCluster(t, 3)
	before, _ := c.replaceLostPrimary()
	c.databases.lead("a") // It goes on as the primary of its term.
	c.store.Restore(before)
	c.addresses["vm-4"] = freeAddress(t)
	c.start("vm-4")
	c.neverRight("a", 2*time.Second)
	c.eventually(restoredWithin, "every VM has the right for b", func() bool { return c.allRight("b") })
}

// Guards against rows that stay lost: the coordinator that knows the newest row writes it again, and the
// VMs keep their rights meanwhile.
func TestTheCoordinatorWritesItsRowsAgainAfterARestoration(t *testing.T) {
	c := startCluster(t, 3)
	before, coordinator := c.replaceLostPrimary()
	c.store.Restore(before)
	lastRight := time.Now()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.allRight("b") {
			lastRight = time.Now()
		}
		if gap := time.Since(lastRight); gap > longestRightGap {
			t.Fatalf("a VM has no right for b for %v", gap)
		}
	}
	if primary, by, era := c.storedRow(); primary != "b" || by != coordinator || era != 1 {
		t.Fatalf("the store has %s by %s in era %d", primary, by, era)
	}
	// The next replacement works as before.
	c.databases.kill("b")
	c.eventually(restoredWithin, "every VM has the right for c", func() bool { return c.allRight("c") })
}

// Guards against a coordinator that received its group by a handover and closes the row after a restoration, although it
// is in contact with its witnesses.
func TestACoordinatorByHandoverKeepsRightsAfterARestoration(t *testing.T) {
	c := startCluster(t, 4)
	first := c.awaitRights()
	before := c.store.Backup()
	c.vms[first].lead.Leave(t.Context())
	_, second, _ := c.storedRow()
	if second == first {
		t.Fatal("the group was not handed over")
	}
	c.stop(first)
	time.Sleep(time.Second) // The former coordinator's promises have ended.
	c.store.Restore(before)
	c.neverClosed(3 * time.Second)
	if primary, by, era := c.storedRow(); primary != "a" || by != second || era != 1 {
		t.Fatalf("the store has %s by %s in era %d", primary, by, era)
	}
}

// neverClosed fails if a VM knows the group's row as closed in the given time.
func (c *cluster) neverClosed(during time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, v := range c.vms {
			if row := v.lead.Row(group); row != nil && !row.Open() {
				c.t.Fatalf("%s knows a closed row: %+v", v.id, row.Handover)
			}
		}
	}
}

// Guards against a group without a coordinator, or with the former primary, if the coordinator is lost
// together with its latest rows.
func TestALostCoordinatorIsReplacedAfterARestoration(t *testing.T) {
	c := startCluster(t, 3)
	before, coordinator := c.replaceLostPrimary()
	c.stop(coordinator)
	c.store.Restore(before)
	c.eventually(restoredWithin, "another VM coordinates, and every VM has the right for b", func() bool {
		_, by, era := c.storedRow()
		return by != coordinator && era == 1 && c.allRight("b")
	})
	c.neverRight("a", time.Second)
}

// Guards against a right for the former primary if all VMs start again, so that no VM knows the lost
// replacement: the databases do.
func TestAllVMsThatStartAfterARestorationFindThePrimary(t *testing.T) {
	c := startCluster(t, 3)
	before, _ := c.replaceLostPrimary()
	for _, id := range []topology.VMID{"vm-1", "vm-2", "vm-3"} {
		c.stop(id)
	}
	c.databases.revive("a") // As a replica.
	c.store.Restore(before)
	for _, id := range []topology.VMID{"vm-1", "vm-2", "vm-3"} {
		c.start(id)
	}
	c.neverRight("a", 2*time.Second)
	c.eventually(restoredWithin, "every VM has the right for b", func() bool { return c.allRight("b") })
}

// Guards against a group that never has a row again if the store has lost its first one.
func TestALostFirstRowIsWrittenAgain(t *testing.T) {
	t.Run("by its coordinator", func(t *testing.T) {
		c := startCluster(t, 3)
		empty := c.store.Backup()
		coordinator := c.awaitRights()
		c.store.Restore(empty)
		c.eventually(restoredWithin, "the row is back", func() bool {
			_, by, era := c.storedRow()
			return by == coordinator && era == 1
		})
		c.eventually(longestRightGap, "every VM has the right", func() bool { return c.allRight("a") })
	})
	t.Run("by VMs that start", func(t *testing.T) {
		c := startCluster(t, 3)
		empty := c.store.Backup()
		c.awaitRights()
		for _, id := range []topology.VMID{"vm-1", "vm-2", "vm-3"} {
			c.stop(id)
		}
		c.store.Restore(empty)
		for _, id := range []topology.VMID{"vm-1", "vm-2", "vm-3"} {
			c.start(id)
		}
		c.eventually(restoredWithin, "every VM has the right for a", func() bool { return c.allRight("a") })
	})
}

// Guards against two holders that promote with the same fencing token, or a lower one than before: the
// store has lost who held the duty last.
func TestFencesRiseAcrossARestoration(t *testing.T) {
	c := startCluster(t, 5)
	first := c.awaitRights()
	before := c.store.Backup()
	c.stop(first)
	c.eventually(5*time.Second, "another VM coordinates", func() bool { return c.allRight("a") && c.row().Coordinator != first })
	c.databases.kill("a")
	c.eventually(5*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	second := c.row().Coordinator
	c.stop(second)
	c.store.Restore(before)
	c.databases.kill("b")
	c.eventually(2*restoredWithin, "every VM has the right for c", func() bool { return c.allRight("c") })
	holders := map[uint64]topology.VMID{}
	var last uint64
	for _, o := range c.databases.sentOrders() {
		if o.fence < last {
			t.Errorf("%s ordered with %d after %d", o.holder, o.fence, last)
		}
		if h, ok := holders[o.fence]; ok && h != o.holder {
			t.Errorf("%s and %s both ordered with %d", h, o.holder, o.fence)
		}
		last, holders[o.fence] = o.fence, o.holder
	}
	if len(holders) < 2 {
		t.Fatalf("orders of one holder only: %v", holders)
	}
}

// Guards against a VM that is not waited for at a replacement since the store has lost its registration.
func TestALostRegistrationIsWrittenAgain(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	before := c.store.Backup()
	c.addresses["vm-4"] = freeAddress(t)
	c.start("vm-4")
	c.eventually(5*time.Second, "vm-4 has the right", func() bool { return c.allRight("a") })
	c.store.Restore(before)
	c.eventually(5*time.Second, "vm-4 is registered", func() bool {
		rows, err := c.store.List(t.Context(), lead.Table, metastore.Key("vm/vm-4"))
		return err == nil && len(rows.Rows) == 1
	})
}

// storedRow reads the group's row from the store.
func storedRow(t *testing.T, store metastore.Store) (lease.Row, bool) {
	t.Helper()
	rows, err := store.List(t.Context(), lead.Table, metastore.Key("group/"+string(group)))
	if err != nil {
		t.Fatal(err)
	}
	var row lease.Row
	if len(rows.Rows) == 0 {
		return row, false
	}
	if err := json.Unmarshal(rows.Rows[0].Value, &row); err != nil {
		t.Fatal(err)
	}
	return row, true
}
