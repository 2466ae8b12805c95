package authority

import (
	"math/rand/v2"
	"time"
)

// fault injects one kind of fault into the world, or ends it if on is false.
type fault func(w *world, r *rand.Rand, on bool)

// faults lists all kinds of faults and repairs. Frequent ones are listed repeatedly.
var faults = []fault{
	cutBoth, cutBoth, cutOneWay, cutPlatform, toggleDown, messageLoss, answerLoss, pause, pause, restart, restart,
	suspect, suspect, suspect, suspect, suspect, databaseDown, spare, spare, switchover, isolate, isolate, lagging, lagging, slowCommands, healAll,
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

func cutPlatform(w *world, r *rand.Rand, on bool) { w.platformCut[r.IntN(dcCount)] = on }
func toggleDown(w *world, r *rand.Rand, on bool)  { w.platformDown = on && !w.platformDown }
func messageLoss(w *world, r *rand.Rand, on bool) { w.messageLoss = r.IntN(25) }
func answerLoss(w *world, r *rand.Rand, on bool)  { w.answerLoss = r.IntN(70) }
func restart(w *world, r *rand.Rand, on bool)     { w.vms[r.IntN(vmCount)].start() }
func databaseDown(w *world, r *rand.Rand, on bool) {
	w.dbs[r.IntN(dcCount)].up = !on
}

func pause(w *world, r *rand.Rand, on bool) {
	w.vms[r.IntN(vmCount)].pausedUntil = w.now + time.Duration(r.IntN(4000))*time.Millisecond
}

func suspect(w *world, r *rand.Rand, on bool) {
	w.vms[r.IntN(dcCount)].suspects = on || r.IntN(2) == 0
}

// isolate cuts a data centre off from everything, and the VMs of the others suspect
// the primary.
func isolate(w *world, r *rand.Rand, on bool) {
	dc := r.IntN(dcCount)
	w.platformCut[dc] = on
	for other := range dcCount {
		w.cut[dc][other] = on && dc != other
		w.cut[other][dc] = on && dc != other
		w.vms[other].suspects = on && dc != other
	}
}

// lagging slows down the replication of one database.
func lagging(w *world, r *rand.Rand, on bool) { w.dbs[r.IntN(dcCount)].lagging = on }

// slowCommands makes some writes reach the primary seconds after the check by Right.
func slowCommands(w *world, r *rand.Rand, on bool) { w.slow = on }

// spare makes the spare VM a second pooler of the first database, or ends that.
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

func healAll(w *world, r *rand.Rand, on bool) { w.heal() }

// swarm returns a random subset of the faults. In a run with all kinds, a single kind
// rarely lasts long enough to expose a rare mistake.
func swarm(r *rand.Rand) []fault {
	if r.IntN(4) == 0 {
		return faults
	}
	out := []fault{suspect, healAll}
	for range 2 + r.IntN(4) {
		out = append(out, faults[r.IntN(len(faults))])
	}
	return out
}

// waits are the possible waits between two faults.
var waits = []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second}
