package membership_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The planned size: VMs and targets per data centre, and number of data centres.
const (
	centreVMs     = 162
	centreTargets = 583
	centres       = 24
)

// maxSpread limits the number of targets that one VM pools, as a multiple of the
// mean of 3.6. Hashing distributes targets randomly, so some VMs get several times
// the mean.
const maxSpread = 5

func centreOf(dc, prefix string, n int) []topology.VM {
	vms := make([]topology.VM, 0, n)
	for i := range n {
		vms = append(vms, topology.VM{
			ID:         topology.VMID(fmt.Sprintf("%s%s-%03d", prefix, dc, i)),
			DataCentre: topology.DataCentre(dc), Region: "r", Incarnation: 1,
		})
	}
	return vms
}

func tableOf(vms []topology.VM) *membership.Table {
	t := membership.NewTable(vms[0], 0)
	t.MergeList(vms, 0)
	return t
}

func target(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("t-%d", i)) }

func poolers(v *membership.View, dc topology.DataCentre) []topology.VMID {
	out := make([]topology.VMID, centreTargets)
	for i := range out {
		out[i], _ = v.PoolerOf(target(i), dc)
	}
	return out
}

var regions = map[topology.DataCentre]string{"a": "r", "b": "r", "c": "far"}

var _ = Describe("View", func() {
	It("moves only the targets of a leaving VM, each to the next VM in rank, and distributes targets within the limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			vms := centreOf("a", rapid.StringN(0, 8, 8).Draw(t, "prefix"), centreVMs)
			table := tableOf(vms)
			before := table.View(regions)
			owners := poolers(before, "a")
			counts := map[topology.VMID]int{}
			for _, id := range owners {
				counts[id]++
				if counts[id]*centreVMs > maxSpread*centreTargets {
					t.Fatalf("%s pools %d targets", id, counts[id])
				}
			}
			gone := vms[rapid.IntRange(1, centreVMs-1).Draw(t, "gone")]
			gone.Leaving = true
			table.Observe(membership.Evidence{VM: gone, Kind: membership.Heartbeat, At: 1})
			for i, id := range poolers(table.View(regions), "a") {
				next := before.PoolerRanks(target(i), "a", 2)
				if next[0] != owners[i] {
					t.Fatalf("%s is pooled by %s, but first in rank is %s", target(i), owners[i], next[0])
				}
				if want := next[map[bool]int{true: 1}[owners[i] == gone.ID]]; id != want {
					t.Fatalf("%s moved from %s to %s, not to %s", target(i), owners[i], id, want)
				}
			}
		})
	})

	It("makes the same choices for the same VMs in any order of arrival", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			vms := append(centreOf("a", "", 7), centreOf("b", "", 7)...)
			shuffled := rapid.Permutation(vms).Draw(t, "order")
			one, two := tableOf(vms).View(regions), tableOf(shuffled).View(regions)
			for _, dc := range []topology.DataCentre{"a", "b", "c"} {
				if fmt.Sprint(poolers(one, dc), one.Relays(dc)) != fmt.Sprint(poolers(two, dc), two.Relays(dc)) {
					t.Fatalf("choices differ in %s", dc)
				}
			}
		})
	})

	It("falls back to the region and then to any data centre when the target's own has no live VM", func() {
		near := tableOf(append(centreOf("b", "", 2), topology.VM{ID: "f", DataCentre: "c", Region: "far"})).View(regions)
		for i := range 50 {
			id, ok := near.PoolerOf(target(i), "a")
			Expect(ok).To(BeTrue())
			Expect(string(id)).To(HavePrefix("b-"))
		}
		far := tableOf([]topology.VM{{ID: "f", DataCentre: "c", Region: "far"}}).View(regions)
		id, _ := far.PoolerOf("t", "a")
		Expect(id).To(Equal(topology.VMID("f")))
		Expect(far.Relays("a")).To(BeEmpty())
	})

	It("chooses no pooler when no VM is live", func() {
		table := tableOf(centreOf("a", "", 1))
		table.Leave(1)
		_, ok := table.View(regions).PoolerOf("t", "a")
		Expect(ok).To(BeFalse())
	})

	It("names the replicas' poolers as promoters, with their incarnations and Synced marks", func() {
		view := tableOf(append(centreOf("a", "", 3), centreOf("b", "", 3)...)).View(regions)
		row := &topology.Group{Primary: "t1", Promoters: []topology.Promoter{{VM: "gone", Replica: "t2", Synced: true}}}
		targets := []topology.Target{
			{ID: "t1", DataCentre: "a"},
			{ID: "t2", DataCentre: "b"},
			{ID: "t3", DataCentre: "b", Leaving: true},
		}
		pooler, _ := view.PoolerOf("t2", "b")
		Expect(view.Promoters(row, targets)).To(Equal([]topology.Promoter{
			{VM: pooler, Incarnation: 1, Replica: "t2", Synced: true},
		}))
	})
})

func allVMs() []topology.VM {
	var vms []topology.VM
	for i := range centres {
		vms = append(vms, centreOf(fmt.Sprintf("dc-%02d", i), "", centreVMs)...)
	}
	return vms
}

func BenchmarkPoolersOfDataCentre(b *testing.B) {
	view := tableOf(centreOf("a", "", centreVMs)).View(regions)
	ids := make([]topology.TargetID, centreTargets)
	for i := range ids {
		ids[i] = target(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, id := range ids {
			view.PoolerOf(id, "a")
		}
	}
}

func BenchmarkMergeList(b *testing.B) {
	vms := allVMs()
	table := tableOf(vms)
	b.ReportAllocs()
	for b.Loop() {
		table.MergeList(vms, 1)
	}
}

func BenchmarkView(b *testing.B) {
	table := tableOf(allVMs())
	b.ReportAllocs()
	for b.Loop() {
		table.View(nil)
	}
}

// BenchmarkTableMemory reports the heap bytes held by a table of all VMs; the
// strings are shared with the list.
func BenchmarkTableMemory(b *testing.B) {
	vms := allVMs()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var tables []*membership.Table
	for b.Loop() {
		tables = append(tables, tableOf(vms))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(tables)), "heapB/table")
}
