package authority

import (
	"math/rand/v2"
	"time"
)

// fault is one thing that a schedule does to the world.
type fault func(w *world, r *rand.Rand, on bool)

// faults and repairs, the frequent ones more than once.
var faults = []fault{
	cutBoth, cutBoth, cutOneWay, cutPlatform, toggleDown, lossy, unsure, pause, pause, restart, restart,
	suspect, suspect, suspect, suspect, suspect, databaseDown, spare, spare, switchover, isolate, isolate, lagging, lagging, slowCommands, mend,
}

func cutBoth(w *world, r *rand.Rand, on bool) {
	i, j := r.IntN(dcCount), r.IntN(dcCount)
	w.cut[i][j] = on && i != j
	w.cut[j][i] = w.cut[i][j]
}

func cutOneWay(w *world, r *rand.Rand, on bool) {
	i, j := r.IntN(dcCount), r.IntN(dcCount)
	w.cut[i][j] = on && i != j
}

func cutPlatform(w *world, r *rand.Rand, on bool) { w.platCut[r.IntN(dcCount)] = on }
func toggleDown(w *world, r *rand.Rand, on bool)  { w.down = on && !w.down }
func lossy(w *world, r *rand.Rand, on bool)       { w.lossy = r.IntN(25) }
func unsure(w *world, r *rand.Rand, on bool)      { w.unsure = r.IntN(70) }
func restart(w *world, r *rand.Rand, on bool)     { w.vms[r.IntN(vmCount)].start() }
func databaseDown(w *world, r *rand.Rand, on bool) {
	w.dbs[r.IntN(dcCount)].up = !on
}

func pause(w *world, r *rand.Rand, on bool) {
	w.vms[r.IntN(vmCount)].until = w.now + time.Duration(r.IntN(4000))*time.Millisecond
}

func suspect(w *world, r *rand.Rand, on bool) {
	w.vms[r.IntN(dcCount)].suspects = on || r.IntN(2) == 0
}

// isolate cuts a data centre off from everything, and the others suspect.
func isolate(w *world, r *rand.Rand, on bool) {
	dc := r.IntN(dcCount)
	w.platCut[dc] = on
	for other := range dcCount {
		w.cut[dc][other] = on && dc != other
		w.cut[other][dc] = on && dc != other
		w.vms[other].suspects = on && dc != other
	}
}

// lagging slows one replica down.
func lagging(w *world, r *rand.Rand, on bool) { w.dbs[r.IntN(dcCount)].lagging = on }

// slowCommands lets some writes reach the primary seconds after the first check.
func slowCommands(w *world, r *rand.Rand, on bool) { w.slow = on }

// spare makes the spare VM a second pooler of the first database.
func spare(w *world, r *rand.Rand, on bool) {
	v := w.vms[dcCount]
	if on {
		v.holder.Serve(testGroup, v.database().id)
		return
	}
	v.holder.Drop(testGroup)
}

func switchover(w *world, r *rand.Rand, on bool) {
	for _, v := range w.vms[:dcCount] {
		v.holder.Drain(testGroup, targetName(r.IntN(dcCount)), v.now())
		v.holder.Drained(testGroup, v.now())
	}
}

func mend(w *world, r *rand.Rand, on bool) { w.heal() }

// swarm returns a few kinds of faults. A run with all kinds rarely gives one of
// them the time that a rare mistake needs.
func swarm(r *rand.Rand) []fault {
	if r.IntN(4) == 0 {
		return faults
	}
	out := []fault{suspect, mend}
	for range 2 + r.IntN(4) {
		out = append(out, faults[r.IntN(len(faults))])
	}
	return out
}

// waits between two faults.
var waits = []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second}
