package authority

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The world simulates several VMs on one event queue with an unreliable network:
// messages are lost, delayed, reordered and duplicated, VMs pause and restart, their
// clocks run at different rates, and answers of the platform are lost.

const (
	testGroup = topology.GroupID("ledger/1")
	tableKey  = "group/ledger/1"
	step      = 10 * time.Millisecond
	vmCount   = 4
	dcCount   = 3
)

type event struct {
	at   time.Duration
	seq  int
	fire func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type ack struct {
	at     time.Duration
	vm     topology.VMID
	term   uint64
	entry  entry
	index  int
	waited bool
}

type world struct {
	opts         Options
	rng          *rand.Rand
	now          time.Duration
	events       queue
	seq          int
	vms          []*vm
	dbs          []*database
	table        *platform.Memory
	cut          [dcCount][dcCount]bool
	platformCut  [dcCount]bool
	platformDown bool
	// messageLoss and answerLoss are the percentages of messages and of answers of the
	// platform that are lost.
	messageLoss, answerLoss int
	// useDetectors makes the VMs use their detectors. Without it the schedule sets which
	// VMs suspect the primary.
	useDetectors bool
	slow         bool
	acks         []ack
	lastRow      *topology.Group
	violation    string
	writes       int
	// blocked counts the attempts that were given up because a replica could not be
	// reached.
	blocked int
}

func newWorld(seed uint64, opts Options) *world {
	opts.CheckInvariants = true
	w := &world{opts: opts, rng: rand.New(rand.NewPCG(seed, 1)), table: platform.NewMemory()}
	row := &topology.Group{ID: testGroup, Version: 1, Term: 1, Primary: targetName(0), ChangeID: "first"}
	for i := range dcCount {
		w.dbs = append(w.dbs, &database{id: targetName(i), dc: i, up: true, term: 1, primary: row.Primary})
		if i > 0 {
			row.Promoters = append(row.Promoters, topology.Promoter{VM: vmName(i), Incarnation: 1, Replica: targetName(i), Synced: true})
		}
	}
	w.put(row, 0)
	w.lastRow = row
	for i := range vmCount {
		v := &vm{w: w, index: i, dc: i % dcCount, knownIncarnation: 1}
		v.rate = int64(w.rng.IntN(3)-1) * clockError
		v.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
		w.vms = append(w.vms, v)
		v.start()
	}
	return w
}

func vmName(i int) topology.VMID         { return topology.VMID(fmt.Sprintf("vm%d", i)) }
func targetName(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("db%d", i)) }
func indexOf(id string) int              { return int(id[len(id)-1] - '0') }

// fail records the first violation, which the property reports.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, fire func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, fire: fire})
}

// delay returns the delay of a message, which is mostly short. With message loss, some
// messages are delayed for seconds.
func (w *world) delay() time.Duration {
	d := time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Millisecond)))
	if w.messageLoss > 0 && w.rng.IntN(100) < w.messageLoss {
		d += time.Duration(w.rng.Int64N(int64(2500 * time.Millisecond)))
	}
	return d
}

func (w *world) lost() bool { return w.rng.IntN(100) < w.messageLoss }

// run advances the world and stops at the first violation.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for w.now < end && w.violation == "" {
		next := w.now + step
		for len(w.events) > 0 && w.events[0].at <= next {
			e := heap.Pop(&w.events).(event)
			w.now = max(w.now, e.at)
			e.fire()
		}
		w.now = next
		w.replicate()
		for _, v := range w.vms {
			if !v.paused() {
				v.tick()
			}
		}
	}
}

// call sends a request to a VM and its answer back. Handlers of a paused VM run when it
// resumes; a request reaches the incarnation that runs by then.
func (w *world) call(from *vm, to topology.VMID, handle func(*vm) func()) {
	dst := w.vms[indexOf(string(to))]
	copies := 1
	if w.messageLoss > 0 && w.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if w.lost() || w.cut[from.dc][dst.dc] {
			continue
		}
		w.after(w.delay(), func() { dst.deliver(func() { w.answer(from, dst, handle(dst)) }) })
	}
}

func (w *world) answer(from, dst *vm, observe func()) {
	if w.lost() || w.cut[dst.dc][from.dc] {
		return
	}
	w.after(w.delay(), func() { from.deliver(observe) })
}

func (w *world) platformReached(v *vm) bool { return !w.platformDown && !w.platformCut[v.dc] }

// read returns the stored row and its revision.
func (w *world) read() (*topology.Group, uint64) {
	rows, _, _ := w.table.Scan(context.Background(), tableKey, 0)
	var row topology.Group
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		panic(err)
	}
	return &row, rows[0].Revision
}

func (w *world) put(row *topology.Group, revision uint64) bool {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	out, _ := w.table.Commit(context.Background(), platform.Txn{
		Conditions: []platform.Condition{{Key: tableKey, Revision: revision}},
		Writes:     []platform.Write{{Key: tableKey, Value: value}},
	})
	return out.Committed
}

// commit carries out a CommitRow on the platform.
func (w *world) commit(row *topology.Group) CommitResult {
	out := CommitResult{Group: row.ID, ChangeID: row.ChangeID, Status: Conflict}
	current, revision := w.read()
	if current.ChangeID == row.ChangeID {
		out.Status = Committed
		return out
	}
	if current.Version+1 != row.Version || !w.put(row, revision) {
		out.Row = current
		return out
	}
	if row.Term < w.lastRow.Term || row.Version <= w.lastRow.Version || len(row.Promoters) == 0 {
		w.fail("row %+v after %+v", row, w.lastRow)
	}
	w.lastRow = row.Clone()
	out.Status = Committed
	return out
}

// acknowledge records an acknowledgement. None may come from a replaced primary after
// the commit of the next term, which precedes that term's first acknowledgement.
func (w *world) acknowledge(a ack) {
	w.acks = append(w.acks, a)
	if a.term < w.lastRow.Term {
		w.fail("%s acknowledged in term %d, and term %d had begun", a.vm, a.term, w.lastRow.Term)
	}
}

// checkWrites checks that no acknowledged write that waited for a replica is missing in
// the primary's log, and that the row's history reports every other one that is.
func (w *world) checkWrites(d *database) {
	for _, a := range w.acks {
		if a.index < len(d.log) && d.log[a.index] == a.entry {
			continue
		}
		if a.waited {
			w.fail("waited write %v of %s at %d vanished in term %d", a.entry, a.vm, a.index, d.term)
			return
		}
		if !w.lastRow.Lost(a.entry.position(a.index)) {
			w.fail("lost write %v at %d is not reported: %+v", a.entry, a.index, w.lastRow.History)
			return
		}
	}
}

// heal ends all faults of the network, the platform and the databases, and all
// suspicions. It does not resume paused VMs.
func (w *world) heal() {
	w.cut = [dcCount][dcCount]bool{}
	w.platformCut = [dcCount]bool{}
	w.platformDown = false
	w.messageLoss = 0
	w.answerLoss = 0
	w.slow = false
	for _, d := range w.dbs {
		d.up = true
		d.lagging = false
	}
	for _, v := range w.vms {
		v.suspects = false
	}
}

func (w *world) time(v *vm) mono.Time {
	return mono.Time(v.offset + w.now + w.now*time.Duration(v.rate)/1000)
}
