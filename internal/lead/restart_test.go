package lead_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// restart has a database end and answer again as another target, and every VM see its new
// registration in place of the old one.
func (c *cluster) restart(was, is topology.TargetID, primary bool, index uint64) {
	c.databases.mu.Lock()
	c.databases.down[was], c.databases.role[was] = true, false
	c.databases.role[is], c.databases.index[is] = primary, index
	c.databases.mu.Unlock()
	for _, v := range c.vms {
		old, _ := v.directory.Target(was)
		old.ID, old.Started, old.ReportsPrimary = is, old.Started+1, primary
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

// The primary crashes and is back at once, at its address, with its log and under another name;
// it leads its term still. Callers' writes go on there: the platform has nothing to promote, and
// an order for it would change nothing. Waited for, the next term never comes, and writes are
// refused for good.
func TestAPrimaryThatCameBackUnderAnotherNameGoesOn(t *testing.T) {
	c := startCluster(t, 3)
	c.settle()
	c.registerAt("a", "b", "c")
	c.restart("a", "a2", true, 9)
	c.eventually(3*time.Second, "every VM has the right for a2", func() bool { return c.allRight("a2") })
	row := c.row()
	if row.Term != 1 || len(row.History) != 0 || len(c.databases.orders) != 0 {
		t.Fatalf("%+v, orders %+v", row, c.databases.orders)
	}
}

// The primary crashes and is back under another name without its log: a replica has more. What
// callers were acknowledged is there, so the replica leads, though the other calls itself the
// primary of the term.
func TestAPrimaryThatCameBackEmptyIsReplaced(t *testing.T) {
	c := startCluster(t, 3)
	c.settle()
	c.registerAt("a", "b", "c")
	c.restart("a", "a2", true, 0)
	c.eventually(3*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if row := c.row(); row.Term != 2 || row.History[0].End.Index != 9 {
		t.Fatalf("%+v", row)
	}
}

// The primary starts again so quickly that no VM fails at its address: only its registration
// tells that it is another start. It knows nothing of before, so its group gets a new primary at
// once, and not when the old entry lapses.
func TestARestartedPrimaryIsReplacedAtOnce(t *testing.T) {
	c := startCluster(t, 3)
	c.settle()
	c.registerAt("a", "b", "c")
	c.restart("a", "a2", false, 0)
	c.databases.mu.Lock()
	c.databases.down["a"] = false // Requests for it reach its later start.
	c.databases.mu.Unlock()
	c.eventually(1500*time.Millisecond, "every VM has the right for b", func() bool { return c.allRight("b") })
}

// The platform accepts the promotion of a replica that answers, yet it never leads. Another
// replica gets its turn before callers have waited for much longer than a replacement takes.
func TestAnIneffectivePromotionEnds(t *testing.T) {
	c := startCluster(t, 2)
	c.settle()
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

// The candidate was stopped from receiving, and starts again before its promotion takes effect: what
// it held is gone. Another replica is promoted, and not the one that knows nothing.
func TestACandidateThatStartsAgainIsDropped(t *testing.T) {
	c := startCluster(t, 2)
	c.settle()
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
	c.databases.down["b"] = false // Commands for it reach its later start.
	c.databases.mu.Unlock()
	c.eventually(4*time.Second, "every VM has the right for c", func() bool { return c.allRight("c") })
}

// VMs start for the first time within a moment of each other. The row that one of them writes first
// names most of them as witnesses, or its coordinator could not be replaced in time once it is lost.
func TestTheFirstRowHasWitnesses(t *testing.T) {
	c := startCluster(t, 4)
	c.settle()
	if n := len(c.row().Witnesses); n < 3 {
		t.Fatalf("%d witnesses of 4 VMs", n)
	}
}
