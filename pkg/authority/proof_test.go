package authority

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// proofSeeds is how many seeds each scripted case runs with.
const proofSeeds = 10

// lists of two promoters with the given synced entries.
func twoPromoters(first, second bool) []topology.Promoter {
	return []topology.Promoter{
		{VM: vmName(1), Incarnation: 1, Replica: targetName(1), Synced: first},
		{VM: vmName(2), Incarnation: 1, Replica: targetName(2), Synced: second},
	}
}

// crossLists puts a row in place that has two unsettled lists, each with another
// synced replica, as changes of the list at a start leave it.
func (w *world) crossLists() {
	row := w.last.Clone()
	row.Version = 11
	row.ChangeID = "crossed"
	row.Promoters = twoPromoters(true, true)
	row.Unsettled = []topology.PromoterList{
		{Version: 5, Promoters: twoPromoters(true, false)},
		{Version: 6, Promoters: twoPromoters(false, true)},
	}
	_, revision := w.read()
	w.put(row, revision)
	w.last = row
}

// killPrimary stops the present primary's database for good and has all others
// suspect it.
func (w *world) killPrimary() {
	w.dbs[indexOf(string(w.last.Primary))].up = false
	for _, v := range w.vms[:dcCount] {
		v.suspects = v.database().id != w.last.Primary
	}
}

// promotes runs the world until the next term begins, or for the time given.
func (w *world) promotes(within time.Duration) bool {
	term := w.last.Term
	for start := w.now; w.now-start < within && w.broken == "" && w.last.Term == term; {
		w.run(step)
	}
	return w.last.Term > term
}

var _ = Describe("completeness by positions", func() {
	// Callers' writes are refused after the primary died within seconds of two
	// changes of the list: no replica is synced in both unsettled lists, and they
	// can't be settled without a position of the dead primary. The replica that
	// holds as much as the other one is promoted.
	It("promotes when the primary dies before crossed lists are settled", func() {
		for seed := range uint64(proofSeeds) {
			w := newWorld(seed, modelOptions())
			w.run(time.Second)
			w.crossLists()
			w.killPrimary()
			Expect(w.promotes(5*time.Second)).To(BeTrue(), "seed %d: %+v", seed, w.last)
			w.script(func(*world) {})
			Expect(w.broken).To(BeEmpty())
		}
	})

	// The new primary dies with its VM before any replica is synced. Classes that
	// wait were refused by it, and the third replica holds its first entry, so
	// everything of the terms before: it is promoted.
	It("promotes when a new primary dies before any replica is synced", func() {
		for seed := range uint64(proofSeeds) {
			w := newWorld(seed, modelOptions())
			w.run(time.Second)
			w.killPrimary()
			Expect(w.promotes(5 * time.Second)).To(BeTrue())
			third := w.dbs[3-indexOf(string(w.last.Primary))]
			for third.position().Term < w.last.Term && w.broken == "" {
				w.run(step)
			}
			Expect(Synced(w.last.Promoters)).To(BeEmpty())
			dead := w.vms[indexOf(string(w.last.Primary))]
			dead.until = w.now + time.Hour
			w.killPrimary()
			Expect(w.promotes(10*time.Second)).To(BeTrue(), "seed %d: %+v", seed, w.last)
			dead.until = w.now
			w.script(func(*world) {})
			Expect(w.broken).To(BeEmpty())
		}
	})

	// Of the two synced replicas one lags, and the other one is out of reach: what
	// it holds is unknown, so the one that lags must not be promoted. Callers
	// wait, and go on once the other one is back.
	It("waits for a synced replica that is out of reach", func() {
		w := newWorld(1, modelOptions())
		w.dbs[2].lagging = true
		w.run(time.Second)
		w.crossLists()
		w.dbs[1].up = false
		w.vms[0].until = w.now + time.Hour
		w.killPrimary()
		Expect(w.promotes(5 * time.Second)).To(BeFalse())
		Expect(w.blocked).To(BeNumerically(">", 0))
		w.dbs[1].up = true
		Expect(w.promotes(5 * time.Second)).To(BeTrue())
		w.vms[0].until = w.now
		w.script(func(*world) {})
		Expect(w.broken).To(BeEmpty())
	})
})
