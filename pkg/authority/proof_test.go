package authority

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// proofSeeds is how many seeds each scripted case runs with.
const proofSeeds = 10

// twoPromoters returns a list of two promoters with the given Synced flags.
func twoPromoters(first, second bool) []topology.Promoter {
	return []topology.Promoter{
		{VM: vmName(1), Incarnation: 1, Replica: targetName(1), Synced: first},
		{VM: vmName(2), Incarnation: 1, Replica: targetName(2), Synced: second},
	}
}

// crossLists stores a row that has two unsettled lists with different synced replicas,
// as list changes at startup can leave it.
func (w *world) crossLists() {
	row := w.lastRow.Clone()
	row.Version = 11
	row.ChangeID = "crossed"
	row.Promoters = twoPromoters(true, true)
	row.Unsettled = []topology.PromoterList{
		{Version: 5, Promoters: twoPromoters(true, false)},
		{Version: 6, Promoters: twoPromoters(false, true)},
	}
	_, revision := w.read()
	w.put(row, revision)
	w.lastRow = row
}

// killPrimary stops the current primary's database, and makes the VMs of all other
// databases suspect it.
func (w *world) killPrimary() {
	w.dbs[indexOf(string(w.lastRow.Primary))].up = false
	for _, v := range w.vms[:dcCount] {
		v.suspects = v.database().id != w.lastRow.Primary
	}
}

// promotes runs the world until the next term begins, or for the given time, and
// reports whether the next term began.
func (w *world) promotes(within time.Duration) bool {
	term := w.lastRow.Term
	for start := w.now; w.now-start < within && w.violation == "" && w.lastRow.Term == term; {
		w.run(step)
	}
	return w.lastRow.Term > term
}

var _ = Describe("completeness by positions", func() {
	// The primary dies within seconds of two list changes, and callers' writes are
	// refused: no replica is synced in both unsettled lists, and these can't be settled
	// without a position of the dead primary. A replica that holds at least as much as
	// the other one is promoted.
	It("promotes when the primary dies before crossed lists are settled", func() {
		for seed := range uint64(proofSeeds) {
			w := newWorld(seed, modelOptions())
			w.run(time.Second)
			w.crossLists()
			w.killPrimary()
			Expect(w.promotes(5*time.Second)).To(BeTrue(), "seed %d: %+v", seed, w.lastRow)
			w.script(func(*world) {})
			Expect(w.violation).To(BeEmpty())
		}
	})

	// A new primary dies together with its VM before any replica is synced. Classes that
	// wait were refused in its term, and the third replica holds the first entry of that
	// term and so everything of earlier terms. It is promoted.
	It("promotes when a new primary dies before any replica is synced", func() {
		for seed := range uint64(proofSeeds) {
			w := newWorld(seed, modelOptions())
			w.run(time.Second)
			w.killPrimary()
			Expect(w.promotes(5 * time.Second)).To(BeTrue())
			third := w.dbs[3-indexOf(string(w.lastRow.Primary))]
			for third.position().Term < w.lastRow.Term && w.violation == "" {
				w.run(step)
			}
			Expect(Synced(w.lastRow.Promoters)).To(BeEmpty())
			dead := w.vms[indexOf(string(w.lastRow.Primary))]
			dead.pausedUntil = w.now + time.Hour
			w.killPrimary()
			Expect(w.promotes(10*time.Second)).To(BeTrue(), "seed %d: %+v", seed, w.lastRow)
			dead.pausedUntil = w.now
			w.script(func(*world) {})
			Expect(w.violation).To(BeEmpty())
		}
	})

	// One of two synced replicas lags and the other can't be reached, so its position is
	// unknown and the lagging one must not be promoted. Callers wait until the other one
	// is back.
	It("waits for a synced replica that can't be reached", func() {
		w := newWorld(1, modelOptions())
		w.dbs[2].lagging = true
		w.run(time.Second)
		w.crossLists()
		w.dbs[1].up = false
		w.vms[0].pausedUntil = w.now + time.Hour
		w.killPrimary()
		Expect(w.promotes(5 * time.Second)).To(BeFalse())
		Expect(w.blocked).To(BeNumerically(">", 0))
		w.dbs[1].up = true
		Expect(w.promotes(5 * time.Second)).To(BeTrue())
		w.vms[0].pausedUntil = w.now
		w.script(func(*world) {})
		Expect(w.violation).To(BeEmpty())
	})
})
