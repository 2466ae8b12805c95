package lead

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// relocationDelay is how long another data centre must have been the safer one before the
	// coordination moves there. It is longer than one change of a primary, which another may follow
	// in the same release or partition.
	relocationDelay = 3 * time.Second
	// relocationCheckPeriod is how often a coordinator looks for a safer place, which takes a look at all
	// VMs and groups.
	relocationCheckPeriod = 200 * time.Millisecond
	// relocationCoresFactor is how many times this VM's cores another VM must have to be preferred
	// for its size.
	relocationCoresFactor = 2
	// handBackDelay is how long a coordinator gets no group back after this VM took its groups
	// over: as long as most outages of the store last for a single VM.
	handBackDelay = 10 * time.Second
)

// relocation tracks how long another data centre has been the safer place for the coordination.
type relocation struct {
	dataCentre topology.DataCentre
	since      mono.Time
	// checked is when this VM last looked for a safer place.
	checked mono.Time
}

// dutyHolderFor returns the holder of the promotion duty if it is another VM that is alive: the
// coordinator of a group would have to claim the duty from it before a promotion.
func (l *Lead) dutyHolderFor(group topology.GroupID, now mono.Time) (topology.VM, bool) {
	if l.duty.Holder == "" || l.duty.Holder == l.self.ID || l.leaving || l.changing[group] {
		return topology.VM{}, false
	}
	return l.usableDutyHolder(now)
}

// usableDutyHolder returns the holder of the duty if it is alive and its groups were not taken over
// recently. A coordinator that only lacks the store keeps exchanging messages with the VMs, and its
// groups would move back and forth between it and the VM that takes them over.
func (l *Lead) usableDutyHolder(now mono.Time) (topology.VM, bool) {
	vm, ok := l.Directory.VM(l.duty.Holder)
	taken := l.lastTakeover[l.duty.Holder]
	if !ok || vm.Incarnation != l.duty.Incarnation || !l.isAlive(vm, now) || taken != 0 && now.Sub(taken) < handBackDelay {
		return topology.VM{}, false
	}
	return vm, true
}

// dutyHeldElsewhere reports whether another usable VM holds the duty.
func (l *Lead) dutyHeldElsewhere(now mono.Time) bool {
	vm, ok := l.usableDutyHolder(now)
	return ok && vm.ID != l.self.ID
}

// isAlive reports whether a VM has recently sent a message and has not announced that it is
// leaving.
func (l *Lead) isAlive(vm topology.VM, now mono.Time) bool {
	lastMessage := l.lastMessage[vm.ID]
	return l.leavingVMs[vm.ID] != vm.Incarnation && lastMessage != 0 && now.Sub(lastMessage) < silentAfter
}

// relocate gives the duty, which the groups then follow, to a VM in a data centre with fewer
// primaries. Losing a data centre with the coordinator and primaries stops their groups for longer
// than losing the primaries alone, because the coordinator's last promises must then expire first.
func (l *Lead) relocate(ctx context.Context, now mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.relocation.checked) < relocationCheckPeriod {
		return
	}
	l.relocation.checked = now
	to, ok := l.saferVM(now)
	if !ok || l.relocation.dataCentre != to.DataCentre {
		l.relocation.dataCentre, l.relocation.since = to.DataCentre, now
		return
	}
	if now.Sub(l.relocation.since) < relocationDelay {
		return
	}
	l.relocation.since = now // One attempt per relocationDelay.
	go l.giveDuty(ctx, to)
}

// saferVM returns the first VM by rank that is alive, if its data centre holds fewer primaries than
// this VM's, or as few and it has many more cores. It returns none while a change is in progress
// that a move would disturb.
func (l *Lead) saferVM(now mono.Time) (topology.VM, bool) {
	if l.relocationBlocked(now) {
		return topology.VM{}, false
	}
	primaries := l.primaries()
	for _, id := range l.rank() {
		vm, ok := l.Directory.VM(id)
		fewer := primaries[vm.DataCentre] - primaries[l.self.DataCentre]
		if fewer > 0 || fewer == 0 && !muchLarger(vm, l.self) {
			break // The rank is sorted by fewest primaries, then by most cores.
		}
		taken := l.lastTakeover[id]
		if ok && l.isAlive(vm, now) && (taken == 0 || now.Sub(taken) >= handBackDelay) {
			return vm, true
		}
	}
	return topology.VM{}, false
}

func muchLarger(a, b topology.VM) bool {
	return b.Cores > 0 && a.Cores >= relocationCoresFactor*b.Cores
}

// relocationBlocked reports whether the coordination cannot move now: this VM does not coordinate
// all groups, or a change or an order is or may be in progress.
func (l *Lead) relocationBlocked(now mono.Time) bool {
	groups := l.coordinator.Groups()
	if len(groups) == 0 || len(groups) < len(l.groups()) || l.leaving || l.givingDuty || l.storeLost(now) {
		return true
	}
	if !l.holdsDuty() && l.duty.Holder != "" {
		return true
	}
	if l.ordersPending(now) {
		return true
	}
	for _, group := range groups {
		if l.changing[group] || !l.coordinator.Row(group).Open() || !l.coordinator.Settled(group, now) {
			return true
		}
	}
	return false
}
