package lead_test

import (
	"testing"
	"time"
)

// Both replicas hold the whole log and are ten seconds behind in applying it. The primary serves
// all reads of its group and refuses a third of them for as long as that lasts. One replica becomes
// the primary, with everything that was acknowledged. This happens only once, although the new
// primary is saturated at first as well.
func TestAPrimaryIsReplacedWhenAllReplicasLag(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.databases.mu.Lock()
	c.databases.index["a"] = 12 // Ahead of the replicas by writes in flight.
	c.databases.lag["b"], c.databases.lag["c"] = 10*time.Second, 10*time.Second
	c.databases.saturated["a"], c.databases.saturated["b"] = true, true
	c.databases.mu.Unlock()
	c.eventually(8*time.Second, "every VM has the right for b", func() bool { return c.allRight("b") })
	if end := c.row().History[0].End.Index; end != 12 {
		t.Fatalf("the term ended at %d, the primary held 12", end)
	}
	time.Sleep(4 * time.Second)
	if !c.allRight("b") || c.orders() != 1 {
		t.Fatalf("%d orders", c.orders())
	}
}

// One replica lags, and the other one serves the group's reads beside the primary. A change of the
// primary would make callers wait without any benefit.
func TestAPrimaryStaysWhileAReplicaKeepsUp(t *testing.T) {
	c := startCluster(t, 3)
	c.awaitRights()
	c.databases.mu.Lock()
	c.databases.lag["b"] = 10 * time.Second
	c.databases.saturated["a"] = true
	c.databases.mu.Unlock()
	time.Sleep(5 * time.Second)
	if !c.allRight("a") || c.orders() != 0 {
		t.Fatalf("%d orders", c.orders())
	}
}

func (c *cluster) orders() int {
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	return len(c.databases.orders)
}
