package lead_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/lead"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against groups that start with different coordinators and are then handed over: one VM
// writes all first rows.
func TestOneVMWritesAllFirstRows(t *testing.T) {
	const groups = 12
	c := startIsolatedCluster(t, 6, 400*time.Millisecond)
	for _, v := range c.vms {
		for i := range groups {
			id := topology.TargetID(fmt.Sprintf("t%d", i))
			v.directory.SetTarget(directory.Target{
				Target: topology.Target{ID: id, Group: topology.GroupID(fmt.Sprintf("g%d", i))}, ClaimsPrimary: true,
			})
			c.databases.lead(id)
		}
	}
	known := func() bool {
		for _, v := range c.vms {
			for i := range groups {
				if v.lead.Row(topology.GroupID(fmt.Sprintf("g%d", i))) == nil {
					return false
				}
			}
		}
		return true
	}
	c.eventually(5*time.Second, "all rows are known", known)
	time.Sleep(500 * time.Millisecond)
	first := c.row()
	for _, v := range c.vms {
		for i := range groups {
			row := v.lead.Row(topology.GroupID(fmt.Sprintf("g%d", i)))
			if row.Version != 1 || row.Coordinator != first.Coordinator {
				t.Fatalf("%s: %+v", v.id, row)
			}
		}
	}
}

// Guards against VMs that claim the duty from each other forever: its holder has ended before it
// wrote the first rows, and it takes another VM more than one attempt to claim the duty.
func TestTheFirstRowsAreWrittenThoughTheHolderOfTheDutyIsGone(t *testing.T) {
	c := newCluster(t)
	raw := []byte(`{"holder":"gone","incarnation":1,"fence":7}`)
	if _, err := c.store.Put(t.Context(), lead.Table, "duty/promotion", raw, metastore.Version{}); err != nil {
		t.Fatal(err)
	}
	c.startVMs(8)
	c.eventually(6*time.Second, "every VM has the right", func() bool { return c.allRight("a") })
	rows, err := c.store.List(t.Context(), lead.Table, metastore.Key("duty/promotion"))
	if err != nil || len(rows.Rows) != 1 {
		t.Fatalf("%+v %v", rows, err)
	}
	var duty struct{ Fence uint64 }
	if err := json.Unmarshal(rows.Rows[0].Value, &duty); err != nil || duty.Fence > 9 {
		t.Fatalf("the duty changed hands repeatedly: %s %v", rows.Rows[0].Value, err)
	}
}
