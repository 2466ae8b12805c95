package lead

import (
	"context"
	"encoding/json"
	"log/slog"
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

func (o *orderCounter) Promote(context.Context, Promotion) error {
	o.orders++
	return nil
}

// interleavedControl runs the change of another VM, once, as it answers a status or fails a command to step down, and
// records the commands that it receives.
type interleavedControl struct {
	hook     func()
	commands []string
}

func (c *interleavedControl) runHook() {
	if hook := c.hook; hook != nil {
		c.hook = nil
		hook()
	}
}

func (c *interleavedControl) Status(context.Context, topology.Target) (target.Status, error) {
	c.runHook()
	return target.Status{Term: 1, Received: position.Position{Term: 1, Index: 9}}, nil
}

func (c *interleavedControl) StopReceiving(context.Context, topology.Target, uint64) (target.Status, error) {
	c.commands = append(c.commands, "stop receiving")
	return target.Status{}, nil
}

func (c *interleavedControl) Resume(context.Context, topology.Target) (target.Status, error) {
	c.commands = append(c.commands, "resume")
	return target.Status{}, nil
}

func (c *interleavedControl) StepDown(context.Context, topology.Target, uint64) (target.Status, error) {
	c.commands = append(c.commands, "step down")
	c.runHook()
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
	d.SetConfiguration(&directory.Configuration{Version: 1})
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
