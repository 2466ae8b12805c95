package lead

import (
	"fmt"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// A data centre is cut off, with the coordinator in it. If most witnesses are beside it, it
// goes on promising for twelve seconds, and no primary can be replaced until then: whatever
// the names of the VMs, no data centre has most of the witnesses.
func TestNoDataCentreHasMostWitnesses(t *testing.T) {
	for seed := range 50 {
		d := directory.New(topology.VM{ID: "self"})
		in := map[topology.VMID]topology.DataCentre{}
		for i := range 30 {
			vm := topology.VM{ID: topology.VMID(fmt.Sprintf("vm-%d-%d", seed, i)), DataCentre: topology.DataCentre(fmt.Sprintf("dc-%d", i%3))}
			d.SetVM(vm)
			in[vm.ID] = vm.DataCentre
		}
		l := &Lead{Options: Options{Directory: d}}
		count := map[topology.DataCentre]int{}
		ids := l.witnesses()
		for _, id := range ids {
			count[in[id]]++
		}
		for dc, n := range count {
			if 2*n > len(ids) {
				t.Fatalf("%s has %d of %d witnesses with names %d", dc, n, len(ids), seed)
			}
		}
	}
}
