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
	l.Limits.Admit("acme", 0)
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

// Guards against reports and answers that grow by more than a few bytes for each customer in them.
func TestCarriedFractionsAreSmall(t *testing.T) {
	const customers = 82
	plain, full := &message{Quota: &quota.Answer{}}, &message{Quota: &quota.Answer{}}
	for i := range customers {
		u := quota.Usage{Customer: quota.Tag(1 << 30), Offered: 3, Admitted: 3}
		plain.Usage = append(plain.Usage, u)
		u.Fraction, u.Demand, u.Since = uint16(100+i), 90, 800
		full.Usage = append(full.Usage, u)
		full.Quota.Shares = append(full.Quota.Shares, quota.Share{Customer: quota.Tag(1 << 30), Rate: 200, Fraction: uint16(100 + i)})
	}
	plain.Quota.Shares = full.Quota.Shares
	full.Carried, full.Fractions = carriedOf(full.Usage), fractionsOf(full.Quota.Shares)
	small, err := encode(plain)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := encode(full)
	if err != nil {
		t.Fatal(err)
	}
	if more := (len(raw) - len(small)) / customers; more > 10 {
		t.Fatalf("%d more bytes for a customer in a report and its answer", more)
	}
	fits(t, full)
	back, err := decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	applyCarried(back.Usage, back.Carried)
	applyFractions(back.Quota.Shares, back.Fractions)
	if back.Usage[9] != full.Usage[9] || back.Quota.Shares[9] != full.Quota.Shares[9] {
		t.Fatalf("decoded %v and %v", back.Usage[9], back.Quota.Shares[9])
	}
}
