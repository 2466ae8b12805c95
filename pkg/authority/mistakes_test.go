package authority

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mistakeRuns is the maximum number of runs in which a planted mistake must be caught.
const mistakeRuns = 150

// mistake is one planted mistake and the faults that expose it: a choice of faults in
// random order, or a script if a random order would take too many runs.
type mistake struct {
	plant  func(*mutations)
	kinds  []fault
	script func(*world)
}

// runMistake runs the world with one seed.
func runMistake(m mistake, seed uint64, opts Options) *world {
	w := newWorld(seed, opts)
	if m.script != nil {
		w.script(m.script)
		return w
	}
	r := rand.New(rand.NewPCG(seed, 2))
	order := make([]uint16, 20+r.IntN(60))
	for i := range order {
		order[i] = uint16(r.IntN(1 << 16))
	}
	w.play(m.kinds, order)
	return w
}

// missedReplica scripts a write that is sent while only db1 is synced and reaches the
// primary after db2 has become synced too; db2 is then promoted without it.
func missedReplica(w *world) {
	w.dbs[2].lagging = true
	w.run(3 * time.Second)
	w.slow = true
	w.dbs[2].lagging = false
	w.run(2200*time.Millisecond + time.Duration(w.rng.Int64N(int64(time.Second))))
	w.dbs[2].lagging = true
	w.run(200 * time.Millisecond)
	w.vms[2].suspects = true
	w.run(2 * time.Second)
}

// releasedThenChanged scripts a restart of vm2, for which the holder changes the list
// once the old incarnation has been silent for ReplaceAfter. Just before, vm1 requests
// the release of the right under the old version and can't commit. It learns of the
// list change from the platform only, and promotes under the new version, under which
// it has not promised.
func releasedThenChanged(w *world) {
	w.vms[2].start()
	w.run(100*time.Millisecond + time.Duration(w.rng.Int64N(int64(500*time.Millisecond))))
	w.vms[1].suspects = true
	w.run(20 * time.Millisecond)
	w.platformCut[1] = true
	w.run(100*time.Millisecond + time.Duration(w.rng.Int64N(int64(100*time.Millisecond))))
	w.cut[0][1] = true
	before := w.lastRow.Version
	for tries := 100; tries > 0 && w.lastRow.Version == before; tries-- {
		w.run(step)
	}
	w.run(3 * step)
	w.platformCut[0] = true
	w.platformCut[1] = false
	w.run(2 * time.Second)
}

// staleProof scripts a promotion of db2 after it has caught up while only db1 is synced
// and the holder can't commit a row that marks db2. vm2 receives the position of db1 and
// is then cut off from the primary, which acknowledges further writes that wait for db1
// until vm2's last promise lapses. The earlier position of db1 does not show that db2
// holds these writes.
func staleProof(w *world) {
	w.dbs[2].lagging = true
	w.run(3 * time.Second)
	w.platformCut[0] = true
	w.dbs[2].lagging = false
	w.run(time.Second)
	w.vms[2].suspects = true
	w.run(30*time.Millisecond + time.Duration(w.rng.Int64N(int64(100*time.Millisecond))))
	w.cut[0][2], w.cut[2][0] = true, true
	w.run(3 * time.Second)
}

var _ = Describe("planted mistakes", func() {
	DescribeTable("are caught by the checks of the world", func(m mistake) {
		opts := modelOptions()
		m.plant(&opts.faults)
		for seed := range uint64(mistakeRuns) {
			w := runMistake(m, seed, opts)
			if w.violation == "" {
				continue
			}
			AddReportEntry("caught", w.violation)
			GinkgoWriter.Println("seed", seed, w.violation)
			// The same run without the mistake breaks nothing.
			Expect(runMistake(m, seed, modelOptions()).violation).To(BeEmpty())
			return
		}
		Fail("not caught")
	},
		Entry("no wait for the promises to lapse", mistake{
			plant: func(m *mutations) { m.skipLapse = true },
			kinds: []fault{suspect, isolate, healAll},
		}),
		Entry("promises count from receipt", mistake{
			plant: func(m *mutations) { m.countFromReceipt = true },
			kinds: []fault{messageLoss, suspect, suspect, isolate, healAll},
		}),
		Entry("no check before the acknowledgement", mistake{
			plant: func(m *mutations) { m.noRecheck = true },
			kinds: []fault{pause, suspect, isolate, healAll},
		}),
		Entry("a promise of another version counts", mistake{
			plant:  func(m *mutations) { m.anyVersion = true },
			script: releasedThenChanged,
		}),
		Entry("an unsynced entry promotes", mistake{
			plant: func(m *mutations) { m.promoteUnsynced = true },
			kinds: []fault{lagging, lagging, suspect, isolate, healAll},
		}),
		Entry("unsettled lists are ignored", mistake{
			plant: func(m *mutations) { m.ignoreUnsettled = true },
			kinds: []fault{restart, isolate, suspect, suspect, lagging, cutBoth, cutBoth, healAll},
		}),
		Entry("a restarted VM answers as its earlier incarnation", mistake{
			plant: func(m *mutations) { m.keepOldIncarnation = true },
			kinds: []fault{restart, restart, restart, suspect, suspect, isolate, healAll},
		}),
		Entry("the margin is ignored", mistake{
			plant: func(m *mutations) { m.ignoreMargin = true },
			kinds: []fault{isolate, suspect, healAll},
		}),
		Entry("a write is confirmed that missed a synced replica", mistake{
			plant:  func(m *mutations) { m.confirmWithoutWaits = true },
			script: missedReplica,
		}),
		Entry("a position from before the end of the rights counts as a proof", mistake{
			plant:  func(m *mutations) { m.stalePosition = true },
			script: staleProof,
		}),
	)
})
