package lead

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/limit"
	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
)

// newLimitedPair returns the allocator and another VM, with a limit for one customer.
func newLimitedPair(t *testing.T) (allocator, vm *Lead) {
	t.Helper()
	registry, err := customer.NewRegistry([]customer.Customer{{ID: "acme", Limit: customer.Limit{Rate: 100, Burst: 100}}})
	if err != nil {
		t.Fatal(err)
	}
	allocator, vm, clock := newPair(1)
	for _, l := range []*Lead{allocator, vm} {
		l.Directory.SetConfiguration(&directory.Configuration{Version: 1, Customers: registry})
		l.Limits = limit.NewLimiter(l.Directory, clock, quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20})
	}
	return allocator, vm
}

// takenRow returns the first group's row after vm-2 has taken it.
func takenRow() *lease.Row { return rowNumber(0).TakenBy("vm-2", 1, "", nil) }

// countsAsNear reports whether acme counts as near its limit at the VM.
func countsAsNear(l *Lead) bool {
	l.Limits.Admit("acme")
	return l.Limits.Report(l.allocatorVM())[0].Near
}

// Guards against warnings of a former allocator, which counts the VMs of the current one as silent and so sees
// nearly every customer near its limit.
func TestOnlyTheCurrentAllocatorWarns(t *testing.T) {
	_, vm := newLimitedPair(t)
	near := []quota.Tag{quota.TagOf("acme")}
	old := termOf(groupNumber(0), 1)
	vm.holder.Adopt(takenRow())
	vm.handleWarning(&message{Kind: warning, From: "vm-1", Near: near, Term: &old})
	vm.handleWarning(&message{Kind: warning, From: "vm-2", Near: near, Term: &old})
	if countsAsNear(vm) {
		t.Fatal("the warning of a former allocator was applied")
	}
	vm.handleWarning(&message{Kind: warning, From: "vm-2", Near: near, Term: vm.term()})
	if !countsAsNear(vm) {
		t.Fatal("the warning of the current allocator was ignored")
	}
}

// Guards against two allocators for the same VMs: one that has paused must stop as soon as a report names a later
// term, and must go on when it has adopted that term's row and is its coordinator.
func TestAFormerAllocatorDoesNotAnswer(t *testing.T) {
	allocator, vm := newLimitedPair(t)
	answered := func(term *allocatorTerm) bool {
		answer := &message{}
		allocator.allocate(&message{Kind: renewal, From: "vm-2", Term: term}, answer, allocator.Clock.Now())
		return answer.Quota != nil
	}
	if !answered(vm.term()) || !answered(nil) {
		t.Fatal("the allocator does not answer")
	}
	later := termOf(groupNumber(0), 2)
	if answered(&later) || answered(vm.term()) {
		t.Fatal("a former allocator answers")
	}
	row := rowNumber(0)
	row.Version = 2
	allocator.holder.Adopt(row)
	if !answered(&later) {
		t.Fatal("the allocator of the later term does not answer")
	}
}

// Guards against answers that a former allocator sent before its VM adopted the row of a later term.
func TestAnAnswerOfAFormerAllocatorIsIgnored(t *testing.T) {
	_, vm := newLimitedPair(t)
	old := termOf(groupNumber(0), 1)
	vm.holder.Adopt(takenRow())
	vm.applyQuota(&message{From: "vm-1", Quota: &quota.Answer{Near: []quota.Tag{quota.TagOf("acme")}}, Term: &old}, vm.Clock.Now())
	if countsAsNear(vm) {
		t.Fatal("the answer of a former allocator was applied")
	}
}
