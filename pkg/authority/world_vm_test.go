package authority

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// clockError is the maximum error of a clock's rate, in per mille. The model's margin
// is more than twice that.
const clockError = 40

// vm is one VM: the three tables and the code that drives them.
type vm struct {
	w                *world
	index            int
	dc               int
	rate             int64
	offset           time.Duration
	epoch            int
	knownIncarnation topology.Incarnation
	pausedUntil      time.Duration
	suspects         bool
	ticks            int
	holder           *Holder
	promoter         *Promoter
	detector         *Detector
}

func (v *vm) now() mono.Time      { return v.w.time(v) }
func (v *vm) paused() bool        { return v.pausedUntil > v.w.now }
func (v *vm) database() *database { return v.w.dbs[v.dc] }

// start starts the VM with a new incarnation and empty tables.
func (v *vm) start() {
	v.epoch++
	self := topology.VM{ID: vmName(v.index), Incarnation: topology.Incarnation(v.epoch)}
	v.holder = NewHolder(self, v.w.opts)
	v.promoter = NewPromoter(self, v.w.opts, rand.New(rand.NewPCG(uint64(v.index), uint64(v.epoch))), v.now())
	v.detector = NewDetector()
	for _, d := range v.w.dbs {
		v.detector.Watch(d.id, v.now())
	}
	if v.index < dcCount {
		v.holder.Serve(testGroup, v.database().id)
		v.promoter.SetReplica(testGroup, v.database().id)
	}
	inc := topology.Incarnation(v.epoch)
	v.w.after(300*time.Millisecond, func() { v.knownIncarnation = max(v.knownIncarnation, inc) })
}

// deliver runs f now, or when the VM resumes.
func (v *vm) deliver(f func()) {
	if v.paused() {
		v.w.after(v.pausedUntil-v.w.now+time.Microsecond, func() { v.deliver(f) })
		return
	}
	f()
}

// ifNotRestarted returns a function that delivers f unless the VM has restarted since.
// It is used for answers that arrive on a connection of the process.
func (v *vm) ifNotRestarted(f func()) func() {
	epoch := v.epoch
	return func() {
		v.deliver(func() {
			if v.epoch == epoch {
				f()
			}
		})
	}
}

func (v *vm) tick() {
	v.ticks++
	now := v.now()
	if v.ticks%10 == 0 {
		v.fetchStatus()
	}
	if v.ticks%30 == 0 {
		v.readRow()
		v.holder.Candidates(testGroup, v.candidates())
	}
	if v.w.useDetectors {
		v.judge(now)
	} else {
		v.promoter.Suspect(testGroup, v.suspects, now)
	}
	for _, a := range v.holder.Tick(now) {
		v.carryOut(a, false)
	}
	for _, a := range v.promoter.Tick(now) {
		v.carryOut(a, true)
	}
	if v.ticks%2 == 0 {
		v.write(v.ticks%4 == 0)
	}
}

func (v *vm) candidates() []topology.Promoter {
	var out []topology.Promoter
	row := v.holder.Row(testGroup)
	for _, o := range v.w.vms[:dcCount] {
		if row != nil && o.database().id != row.Primary {
			out = append(out, topology.Promoter{VM: vmName(o.index), Incarnation: o.knownIncarnation, Replica: o.database().id})
		}
	}
	return out
}

// fetchStatus reads the status of the VM's own database and makes the database follow
// the row.
func (v *vm) fetchStatus() {
	began := v.now()
	d := v.database()
	v.w.after(v.w.delay(), func() {
		st := d.status()
		if !d.up {
			st = ReplicaStatus{}
		}
		v.w.after(v.w.delay(), v.ifNotRestarted(func() { v.observeStatus(d, st, began) }))
	})
}

func (v *vm) observeStatus(d *database, st ReplicaStatus, began mono.Time) {
	if v.index < dcCount {
		v.promoter.ObserveReplica(testGroup, d.id, st)
	}
	row := v.promoter.Row(testGroup)
	if row == nil || !d.up {
		return
	}
	if st.Reachable && d.isPrimary() && st.Term == row.Term {
		v.holder.ObservePrimary(testGroup, st.Position, began)
	}
	stale := d.term < row.Term || (d.fenced > d.term && !v.promoter.Promoting(testGroup))
	if v.index < dcCount && stale && row.Primary != d.id {
		d.follow(row.Term, row.Primary)
	}
}

func (v *vm) readRow() {
	began := v.now()
	if !v.w.platformReached(v) {
		return
	}
	v.w.after(v.w.delay(), func() {
		row, _ := v.w.read()
		if v.w.lost() {
			return
		}
		v.w.after(v.w.delay(), v.ifNotRestarted(func() { v.observeRow(row, began) }))
	})
}

func (v *vm) observeRow(row *topology.Group, began mono.Time) {
	v.holder.ObserveRow(RowRead{Row: row, Began: began}, v.now())
	v.promoter.ObserveRow(RowRead{Row: row, Began: began}, v.now())
}

func (v *vm) commitRow(row *topology.Group, promoter bool) {
	began := v.now()
	observe := func(r CommitResult) {
		if promoter {
			v.promoter.ObserveCommit(r, v.now())
		} else {
			v.holder.ObserveCommit(r, v.now())
		}
		if r.Status == Committed {
			v.observeRow(row, began)
		}
	}
	if !v.w.platformReached(v) {
		observe(CommitResult{Group: row.ID, ChangeID: row.ChangeID, Status: Unavailable})
		return
	}
	v.w.after(v.w.delay(), func() {
		answerLoss := v.w.rng.IntN(100) < v.w.answerLoss
		late := v.w.delay()
		if answerLoss && v.w.rng.IntN(2) == 0 {
			// The answer is lost, and the commit takes effect later.
			v.w.after(late*10, func() { v.w.commit(row) })
		} else {
			r := v.w.commit(row)
			if !answerLoss {
				v.w.after(late, v.ifNotRestarted(func() { observe(r) }))
				return
			}
		}
		v.w.after(late, v.ifNotRestarted(func() { observe(CommitResult{Group: row.ID, ChangeID: row.ChangeID, Status: Unknown}) }))
	})
}

func (v *vm) carryOut(a Action, promoter bool) {
	w := v.w
	switch a := a.(type) {
	case SendHeartbeat:
		w.call(v, a.To, func(dst *vm) func() {
			resp := dst.promoter.HandleHeartbeat(a.Request, dst.now())
			return func() { v.holder.ObserveHeartbeat(a.To, resp, v.now()) }
		})
	case SendWithdraw:
		w.call(v, a.To, func(dst *vm) func() {
			resp := dst.promoter.HandleWithdraw(a.Request, dst.now())
			return func() {
				if promoter {
					v.promoter.ObserveWithdraw(a.To, resp, v.now())
				} else {
					v.holder.ObserveWithdraw(resp, v.now())
				}
			}
		})
	case SendRelease:
		w.call(v, a.To, func(dst *vm) func() {
			resp := dst.holder.HandleRelease(a.Request, dst.now())
			return func() { v.promoter.ObserveRelease(a.To, resp) }
		})
	case RequestSwitchover:
		w.call(v, a.To, func(dst *vm) func() {
			dst.promoter.Switchover(a.Group, dst.now())
			return func() {}
		})
	case CommitRow:
		v.commitRow(a.Row, promoter)
	case ReadRow:
		v.readRow()
	case FenceReplica:
		if d := v.database(); d.fence(a.Term) {
			at := d.position()
			w.after(w.delay(), v.ifNotRestarted(func() { v.promoter.ObserveFenced(a, at, v.now()) }))
		}
	case FollowPrimary:
		if row := v.promoter.Row(a.Group); row != nil {
			v.database().follow(row.Term, row.Primary)
		}
	case ReadReplica:
		v.readReplica(a)
	case PromotionBlocked:
		w.blocked++
	case PromoteReplica:
		if v.database().promote(w, a.Term) {
			w.after(w.delay(), v.ifNotRestarted(func() { v.holder.ObservePromoted(a.Group, a.Term) }))
		}
	}
}

// readReplica reads the position of a database over a direct connection, without its
// VM.
func (v *vm) readReplica(a ReadReplica) {
	w := v.w
	d := w.dbs[indexOf(string(a.Target))]
	if w.lost() || w.cut[v.dc][d.dc] {
		return
	}
	w.after(w.delay(), func() {
		if !d.up || w.cut[d.dc][v.dc] {
			return
		}
		at := d.position()
		w.after(w.delay(), v.ifNotRestarted(func() { v.promoter.ObservePosition(a, at) }))
	})
}

// write performs one write with both checks. If the VM is paused, the completion is
// handled when it resumes.
func (v *vm) write(wait bool) {
	row := v.holder.Row(testGroup)
	if row == nil {
		return
	}
	right, err := v.holder.Right(testGroup, row.Term, v.now())
	if err != nil || (wait && len(right.WaitFor) == 0) {
		return
	}
	v.w.writes++
	e := entry{term: right.Term, id: v.w.writes}
	d := v.database()
	travel := v.w.delay()
	if v.w.slow && v.w.rng.IntN(3) == 0 {
		travel += time.Duration(v.w.rng.Int64N(int64(4 * time.Second)))
	}
	v.w.after(travel, func() {
		if index, ok := d.write(e); ok {
			v.await(right, d, e, index, wait, 100)
		}
	})
}

func (v *vm) await(right Right, d *database, e entry, index int, wait bool, tries int) {
	if wait {
		for _, t := range right.WaitFor {
			r := v.w.dbs[indexOf(string(t))]
			if r.rewind || len(r.log) <= index || r.log[index] != e {
				if tries > 0 && d.up {
					v.w.after(step, func() { v.await(right, d, e, index, wait, tries-1) })
				}
				return
			}
		}
	}
	v.w.after(v.w.delay(), v.ifNotRestarted(func() {
		if v.holder.Confirm(right, wait, v.now()) == nil {
			v.w.acknowledge(ack{at: v.w.now, vm: vmName(v.index), term: right.Term, entry: e, index: index, waited: wait})
		}
	}))
}

// judge runs the detector against the databases and passes on its results.
func (v *vm) judge(now mono.Time) {
	w := v.w
	for _, a := range v.detector.Tick(now) {
		switch a := a.(type) {
		case Probe:
			d := w.dbs[indexOf(string(a.Target))]
			outcome, wait := d.probed(w.cut[v.dc][d.dc], a.Timeout)
			w.after(wait, v.ifNotRestarted(func() { v.detector.ObserveProbe(a.Target, outcome, now, v.now()) }))
		case AskWitness:
			d := w.dbs[indexOf(string(a.Target))]
			w.call(v, vmName((v.dc+1)%dcCount), func(dst *vm) func() {
				reachable := d.up && !w.cut[dst.dc][d.dc]
				return func() { v.detector.ObserveWitness(a.Target, reachable, v.now()) }
			})
		}
	}
	if row := v.promoter.Row(testGroup); row != nil {
		direct := v.detector.Health(row.Primary, now)
		v.promoter.AssessPrimary(testGroup, direct, now)
		v.holder.SetHealth(testGroup, direct)
	}
}

// probed returns the outcome of a new connection and the time that it takes. A killed
// process refuses; a frozen one or a cut path leaves it unanswered.
func (d *database) probed(cut bool, timeout time.Duration) (ProbeOutcome, time.Duration) {
	switch {
	case cut || (!d.up && d.frozen):
		return ProbeTimedOut, timeout
	case !d.up:
		return ProbeRefused, 2 * time.Millisecond
	}
	return ProbeAnswered, 12 * time.Millisecond
}
