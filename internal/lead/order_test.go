package lead

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// interleavedStore runs the changes of other VMs between the calls of this one. A hook runs once.
type interleavedStore struct {
	metastore.Store
	// beforeList and afterList run before a reading and before its answer is applied, and afterPut after a write of the key
	// in afterPutOf.
	beforeList, afterList, afterPut func()
	afterPutOf                      string
}

func (s *interleavedStore) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	if hook := s.beforeList; hook != nil {
		s.beforeList = nil
		hook()
	}
	rows, err := s.Store.List(ctx, table, keys)
	if hook := s.afterList; hook != nil {
		s.afterList = nil
		hook()
	}
	return rows, err
}

func (s *interleavedStore) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	version, err := s.Store.Put(ctx, table, key, value, expected)
	if hook := s.afterPut; hook != nil && key == s.afterPutOf {
		s.afterPut = nil
		hook()
	}
	return version, err
}

// pausedClock is the system's clock on a VM that is paused for some time.
type pausedClock struct{ paused atomic.Int64 }

func (c *pausedClock) Now() mono.Time { return mono.System{}.Now().Add(time.Duration(c.paused.Load())) }

func (c *pausedClock) pause(d time.Duration) { c.paused.Add(int64(d)) }

// orderCounter counts the promotion orders that it receives.
type orderCounter struct{ orders int }

func (o *orderCounter) Promote(context.Context, topology.GroupID, topology.TargetID, topology.VMID, uint64) error {
	o.orders++
	return nil
}

// interleavedControl runs the change of another VM, once, as it answers a status or fails a command to step down, and
// records the commands that it receives.
type interleavedControl struct {
	mu       sync.Mutex
	hook     func()
	commands []string
}

func (c *interleavedControl) record(command string, runsHook bool) {
	c.mu.Lock()
	hook := c.hook
	if runsHook {
		c.hook = nil
	}
	if command != "" {
		c.commands = append(c.commands, command)
	}
	c.mu.Unlock()
	if runsHook && hook != nil {
		hook()
	}
}

func (c *interleavedControl) sent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.commands)
}

func (c *interleavedControl) Status(context.Context, topology.Target) (target.Status, error) {
	c.record("", true)
	return target.Status{Term: 1, Received: position.Position{Term: 1, Index: 9}}, nil
}

func (c *interleavedControl) StopReceiving(context.Context, topology.Target, uint64) (target.Status, error) {
	c.record("stop receiving", false)
	return target.Status{}, nil
}

func (c *interleavedControl) Resume(context.Context, topology.Target) (target.Status, error) {
	c.record("resume", false)
	return target.Status{}, nil
}

func (c *interleavedControl) StepDown(context.Context, topology.Target, uint64) (target.Status, error) {
	c.record("step down", true)
	return target.Status{}, errors.New("no answer")
}

// replacing is a VM that replaces the primary of the group g: the row is closed, with the candidate b.
type replacing struct {
	t        *testing.T
	memory   *metastore.Memory
	store    *interleavedStore
	orders   *orderCounter
	control  *interleavedControl
	clock    *pausedClock
	replaces *replacement
}

func newReplacing(t *testing.T, dutyHolder topology.VMID) *replacing {
	t.Helper()
	x := &replacing{t: t, memory: metastore.NewMemory(), orders: &orderCounter{}, control: &interleavedControl{}, clock: &pausedClock{}}
	x.store = &interleavedStore{Store: x.memory}
	open := &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}
	row := open.Closed("primary_failed").WithCandidate("b", position.Position{Term: 1, Index: 9}, false)
	x.put(groupPrefix+"g", row)
	x.put(dutyKey, duty{Holder: dutyHolder, Incarnation: 1, Fence: 1})
	d := directory.New(topology.VM{ID: "vm-1", Incarnation: 1})
	for _, id := range []topology.TargetID{"a", "b"} {
		d.SetTarget(directory.Target{Target: topology.Target{ID: id, Group: "g"}})
	}
	l := New(Options{
		Directory: d, Store: x.store, Promotions: x.orders, Control: x.control, Health: fixedAnswerTime{},
		Clock: x.clock, Log: slog.New(slog.DiscardHandler), Transport: silentTransport(t),
	})
	l.reading = true // Keeps a reading in the background from running the hooks.
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	l.duty.usableFrom, l.duty.read = 0, 0 // It has held the duty for long, and must read it again.
	x.replaces = &replacement{Lead: l, group: "g", row: l.coordinator.Row("g")}
	return x
}

// put writes a row at its present version.
func (x *replacing) put(key string, value any) {
	x.t.Helper()
	rows, err := x.memory.List(x.t.Context(), Table, metastore.Key(key))
	if err != nil {
		x.t.Fatal(err)
	}
	var version metastore.Version
	if len(rows.Rows) > 0 {
		version = rows.Rows[0].Version
	}
	mustPut(x.t, x.memory, key, value, version)
}

// loseGroup lets vm-2 take the group over and open its row for another primary.
func (x *replacing) loseGroup() {
	x.t.Helper()
	taken := x.replaces.row.TakenBy("vm-2", 1, "vm-2", nil)
	x.put(groupPrefix+"g", taken.WithCandidate("c", position.Position{Term: 1, Index: 9}, false).Opened(2))
}

// learnLoss is loseGroup, which this VM learns of at once.
func (x *replacing) learnLoss() {
	x.t.Helper()
	x.loseGroup()
	if err := x.replaces.readDecisions(x.t.Context()); err != nil {
		x.t.Error(err)
	}
}

// loseAll is loseGroup, with the duty.
func (x *replacing) loseAll() {
	x.t.Helper()
	x.loseGroup()
	x.put(dutyKey, duty{Holder: "vm-2", Incarnation: 1, Fence: 2})
}

func (x *replacing) isStored(key string) bool {
	x.t.Helper()
	rows, err := x.memory.List(x.t.Context(), Table, metastore.Key(key))
	if err != nil {
		x.t.Fatal(err)
	}
	return len(rows.Rows) > 0
}

func (x *replacing) dutyHolder() topology.VMID {
	x.t.Helper()
	rows, err := x.memory.List(x.t.Context(), Table, metastore.Key(dutyKey))
	if err != nil {
		x.t.Fatal(err)
	}
	var d duty
	if err := json.Unmarshal(rows.Rows[0].Value, &d); err != nil {
		x.t.Fatal(err)
	}
	return d.Holder
}

// Guards against a promotion of the former candidate after another VM has opened the row for another
// primary: the callers' writes there are acknowledged and rolled back.
func TestNoOrderForAGroupThatWasLostMeanwhile(t *testing.T) {
	for _, c := range []struct {
		name       string
		dutyHolder topology.VMID
		interleave func(*replacing)
		wantDuty   topology.VMID
	}{
		{"before the duty is read", "vm-1", func(x *replacing) { x.store.beforeList = x.loseAll }, "vm-2"},
		{"before the duty is read, which stays with this VM", "vm-1", func(x *replacing) { x.store.beforeList = x.loseGroup }, "vm-1"},
		{"while the duty is claimed", "vm-2", func(x *replacing) { x.store.afterPut, x.store.afterPutOf = x.loseGroup, dutyKey }, "vm-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newReplacing(t, c.dutyHolder)
			c.interleave(x)
			err := x.replaces.orderPromotion(t.Context(), "b")
			if x.orders.orders != 0 || !errors.Is(err, errSuperseded) {
				t.Errorf("%d orders for a group of another VM, error %v", x.orders.orders, err)
			}
			if holder := x.dutyHolder(); holder != c.wantDuty {
				t.Errorf("the duty is with %s", holder)
			}
		})
	}
}

// Guards against an order with a lower token than one that was sent before it: the VM is paused after it has read or claimed
// the duty, and another VM takes group and duty meanwhile.
func TestNoOrderByAReadingOfBeforeAPause(t *testing.T) {
	const pause = 2 * time.Second
	for _, c := range []struct {
		name       string
		dutyHolder topology.VMID
		interleave func(x *replacing, paused func())
	}{
		{"before the reading is applied", "vm-1", func(x *replacing, paused func()) { x.store.afterList = paused }},
		{"before the claim is answered", "", func(x *replacing, paused func()) { x.store.afterPut, x.store.afterPutOf = paused, dutyKey }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newReplacing(t, c.dutyHolder)
			c.interleave(x, func() {
				x.clock.pause(pause)
				x.loseAll()
			})
			err := x.replaces.orderPromotion(t.Context(), "b")
			if x.orders.orders != 0 || !errors.Is(err, errSuperseded) {
				t.Errorf("%d orders after a pause, error %v", x.orders.orders, err)
			}
		})
	}
}

// Guards against orders that are never sent, or by a reading of any age, while every answer of the store takes long.
func TestOrdersWhileTheStoreIsSlow(t *testing.T) {
	for answer, want := range map[time.Duration]int{maxDutyAge + 50*time.Millisecond: 1, maxOrderReadingAge + 50*time.Millisecond: 0} {
		x := newReplacing(t, "vm-1")
		var slow func()
		slow = func() {
			x.clock.pause(answer)
			x.store.afterList = slow
		}
		x.store.afterList = slow
		err := x.replaces.orderPromotion(t.Context(), "b")
		if x.orders.orders != want || want == 0 && !errors.Is(err, errDutyNotConfirmed) {
			t.Errorf("%d orders with answers after %v, error %v", x.orders.orders, answer, err)
		}
	}
}

// Guards against orders that are never sent: nothing changes while the duty is read, claimed and waited for.
func TestAnOrderForAGroupThatIsStillCoordinated(t *testing.T) {
	for _, holder := range []topology.VMID{"vm-1", "vm-2"} {
		x := newReplacing(t, holder)
		if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil || x.orders.orders != 1 {
			t.Errorf("duty with %s: %d orders, error %v", holder, x.orders.orders, err)
		}
	}
}

// Guards against commands to another coordinator's targets: its primary would step down, and its replicas would stop
// receiving.
func TestNoCommandForAGroupThatWasLostMeanwhile(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(context.Context, *replacement)
		want []string
	}{
		{"a candidate is stopped", func(ctx context.Context, r *replacement) { _ = r.choose(ctx, stepDownResult{}) }, nil},
		{"the primary steps down", func(ctx context.Context, r *replacement) { r.stepDown(ctx, "primary_leaving") }, []string{"step down"}},
		{"a candidate resumes", func(ctx context.Context, r *replacement) {
			_, _ = r.Control.Status(ctx, topology.Target{})
			r.resumeReceiving(ctx, "b")
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newReplacing(t, "vm-1")
			x.control.hook = x.learnLoss
			c.run(t.Context(), x.replaces)
			if sent := x.control.sent(); !slices.Equal(sent, c.want) {
				t.Fatalf("commands %v", sent)
			}
		})
	}
}

// Guards against a duty that is taken from its holder for groups that another VM has taken over meanwhile: the holder's next
// order waits until the duty has settled again.
func TestTheDutyIsNotClaimedForGroupsThatWereLostMeanwhile(t *testing.T) {
	x := newReplacing(t, "vm-9")
	l := x.replaces.Lead
	x.put(groupPrefix+"g", x.replaces.row.TakenBy("vm-9", 1, "vm-9", nil))
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	x.store.afterPutOf, x.store.afterPut = groupPrefix+"g", func() {
		taken := x.replaces.row.TakenBy("vm-9", 1, "vm-9", nil).TakenBy("vm-1", 1, "vm-1", nil)
		x.put(groupPrefix+"g", taken.TakenBy("vm-2", 1, "vm-2", nil))
	}
	l.takeOver(t.Context(), "vm-9", []topology.GroupID{"g"}, "silent")
	if holder := x.dutyHolder(); holder != "vm-9" {
		t.Fatalf("the duty is with %s", holder)
	}
}

// Guards against a VM that takes the duty from its present holder after a restoration of the store, since it held it before.
func TestTheDutyIsNotClaimedAgainFromItsNextHolder(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l := x.replaces.Lead
	x.memory.Restore(x.memory.Backup())
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	x.store.beforeList = func() { x.put(dutyKey, duty{Holder: "vm-2", Incarnation: 1, Fence: fencesPerEra}) }
	l.mu.Lock()
	l.renewDuty(t.Context())
	l.mu.Unlock()
	for l.isRenewingDuty() {
		time.Sleep(time.Millisecond)
	}
	if holder := x.dutyHolder(); holder != "vm-2" {
		t.Fatalf("the duty is with %s", holder)
	}
}

func (l *Lead) isRenewingDuty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewingDuty
}

// Guards against rights for a replaced primary: a coordinator that learns from another VM that it has a successor, which it
// confirms, gives promises until it reads the store.
func TestACoordinatorThatLearnsOfItsSuccessorStops(t *testing.T) {
	x := newReplacing(t, "vm-1")
	l, row := x.replaces.Lead, x.replaces.row.Resumed()
	x.put(groupPrefix+"g", row)
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	promises := func() bool { return l.coordinator.Promise("g", "vm-3", 1, row.Version, l.Clock.Now()) }
	if !promises() {
		t.Fatal("no promise before")
	}
	l.handleNotice(&message{From: "vm-2", Groups: []groupEntry{{Group: "g", Row: row.TakenBy("vm-2", 1, "vm-2", nil)}}})
	if promises() {
		t.Fatal("a promise after its successor's row was adopted")
	}
}

// Guards against an order before that of a former holder that is still in flight: this VM has not read that it lost the duty,
// and the former holder gives it back.
func TestADutyThatReturnsSettlesAgain(t *testing.T) {
	x := newReplacing(t, "vm-1")
	x.put(dutyKey, duty{Holder: "vm-2", Incarnation: 1, Fence: 2})
	x.put(dutyKey, duty{Holder: "vm-1", Incarnation: 1, Fence: 3})
	begun := x.clock.Now()
	if err := x.replaces.orderPromotion(t.Context(), "b"); err != nil || x.orders.orders != 1 {
		t.Fatalf("%d orders, error %v", x.orders.orders, err)
	}
	if took := x.clock.Now().Sub(begun); took < dutySettleTime {
		t.Fatalf("ordered after %v", took)
	}
}
