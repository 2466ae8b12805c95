package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// RelaysPerDataCentre is the minimum number of VMs of a data centre that poll
	// the platform for the others. With two, polling continues when one dies.
	RelaysPerDataCentre = 2
	// VMsPerRelay is the maximum number of VMs of a data centre that one relay
	// serves. A watch uses about 200 bytes/s, and the limit for all control traffic
	// is 5 KB/s.
	VMsPerRelay = 20
)

// relayKeyPrefix is the prefix of the hash keys for relays, which makes the choice of
// relays independent of the choice of poolers.
const relayKeyPrefix = "relay/"

// View is a snapshot of the VMs that may be chosen. It is immutable, so it may be
// shared. VMs with equal views make equal choices, which depend only on ids and
// regions.
type View struct {
	regions map[topology.DataCentre]string
	centres map[topology.DataCentre]*centre
	// order holds the data centres that have an eligible VM, sorted by name.
	order []*centre
}

// centre is a data centre with its eligible VMs, sorted by id.
type centre struct {
	name   topology.DataCentre
	region string
	hash   uint64
	vms    []node
}

// node is a VM with its precomputed hash.
type node struct {
	id          topology.VMID
	incarnation topology.Incarnation
	hash        uint64
}

// View returns a view of the VMs that may be given work: the live ones, and the
// suspect ones that are not yet avoided. regions maps each data centre to its
// region, including data centres without a VM.
func (t *Table) View(regions map[topology.DataCentre]string) *View {
	v := &View{regions: regions, centres: map[topology.DataCentre]*centre{}}
	for _, e := range t.entries {
		if e.eligible() {
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

// PoolerOf returns the VM that pools a target's connections: the first in rank in
// the target's data centre, or else in another data centre of its region, or else
// in any data centre. It returns false if the view has no VM.
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
	return firstRanked(c.vms, key), true
}

// PoolerRanks returns up to n VMs for a target: the pooler, followed by the VMs to
// try when it can't be reached. All are in the same data centre.
func (v *View) PoolerRanks(target topology.TargetID, dc topology.DataCentre, n int) []topology.VMID {
	key := xxhash.Sum64String(string(target))
	c := v.centreFor(key, dc)
	if c == nil {
		return nil
	}
	return ranks(c.vms, key, n)
}

// Relays returns the VMs of a data centre that poll the platform for it. There
// are fewer than RelaysPerDataCentre if the view has fewer VMs there, and more if
// one relay per VMsPerRelay VMs requires it.
func (v *View) Relays(dc topology.DataCentre) []topology.VMID {
	c, ok := v.centres[dc]
	if !ok {
		return nil
	}
	n := max(RelaysPerDataCentre, (len(c.vms)+VMsPerRelay-1)/VMsPerRelay)
	return ranks(c.vms, xxhash.Sum64String(relayKeyPrefix+string(dc)), n)
}

// Promoters returns the promoters that the group's row should name: for each
// replica that is not leaving, the pooler of that replica. A replica keeps the
// Synced mark that it has in the current row.
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

// centreFor returns the data centre itself if it has a VM in the view, or else
// another one that has, preferably in the same region. Among several it picks the
// one with the greatest weight for the key, so that the load of a lost data
// centre is spread over the others.
func (v *View) centreFor(key uint64, dc topology.DataCentre) *centre {
	if c, ok := v.centres[dc]; ok {
		return c
	}
	region, known := v.regions[dc]
	var inRegion, anywhere *centre
	for _, c := range v.order {
		if known && c.region == region && outranks(c, inRegion, key) {
			inRegion = c
		}
		if outranks(c, anywhere, key) {
			anywhere = c
		}
	}
	if inRegion != nil {
		return inRegion
	}
	return anywhere
}

func outranks(c, best *centre, key uint64) bool {
	return best == nil || weight(c.hash, key) > weight(best.hash, key)
}
