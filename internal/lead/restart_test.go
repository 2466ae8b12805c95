package lead_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// restart stops a database and restarts it as another target, and makes every VM see its new
// registration in place of the old one.
func (c *cluster) restart(from, to topology.TargetID, primary bool, index uint64) {
	c.databases.mu.Lock()
	c.databases.down[from], c.databases.isPrimary[from] = true, false
	c.databases.isPrimary[to], c.databases.index[to] = primary, index
	c.databases.mu.Unlock()
	for _, v := range c.vms {
		old, _ := v.directory.Target(from)
		old.ID, old.Started, old.ClaimsPrimary = to, old.Started+1, primary
		v.directory.SetTarget(old)
	}
}

func (c *cluster) registerAt(ids ...topology.TargetID) {
	for _, v := range c.vms {
		for _, id := range ids {
			v.directory.SetTarget(directory.Target{
				Target: topology.Target{ID: id, Group: group, Address: "127.0.0.1:" + string(id)}, Registration: string(id), Started: 1,
			})
		}
	}
}

// The primary crashes and restarts at once, at its address, with its log and under another name; it
// still leads its term. Writes continue there: the platform has nothing to promote, and an order
// for it would have no effect. If the coordinator waited for the next term, which never comes,
// writes would be refused forever.
func TestAPrimaryRestartedUnderAnotherNameStaysPrimary(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.registerAt("a", "b", "c")
	c.restart("a", "a2", true, 9)
	c.eventually(3*time.Second, "every VM has the right for a2", func() bool { return c.allRight("a2") })
	row := c.row()
	if row.Term != 1 || len(row.History) != 0 || len(c.databases.orders) != 0 {
		t.Fatalf("%+v, orders %+v", row, c.databases.orders)
	}
}

// The primary crashes and restarts under another name without its log, so a replica holds more. The
// replica has what callers got acknowledged, so it leads, although the restarted target reports
// itself as the primary of the term.
func TestAPrimaryRestartedWithoutItsLogIsReplaced(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.registerAt("a", "b", "c")
	c.restart("a", "a2", true, 0)
	c.eventually(3*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if row := c.row(); row.Term != 2 || row.History[0].End.Index != 9 {
		t.Fatalf("%+v", row)
	}
}

// The primary restarts so quickly that it fails for no VM: only its registration shows the restart.
// It has lost its state, so its group gets a new primary at once, and not only when the old
// registration expires.
func TestARestartedPrimaryIsReplacedAtOnce(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.registerAt("a", "b", "c")
	c.restart("a", "a2", false, 0)
	c.databases.mu.Lock()
	c.databases.down["a"] = false // Requests for it reach the restarted database.
	c.databases.mu.Unlock()
	c.eventually(1500*time.Millisecond, "every VM has the right for b", func() bool { return c.allRight("b") })
}

// The platform accepts the promotion of a replica that answers, yet the replica never leads.
// Another replica is promoted before callers have waited much longer than a replacement takes.
func TestAnIneffectivePromotionEnds(t *testing.T) {
	c := startCluster(t, 2)
	c.awaitRights()
	c.databases.mu.Lock()
	c.databases.ineffective["b"] = true
	c.databases.mu.Unlock()
	c.databases.kill("a")
	time.AfterFunc(4*time.Second, func() {
		c.databases.mu.Lock()
		defer c.databases.mu.Unlock()
		c.databases.index["c"] = 10
	})
	c.eventually(11*time.Second, "every VM has the right for c", func() bool { return c.allRight("c") })
}

// The candidate was stopped from receiving, and restarts before its promotion takes effect, so its
// data is lost. Another replica is promoted, and not the empty one.
func TestARestartedCandidateIsDropped(t *testing.T) {
	c := startCluster(t, 2)
	c.awaitRights()
	c.registerAt("a", "b", "c")
	c.databases.mu.Lock()
	c.databases.ineffective["b"] = true
	c.databases.mu.Unlock()
	c.databases.kill("a")
	c.eventually(4*time.Second, "b is the candidate", func() bool {
		row := c.row()
		return !row.Open() && row.Handover.Candidate == "b"
	})
	c.restart("b", "b2", false, 0)
	c.databases.mu.Lock()
	c.databases.down["b"] = false // Commands for it reach the restarted database.
	c.databases.mu.Unlock()
	c.eventually(4*time.Second, "every VM has the right for c", func() bool { return c.allRight("c") })
}

// VMs start for the first time almost simultaneously. The first row, written by one of them, names
// most of them as witnesses; otherwise its coordinator could not be replaced in time after its
// loss.
func TestTheFirstRowHasWitnesses(t *testing.T) {
	c := startCluster(t, 4)
	c.awaitRights()
	if n := len(c.row().Witnesses); n < 3 {
		t.Fatalf("%d witnesses of 4 VMs", n)
	}
}
