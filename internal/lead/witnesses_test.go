package lead

import (
	"fmt"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// A data centre is cut off together with the coordinator. If it held most of the witnesses, the
// coordinator would continue to promise for twelve seconds, and no primary could be replaced until
// then. So no data centre has most of the witnesses, whatever the names of the VMs.
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
				t.Fatalf("%s has %d of %d witnesses with seed %d", dc, n, len(ids), seed)
			}
		}
	}
}
