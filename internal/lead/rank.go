package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// rankDelay is the delay per rank that keeps the first rankedVMs from taking a group over at
	// the same time. The VMs after them are lateRankDelay apart, which is less than a takeover
	// takes: if so many VMs have failed at once, a few conflicts are better than further seconds
	// without a coordinator.
	rankDelay     = 120 * time.Millisecond
	rankedVMs     = 8
	lateRankDelay = 20 * time.Millisecond
)

// rank orders the VMs as coordinators. The order is the same for all groups, so that one VM
// coordinates them all and holds the duty to promote. VMs in the data centre with the fewest
// primaries come first: losing it takes the coordinator and a primary together in the fewest
// groups, and only there must a change of the primary wait until promises expire. Among those, the
// VMs with the most cores come first, since all VMs send their renewals to one VM.
func (l *Lead) rank() []topology.VMID {
	primaries := l.primaries()
	vms := slices.Clone(l.Directory.VMs())
	slices.SortFunc(vms, func(a, b topology.VM) int {
		return cmp.Or(
			cmp.Compare(primaries[a.DataCentre], primaries[b.DataCentre]),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
		)
	})
	ids := make([]topology.VMID, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

// primaries counts the primaries in each data centre.
func (l *Lead) primaries() map[topology.DataCentre]int {
	n := map[topology.DataCentre]int{}
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil {
			t, _ := l.Directory.Target(row.Primary)
			n[t.DataCentre]++
		} else if t, ok := l.selfReportedPrimary(group); ok {
			n[t.DataCentre]++
		}
	}
	return n
}

// takeoverDelay returns how long this VM waits before it takes over groups from a coordinator; ""
// means that the groups have none. VMs in the coordinator's data centre come last: it is the one
// with the fewest primaries, so they rank first, and all others would wait for them when their data
// centre is cut off.
func (l *Lead) takeoverDelay(from topology.VMID) time.Duration {
	ids := l.rank()
	if former, ok := l.Directory.VM(from); ok {
		sameDataCentre := func(id topology.VMID) int {
			if vm, _ := l.Directory.VM(id); vm.DataCentre == former.DataCentre {
				return 1
			}
			return 0
		}
		slices.SortStableFunc(ids, func(a, b topology.VMID) int { return cmp.Compare(sameDataCentre(a), sameDataCentre(b)) })
	}
	index := max(0, slices.Index(ids, l.self.ID))
	return time.Duration(min(index, rankedVMs))*rankDelay + time.Duration(max(0, index-rankedVMs))*lateRankDelay
}

// witnesses chooses a row's witnesses from all registered VMs, taking data centres in turn. If most
// of them were in one data centre, a coordinator there would continue to promise, up to its limit,
// while it is cut off together with them, and a failed primary could not be replaced meanwhile.
func (l *Lead) witnesses() []topology.VMID {
	vms := slices.Clone(l.Directory.VMs())
	slices.SortFunc(vms, func(a, b topology.VM) int {
		return cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID)))
	})
	return spreadOverDataCentres(vms, lease.MaxWitnesses)
}

// spreadOverDataCentres picks up to n VMs, the first of each data centre before the second of any.
func spreadOverDataCentres(vms []topology.VM, n int) []topology.VMID {
	perDataCentre := map[topology.DataCentre]int{}
	round := map[topology.VMID]int{}
	for _, vm := range vms {
		round[vm.ID] = perDataCentre[vm.DataCentre]
		perDataCentre[vm.DataCentre]++
	}
	slices.SortStableFunc(vms, func(a, b topology.VM) int { return cmp.Compare(round[a.ID], round[b.ID]) })
	var ids []topology.VMID
	for _, vm := range vms[:min(len(vms), n)] {
		ids = append(ids, vm.ID)
	}
	return ids
}
