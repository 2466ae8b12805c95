package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// RelaysPerDataCentre is how many VMs of a data centre poll the platform for
// the others: two, so that one may die without a gap.
const RelaysPerDataCentre = 2

// relayKey keeps the choice of relays apart from that of poolers.
const relayKey = "relay/"

// View is the VMs that may be chosen, as of one instant. It never changes, so it
// may be shared. VMs with equal views choose alike: nothing but ids is weighed.
type View struct {
	regions map[topology.DataCentre]string
	centres map[topology.DataCentre]*centre
	// order holds the data centres that have a live VM, by name.
	order []*centre
}

// centre is one data centre with its live VMs by id.
type centre struct {
	name   topology.DataCentre
	region string
	hash   uint64
	vms    []node
}

// node is a VM with its hash, taken once.
type node struct {
	id          topology.VMID
	incarnation topology.Incarnation
	hash        uint64
}

// View takes the VMs that may be given work: live ones, and suspect ones until
// their silence has lasted. regions gives each
// data centre's region, also of those without a VM.
func (t *Table) View(regions map[topology.DataCentre]string) *View {
	v := &View{regions: regions, centres: map[topology.DataCentre]*centre{}}
	for _, e := range t.entries {
		if e.choosable() {
			v.add(e.VM)
		}
	}
	for _, c := range v.order {
		slices.SortFunc(c.vms, func(a, b node) int { return strings.Compare(string(a.id), string(b.id)) })
	}
	slices.SortFunc(v.order, func(a, b *centre) int { return strings.Compare(string(a.name), string(b.name)) })
	return v
}

func (v *View) add(vm topology.VM) {
	c, ok := v.centres[vm.DataCentre]
	if !ok {
		region, known := v.regions[vm.DataCentre]
		if !known {
			region = vm.Region
		}
		c = &centre{name: vm.DataCentre, region: region, hash: xxhash.Sum64String(string(vm.DataCentre))}
		v.centres[vm.DataCentre] = c
		v.order = append(v.order, c)
	}
	n := node{id: vm.ID, incarnation: vm.Incarnation, hash: xxhash.Sum64String(string(vm.ID))}
	c.vms = append(c.vms, n)
}

// PoolerOf returns the VM that pools a target's connections: the first live one
// of the target's data centre, or else of another in its region, or else of any.
// It reports false when no VM is live.
func (v *View) PoolerOf(target topology.TargetID, dc topology.DataCentre) (topology.VMID, bool) {
	n, ok := v.pooler(target, dc)
	return n.id, ok
}

func (v *View) pooler(target topology.TargetID, dc topology.DataCentre) (node, bool) {
	key := xxhash.Sum64String(string(target))
	c := v.centreFor(key, dc)
	if c == nil {
		return node{}, false
	}
	return first(c.vms, key), true
}

// PoolerRanks returns up to n VMs for a target, the pooler first, then those to
// turn to when it can't be reached; all are of one data centre.
func (v *View) PoolerRanks(target topology.TargetID, dc topology.DataCentre, n int) []topology.VMID {
	key := xxhash.Sum64String(string(target))
	c := v.centreFor(key, dc)
	if c == nil {
		return nil
	}
	return ranks(c.vms, key, n)
}

// Relays returns the VMs of a data centre that poll the platform for it, fewer
// than RelaysPerDataCentre when it has fewer live ones.
func (v *View) Relays(dc topology.DataCentre) []topology.VMID {
	c, ok := v.centres[dc]
	if !ok {
		return nil
	}
	return ranks(c.vms, xxhash.Sum64String(relayKey+string(dc)), RelaysPerDataCentre)
}

// Promoters returns the promoters that the group's row should have: for each
// replica that does not leave, the pooler of that replica. A replica keeps its
// Synced mark of the present row.
func (v *View) Promoters(row *topology.Group, targets []topology.Target) []topology.Promoter {
	synced := map[topology.TargetID]bool{}
	for _, p := range row.Promoters {
		synced[p.Replica] = p.Synced
	}
	var out []topology.Promoter
	for _, t := range targets {
		if t.ID == row.Primary || t.Leaving {
			continue
		}
		if n, ok := v.pooler(t.ID, t.DataCentre); ok {
			out = append(out, topology.Promoter{VM: n.id, Incarnation: n.incarnation, Replica: t.ID, Synced: synced[t.ID]})
		}
	}
	return out
}

// centreFor returns the data centre itself while it has a live VM, or else the
// nearest that has: its region's first, then any, each in the key's own order,
// so that a lost data centre's load spreads.
func (v *View) centreFor(key uint64, dc topology.DataCentre) *centre {
	if c, ok := v.centres[dc]; ok {
		return c
	}
	region, known := v.regions[dc]
	var near, far *centre
	for _, c := range v.order {
		if known && c.region == region && beats(c, near, key) {
			near = c
		}
		if beats(c, far, key) {
			far = c
		}
	}
	if near != nil {
		return near
	}
	return far
}

func beats(c, best *centre, key uint64) bool {
	return best == nil || weight(c.hash, key) > weight(best.hash, key)
}
