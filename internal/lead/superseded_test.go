package lead_test

import (
	"testing"
	"time"
)

// Guards against a group without writes for good after a late order has promoted a target: its former primary answers, as a
// replica, and does not count as failing.
func TestARowFollowsATargetThatWasPromotedBehindItsBack(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.databases.change(func() {
		c.databases.isPrimary["a"], c.databases.isPrimary["b"] = false, true
		c.databases.term++
	})
	b := registration("b")
	b.ClaimsPrimary = true
	c.register(b)
	c.eventually(3*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if orders := c.databases.sentOrders(); len(orders) != 0 {
		t.Fatalf("orders %v", orders)
	}
}

// Guards against a primary that is replaced since another target wrongly says that it leads.
func TestARowKeepsItsPrimaryWhateverARegistrationSays(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	version := c.row().Version
	b := registration("b")
	b.ClaimsPrimary = true
	c.register(b)
	time.Sleep(2 * time.Second)
	if row := c.row(); row.Version != version || row.Primary != "a" {
		t.Fatalf("row %+v", row)
	}
}
