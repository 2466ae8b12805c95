package lead

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// silentAfter is how long a coordinator may leave renewals unanswered before it is suspected. By
	// then two renewals were lost, and the rights are still valid.
	silentAfter = 600 * time.Millisecond
	// reachableWindow is how recently a coordinator must have sent a message for a VM to report it
	// as reachable.
	reachableWindow = 450 * time.Millisecond
	// storeLostSlack is how much longer than its wait time a watch may take before the store counts
	// as lost: one slow answer of the store and one retry.
	storeLostSlack = 1700 * time.Millisecond
	// opinionTimeout is how long to wait for the other VMs' opinions: their answers to the question
	// whether they can reach a coordinator.
	opinionTimeout = 150 * time.Millisecond
	// opinionSample is the maximum number of VMs asked. A sample from all data centres is as
	// informative as all VMs, each of which would have to answer every VM that asks.
	opinionSample = 24
	// storeFreshness is how recently the store must have answered a VM that takes over from a
	// silent coordinator: without a promise the VM reads the rows several times within that time.
	storeFreshness = 1500 * time.Millisecond
	// storeRegainTime is how long a coordinator may take to detect that the store is back and to
	// report it: one hanging call, the next call, and a renewal.
	storeRegainTime = 1300 * time.Millisecond
	// storeLostDelayFactor multiplies the VMs' takeover delays if the coordinator answers and only
	// lacks the store.
	storeLostDelayFactor = 3
)

// inquiry tracks the opinions requested about a suspected coordinator.
type inquiry struct {
	// asked is when the other VMs were asked, and sample how many of them.
	asked  mono.Time
	sample int
	// unreachable and reachable are the VMs that reported the coordinator as such.
	unreachable, reachable map[topology.VMID]bool
}

// coordinatorState records when a coordinator last answered a renewal, and whether it reached the
// store then.
type coordinatorState struct {
	// lastAnswer is initially when this VM adopted the row that names the coordinator.
	lastAnswer mono.Time
	// storeLostSince is the time since which the coordinator has answered without reaching the
	// store; 0 if it reaches it. ownStoreSince is the time since which the store has answered this
	// VM meanwhile.
	storeLostSince, ownStoreSince mono.Time
}

// noteAnswer records an answer of a coordinator.
func (l *Lead) noteAnswer(vm topology.VMID, storeLost bool, now mono.Time) {
	a := l.coordinatorState[vm]
	a.lastAnswer = now
	switch {
	case !storeLost:
		a.storeLostSince, a.ownStoreSince = 0, 0
	case a.storeLostSince == 0:
		a.storeLostSince = now
	}
	l.coordinatorState[vm] = a
	delete(l.inquiries, vm)
}

// takeOverFailed takes over from failed coordinators, all groups of one at once, so that one VM
// then coordinates them all and holds the duty to promote.
func (l *Lead) takeOverFailed(ctx context.Context, now mono.Time) {
	l.mu.Lock()
	for _, vm := range l.otherCoordinators() {
		take, ask, reason := l.checkCoordinator(vm, now)
		if ask {
			l.askForOpinions(vm, now)
		}
		if take {
			go l.takeOver(ctx, vm, l.groupsCoordinatedBy(vm), reason)
		}
	}
	l.mu.Unlock()
}

// otherCoordinators returns the coordinators of the rows that this VM follows, except the current
// incarnation of this VM.
func (l *Lead) otherCoordinators() []topology.VMID {
	l.updateFollowing()
	var others []topology.VMID
	for vm, rows := range l.following.rows {
		earlier := func(row *lease.Row) bool { return row.Incarnation < l.self.Incarnation }
		if vm != l.self.ID || slices.ContainsFunc(rows, earlier) {
			others = append(others, vm)
		}
	}
	return others
}

// groupsCoordinatedBy lists the groups of a coordinator, whether this VM follows them or not, except those
// of the current incarnation of this VM.
func (l *Lead) groupsCoordinatedBy(vm topology.VMID) []topology.GroupID {
	var groups []topology.GroupID
	for _, group := range l.groups() {
		row := l.holder.Row(group)
		if row != nil && row.Coordinator == vm && (vm != l.self.ID || row.Incarnation < l.self.Incarnation) {
			groups = append(groups, group)
		}
	}
	return groups
}

// checkCoordinator decides whether to ask the other VMs about a coordinator or to take over from
// it, and returns the reason for a takeover, which is logged.
func (l *Lead) checkCoordinator(vm topology.VMID, now mono.Time) (take, ask bool, reason string) {
	if l.leaving || l.awaitsCoordinator(vm, now) {
		return false, false, ""
	}
	if vm == l.self.ID {
		// It is an earlier incarnation of this VM, and no other VM can learn sooner that it has
		// ended.
		l.probeStore = l.probeStore || l.storeSeen == 0
		return !l.storeLost(now), false, "started_again"
	}
	a, known := l.coordinatorState[vm]
	if !known {
		l.coordinatorState[vm] = coordinatorState{lastAnswer: now}
		return false, false, ""
	}
	if a.storeLostSince == 0 && now.Sub(a.lastAnswer) < silentAfter {
		return false, false, "" // The usual case, checked many times a second.
	}
	ownDelay := l.takeoverDelay(vm)
	if a.storeLostSince != 0 && l.replaceWithoutStore(vm, ownDelay, now) {
		l.coordinatorState[vm] = coordinatorState{lastAnswer: now}
		return true, false, storeLost
	}
	takeoverDelay := silentAfter + ownDelay
	if now.Sub(max(a.lastAnswer, l.storeRegained)) < takeoverDelay {
		return false, false, ""
	}
	if now.Sub(l.storeSeen) > storeFreshness {
		l.probeStore = true // A VM without a right to renew does not read the store otherwise.
		return false, false, ""
	}
	s := l.inquiries[vm]
	if s == nil {
		return false, true, ""
	}
	if now.Sub(s.asked) < opinionTimeout {
		return false, false, ""
	}
	delete(l.inquiries, vm)
	return l.countOpinions(vm, s, now)
}

// replaceWithoutStore reports whether to replace a coordinator that does not reach the store. Only
// a VM that reaches the store itself does so. The coordinator's promises continue meanwhile, so the
// VMs check the store one after the other, with long delays. If the store answers this VM again,
// the coordinator gets storeRegainTime to report that it reaches the store as well.
func (l *Lead) replaceWithoutStore(vm topology.VMID, ownDelay time.Duration, now mono.Time) bool {
	a := l.coordinatorState[vm]
	if now.Sub(a.storeLostSince) < silentAfter+storeLostDelayFactor*ownDelay {
		return false
	}
	switch {
	case now.Sub(l.storeSeen) > storeFreshness:
		l.probeStore, a.ownStoreSince = true, 0
	case a.ownStoreSince == 0:
		a.ownStoreSince = now
	}
	l.coordinatorState[vm] = a
	return a.ownStoreSince != 0 && now.Sub(a.ownStoreSince) >= storeRegainTime
}

// countOpinions takes over only if at least half of the VMs asked report the coordinator as
// unreachable and none as reachable. Otherwise a single VM that is cut off would take every group
// from VMs that work well, and none of them could reach it as their coordinator.
func (l *Lead) countOpinions(vm topology.VMID, s *inquiry, now mono.Time) (take, ask bool, reason string) {
	if len(s.reachable) == 0 && 2*len(s.unreachable) >= s.sample {
		l.coordinatorState[vm] = coordinatorState{lastAnswer: now}
		return true, false, "silent"
	}
	l.Log.Info("event=takeover_deferred", "coordinator", vm, "reachable", len(s.reachable), "unreachable", len(s.unreachable), "asked", s.sample,
		"silent_for", now.Sub(l.coordinatorState[vm].lastAnswer))
	return false, false, ""
}

// askForOpinions asks a sample of the other VMs whether they can reach a coordinator.
func (l *Lead) askForOpinions(about topology.VMID, now mono.Time) {
	others := slices.DeleteFunc(slices.Clone(l.Directory.VMs()), func(vm topology.VM) bool { return vm.ID == l.self.ID || vm.ID == about })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sample := spreadOverDataCentres(others, opinionSample)
	l.inquiries[about] = &inquiry{asked: now, sample: len(sample), unreachable: map[topology.VMID]bool{}, reachable: map[topology.VMID]bool{}}
	m := &message{Kind: question, From: l.self.ID, Incarnation: l.self.Incarnation, About: about}
	go l.sendToMany(sample, m)
}

// reachable reports whether this VM has recently received messages from another VM. The adoption
// of the VM as a coordinator does not count: a VM that has just started knows the coordinator from
// the store only, and the opinion of one such VM kept a silent coordinator in place for seconds.
func (l *Lead) reachable(vm topology.VMID) bool {
	lastMessage := l.lastMessage[vm]
	return lastMessage != 0 && l.Clock.Now().Sub(lastMessage) < reachableWindow
}

func (l *Lead) handleQuestion(from string, m *message) {
	l.mu.Lock()
	reachable := l.reachable(m.About)
	l.mu.Unlock()
	l.reply(from, m.From, &message{Kind: opinion, From: l.self.ID, Incarnation: l.self.Incarnation, About: m.About, Reachable: reachable})
}

func (l *Lead) handleOpinion(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.inquiries[m.About]
	switch {
	case s == nil:
	case m.Reachable:
		s.reachable[m.From] = true
	default:
		s.unreachable[m.From] = true
	}
}

// startChange runs a change of a group in the background unless one is already in progress, and
// reports whether it was started.
func (l *Lead) startChange(group topology.GroupID, change func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changing[group] {
		return false
	}
	l.changing[group] = true
	go func() {
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.changing, group)
		}()
		change()
	}()
	return true
}

// storeLost is the reason to replace a coordinator that answers but cannot change a row.
const storeLost = "store_lost"

func (l *Lead) takeOver(ctx context.Context, from topology.VMID, groups []topology.GroupID, reason string) {
	if reason == storeLost && !l.stillCoordinates(ctx, from) {
		return
	}
	l.mu.Lock()
	if from != l.self.ID {
		l.lastTakeover[from] = l.Clock.Now()
	}
	l.mu.Unlock()
	taken, err := l.takeOverFirstGroup(ctx, from, groups[0], reason)
	if err != nil {
		l.Log.Info("event=takeover_deferred", "coordinator", from, "groups", len(groups), "error", err)
		return
	}
	taken = append(taken, l.takeOverGroups(ctx, from, groups[1:], reason)...)
	l.notify(taken...) // One message for all groups, as every VM answers each message.
	needed := func() bool { return l.needsDutyFor(taken) }
	l.mu.Lock()
	claim := needed()
	l.mu.Unlock()
	if !claim {
		return
	}
	// Claiming the duty now lets its settling time pass before a primary fails.
	if err := l.acquireDuty(ctx, needed); err != nil {
		l.Log.Info("event=duty_not_claimed", "error", err)
	}
}

// needsDutyFor reports whether this VM coordinates any of the groups that it took over and no other usable VM holds the
// duty, to which the groups would be handed over. The caller holds the lock.
func (l *Lead) needsDutyFor(taken []*lease.Row) bool {
	coordinated := func(row *lease.Row) bool { return l.coordinator.Row(row.Group) != nil }
	return slices.ContainsFunc(taken, coordinated) && !l.dutyHeldElsewhere(l.Clock.Now())
}

// stillCoordinates reads from the store whether a VM still coordinates any group.
//
// The locally known rows may be old: when a partition heals, the VMs that were cut off together
// with a coordinator that has been replaced meanwhile would all try to take over its groups.
func (l *Lead) stillCoordinates(ctx context.Context, vm topology.VMID) bool {
	if err := l.readDecisions(ctx); err != nil {
		l.Log.Info("event=takeover_deferred", "coordinator", vm, "error", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.groupsCoordinatedBy(vm)) > 0
}

// takeOverFirstGroup takes over one group. It fails if the store rejects the change or another VM
// has taken the group: that VM takes the remaining groups too, and two VMs that continue would
// split them between each other.
func (l *Lead) takeOverFirstGroup(ctx context.Context, from topology.VMID, group topology.GroupID, reason string) ([]*lease.Row, error) {
	var row *lease.Row
	var err error
	done := make(chan struct{})
	if !l.startChange(group, func() {
		defer close(done)
		row, err = l.takeOverGroup(ctx, from, group, reason)
	}) {
		return nil, nil // A change of this group is in progress; the others can be taken over.
	}
	<-done
	if err != nil {
		return nil, err
	}
	return []*lease.Row{row}, nil
}

// takeOverGroups takes over groups and returns the rows of those that it obtained.
func (l *Lead) takeOverGroups(ctx context.Context, from topology.VMID, groups []topology.GroupID, reason string) []*lease.Row {
	started, end := l.startChanges(groups)
	defer end()
	witnesses := l.witnesses()
	var changes []rowChange
	for _, group := range started {
		if row := l.Row(group); row != nil && row.Coordinator == from {
			changes = append(changes, rowChange{from: row, to: l.takenOver(row, witnesses)})
		}
	}
	taken := l.writeAll(ctx, changes)
	l.Log.Info("event=coordinator_taken_over", "from", from, "reason", reason, "groups", len(groups), "taken", len(taken))
	return taken
}

// takeOverGroup makes this VM a group's coordinator in place of another one and returns the row.
//
// A third VM may have taken the group since the takeover was decided; then the group is left to it.
func (l *Lead) takeOverGroup(ctx context.Context, from topology.VMID, group topology.GroupID, reason string) (*lease.Row, error) {
	row := l.Row(group)
	if row == nil || row.Coordinator != from {
		return nil, errSuperseded
	}
	next := l.takenOver(row, l.witnesses())
	err := l.write(ctx, row, next)
	l.Log.Info("event=coordinator_taken_over", "group", group, "from", row.Coordinator, "reason", reason, "version", next.Version, "error", err)
	if err != nil {
		return nil, err
	}
	return next, nil
}

// handOver hands groups over to another VM.
func (l *Lead) handOver(ctx context.Context, groups []topology.GroupID, to topology.VM) {
	if to.ID == "" {
		return
	}
	witnesses := l.witnesses()
	var changes []rowChange
	l.mu.Lock()
	for _, group := range groups {
		row := l.holder.Row(group)
		if row == nil || row.Coordinator != l.self.ID {
			continue
		}
		from := row
		if l.coordinator.Settled(group, l.Clock.Now()) {
			row = row.Settled()
		}
		next := row.TakenBy(to.ID, to.Incarnation, l.self.ID, witnesses)
		if l.quietIn(group) {
			next = next.Quieted()
		}
		changes = append(changes, rowChange{from: from, to: next})
	}
	l.mu.Unlock()
	written := l.writeAll(ctx, changes)
	l.notify(written...)
	l.Log.Info("event=coordinator_handed_over", "to", to.ID, "groups", len(groups), "handed_over", len(written))
}

// successor returns the first other VM by rank that is alive.
func (l *Lead) successor() topology.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, id := range l.rank() {
		if vm, ok := l.Directory.VM(id); ok && id != l.self.ID && l.isAlive(vm, now) {
			return vm
		}
	}
	return topology.VM{}
}
