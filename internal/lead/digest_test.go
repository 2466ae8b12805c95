package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fakeHealth is the health of targets of which one fails.
type fakeHealth struct {
	clock   *mono.Manual
	failing topology.TargetID
}

func (f fakeHealth) Load(id topology.TargetID) (target.Load, bool) {
	if id == f.failing {
		return target.Load{FailingFor: time.Second}, true
	}
	return target.Load{LastAnswer: f.clock.Now()}, true
}

func (fakeHealth) Starved() []topology.TargetID { return nil }

func (fakeHealth) LimitToShare([]topology.TargetID) {}

// newPair returns a coordinator and another VM that know the same rows; the test passes the
// messages.
func newPair(groups int) (coordinator, vm *Lead, clock *mono.Manual) {
	clock = &mono.Manual{T: mono.Time(time.Minute)}
	newLead := func(id topology.VMID) *Lead {
		d := directory.New(topology.VM{ID: id, Incarnation: 1})
		for i := range groups {
			d.SetTarget(directory.Target{Target: topology.Target{ID: targetNumber(i), Group: groupNumber(i)}, ClaimsPrimary: true})
		}
		l := New(Options{Directory: d, Clock: clock, Health: fakeHealth{clock: clock, failing: targetNumber(1)}})
		l.connectedSince = clock.Now().Add(-time.Minute)
		for i := range groups {
			l.holder.Adopt(rowNumber(i))
			l.coordinator.Observe(rowNumber(i), clock.Now(), clock.Now())
			l.following.wanted[groupNumber(i)] = clock.Now() // Callers use all groups.
		}
		return l
	}
	return newLead("vm-1"), newLead("vm-2"), clock
}

func groupNumber(i int) topology.GroupID { return topology.GroupID(fmt.Sprintf("group-%03d", i)) }

func targetNumber(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("target-%03d", i)) }

func rowNumber(i int) *lease.Row {
	return &lease.Row{Group: groupNumber(i), Version: 1, Term: 1, Primary: targetNumber(i), Coordinator: "vm-1", Incarnation: 1, Fence: 1}
}

// renewalOf returns the renewal that a VM would send to vm-1 now.
func renewalOf(l *Lead) *message {
	m := &message{Kind: renewal, From: l.self.ID, Incarnation: 1, Sequence: 1}
	l.reportByDigest(m, l.rowsOf("vm-1"))
	l.renewals["vm-1"] = &renewalState{sentAt: map[uint64]mono.Time{1: l.Clock.Now()}}
	return m
}

// Guards against renewals that grow with the number of groups: one VM receives them from all
// others.
func TestARenewalDoesNotListItsGroups(t *testing.T) {
	_, few, _ := newPair(2)
	_, many, _ := newPair(200)
	size := func(l *Lead) int {
		raw, err := encode(renewalOf(l))
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	if grown := size(many) - size(few); grown > 200/8 {
		t.Fatalf("%d bytes for 200 groups, %d for 2", size(many), size(few))
	}
}

// If both VMs know the same rows, one promise gives all rights, and the coordinator receives the
// VM's reports on each primary.
func TestAPromiseByDigestIsForAllGroups(t *testing.T) {
	coordinator, vm, clock := newPair(20)
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: 1}
	coordinator.promiseByDigest(renewalOf(vm), answer, clock.Now())
	vm.handlePromise(answer)
	for i := range 20 {
		if _, ok := vm.Right(groupNumber(i)); !ok {
			t.Fatalf("no right for group %d", i)
		}
		r := coordinator.reports[groupNumber(i)]["vm-2"]
		if r.target != targetNumber(i) || r.reached != (i != 1) || (r.failing > 0) != (i == 1) {
			t.Fatalf("group %d: %+v", i, r)
		}
	}
}

// Guards against a right under a closed row: its group gets no promise, while the others do.
func TestAPromiseByDigestLeavesOutClosedRows(t *testing.T) {
	coordinator, vm, clock := newPair(20)
	closed := rowNumber(7).Closed(primaryFailed)
	coordinator.coordinator.Withdraw(closed.Group)
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: 1}
	coordinator.promiseByDigest(renewalOf(vm), answer, clock.Now())
	vm.handlePromise(answer)
	for i := range 20 {
		if _, ok := vm.Right(groupNumber(i)); ok != (i != 7) {
			t.Fatalf("group %d: right %v", i, ok)
		}
	}
}

// Guards against a right under an older row: the coordinator has closed it, and requests all rows
// from a VM that knows a different version.
func TestADigestOfOtherRowsIsNoPromise(t *testing.T) {
	coordinator, vm, clock := newPair(20)
	coordinator.coordinator.Observe(rowNumber(7).Closed(primaryFailed), clock.Now(), clock.Now())
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: 1}
	coordinator.promiseByDigest(renewalOf(vm), answer, clock.Now())
	if answer.Digest != 0 || len(answer.Groups) != 0 {
		t.Fatalf("answered %+v", answer)
	}
	if _, ok := vm.Right(groupNumber(0)); ok {
		t.Fatal("a right without a promise")
	}
}

// Guards against a right by an outdated promise: the VM has adopted another row since it sent the
// renewal.
func TestAPromiseForOutdatedRowsIsIgnored(t *testing.T) {
	coordinator, vm, clock := newPair(20)
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: 1}
	coordinator.promiseByDigest(renewalOf(vm), answer, clock.Now())
	vm.holder.Adopt(rowNumber(7).Closed(primaryFailed))
	vm.handlePromise(answer)
	for i := range 20 {
		if _, ok := vm.Right(groupNumber(i)); ok {
			t.Fatalf("a right for group %d", i)
		}
	}
}
