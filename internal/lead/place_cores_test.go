package lead

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a coordinator that is too small for the messages of all VMs: a VM that took over
// in an outage hands the coordination to a VM with many more cores, if that VM's data centre is as
// safe.
func TestTheCoordinationMovesToALargerVM(t *testing.T) {
	for _, c := range []struct {
		name string
		// cores of the other VM. This VM has 0.2, or an unknown number if sizeUnknown is set.
		cores       float64
		sizeUnknown bool
		dataCentre  topology.DataCentre
		silent      bool
		want        bool
	}{
		{name: "four times as large", cores: 0.8, dataCentre: "dc-0", want: true},
		{name: "as large", cores: 0.2, dataCentre: "dc-0"},
		{name: "of unknown size, as is this one", sizeUnknown: true, dataCentre: "dc-0"},
		{name: "silent", cores: 0.8, dataCentre: "dc-0", silent: true},
		{name: "beside the primary", cores: 0.8, dataCentre: "dc-1"},
	} {
		clock := &mono.Manual{T: mono.Time(time.Hour)}
		self := topology.VM{ID: "self", DataCentre: "dc-0", Incarnation: 1, Cores: 0.2}
		other := topology.VM{ID: "other", DataCentre: c.dataCentre, Incarnation: 1, Cores: c.cores}
		if c.sizeUnknown {
			self.Cores = 0
		}
		d := directory.New(self)
		d.SetVMs([]topology.VM{self, other})
		d.SetTarget(directory.Target{Target: topology.Target{ID: "a", Group: "g", DataCentre: "dc-1"}, ClaimsPrimary: true})
		l := New(Options{Directory: d, Clock: clock})
		row := rowNumber(0)
		row.Group, row.Primary, row.Coordinator = "g", "a", "self"
		l.holder.Adopt(row)
		l.coordinator.Observe(row, clock.Now(), clock.Now())
		l.storeSeen = clock.Now()
		if !c.silent {
			l.lastMessage["other"] = clock.Now()
		}
		if _, got := l.saferVM(clock.Now()); got != c.want {
			t.Errorf("a VM %s: moves %v", c.name, got)
		}
	}
}
