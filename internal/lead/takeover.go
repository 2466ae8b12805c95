package lead

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// silentAfter is when a coordinator that answers nothing is in doubt: two
	// renewals were lost, and the rights still stand.
	silentAfter = 600 * time.Millisecond
	// hearsWithin is how lately a coordinator must have answered for a VM to say
	// that it hears it.
	hearsWithin = 450 * time.Millisecond
	// storeLostSlack is how much longer than its wait a watch may take before the
	// store counts as lost: a slow store's answer, and one retry.
	storeLostSlack = 1700 * time.Millisecond
	// opinionTime is how long opinions are waited for.
	opinionTime = 150 * time.Millisecond
	// opinionsAsked is how many VMs are asked at most: a sample of all data centres tells as much
	// as all VMs, which would each answer each that asks.
	opinionsAsked = 24
	// storeFresh is how lately the store must have answered a VM that takes a silent
	// coordinator's place: without a promise it reads the rows several times within it.
	storeFresh = 1500 * time.Millisecond
	// regainTime is how long a coordinator may take to learn that the store is back, and to say so: a
	// call that hangs, the next one, and a renewal.
	regainTime = 1300 * time.Millisecond
	// uselessPatience is how many times longer turns are after a coordinator that only lacks the store.
	uselessPatience = 3
)

// silence is what is known of a coordinator that is of no use.
type silence struct {
	// asked is when the others were asked about it, and sample how many of them.
	asked  mono.Time
	sample int
	// deaf and hearing are those that answered that they don't hear it, or do.
	deaf, hearing map[topology.VMID]bool
}

// answers is when a coordinator last answered a renewal, and whether it reached the
// store then.
type answers struct {
	last mono.Time
	// useless is since when it has answered without reaching the store; 0: it does. reached is since
	// when the store has answered this VM meanwhile.
	useless, reached mono.Time
}

// coordinatorHeard notes an answer of a coordinator.
func (l *Lead) coordinatorHeard(vm topology.VMID, storeLost bool, now mono.Time) {
	a := l.answers[vm]
	a.last = now
	switch {
	case !storeLost:
		a.useless, a.reached = 0, 0
	case a.useless == 0:
		a.useless = now
	}
	l.answers[vm] = a
	delete(l.silences, vm)
}

// takeOvers takes the place of coordinators that failed, for all their groups at once:
// one VM then has them all, and with them the duty to promote.
func (l *Lead) takeOvers(ctx context.Context, now mono.Time) {
	l.mu.Lock()
	of := l.groupsByCoordinator()
	for vm, groups := range of {
		take, ask, why := l.judgeCoordinator(vm, now)
		if ask {
			l.askOthers(vm, now)
		}
		if take {
			go l.takeOver(ctx, vm, groups, why)
		}
	}
	l.mu.Unlock()
}

// groupsByCoordinator lists the groups of all coordinators but this start of this VM.
func (l *Lead) groupsByCoordinator() map[topology.VMID][]topology.GroupID {
	of := map[topology.VMID][]topology.GroupID{}
	for _, group := range l.groups() {
		row := l.holder.Row(group)
		if row != nil && (row.Coordinator != l.self.ID || row.Incarnation < l.self.Incarnation) {
			of[row.Coordinator] = append(of[row.Coordinator], group)
		}
	}
	return of
}

// judgeCoordinator decides whether to ask the others about a coordinator, or to take
// its place.
func (l *Lead) judgeCoordinator(vm topology.VMID, now mono.Time) (take, ask bool, why string) {
	if l.leaving {
		return false, false, ""
	}
	if vm == l.self.ID {
		// An earlier start of this VM: nobody else knows sooner that it has ended.
		return !l.storeLost(now), false, "started_again"
	}
	a, known := l.answers[vm]
	if !known {
		l.answers[vm] = answers{last: now}
		return false, false, ""
	}
	if a.useless == 0 && now.Sub(a.last) < silentAfter {
		return false, false, "" // The usual case, many times a second.
	}
	turn := l.delay(vm)
	if a.useless != 0 && l.isUseless(vm, turn, now) {
		l.answers[vm] = answers{last: now}
		return true, false, storeLost
	}
	delay := silentAfter + turn
	if now.Sub(max(a.last, l.storeBack)) < delay || now.Sub(l.storeSeen) > storeFresh {
		return false, false, ""
	}
	s := l.silences[vm]
	if s == nil {
		return false, true, ""
	}
	if now.Sub(s.asked) < opinionTime {
		return false, false, ""
	}
	delete(l.silences, vm)
	return l.countOpinions(vm, s, now)
}

// isUseless reports whether a coordinator that does not reach the store is to be replaced: only by a VM
// that reaches it itself. Its promises go on meanwhile, so the VMs look in turn and without haste
// whether the store answers them, and if it does so again, the coordinator has time to say the same.
func (l *Lead) isUseless(vm topology.VMID, turn time.Duration, now mono.Time) bool {
	a := l.answers[vm]
	if now.Sub(a.useless) < silentAfter+uselessPatience*turn {
		return false
	}
	switch {
	case now.Sub(l.storeSeen) > storeFresh:
		l.probe, a.reached = true, 0
	case a.reached == 0:
		a.reached = now
	}
	l.answers[vm] = a
	return a.reached != 0 && now.Sub(a.reached) >= regainTime
}

// countOpinions takes over only with half of those asked, which must not hear the
// coordinator either: a VM that is cut off alone would take every group from those
// that go on well, and nobody could follow it.
func (l *Lead) countOpinions(vm topology.VMID, s *silence, now mono.Time) (take, ask bool, why string) {
	if len(s.hearing) == 0 && 2*len(s.deaf) >= s.sample {
		l.answers[vm] = answers{last: now}
		return true, false, "silent"
	}
	l.Log.Info("event=takeover_put_off", "coordinator", vm, "hearing", len(s.hearing), "deaf", len(s.deaf), "asked", s.sample,
		"silent_for", now.Sub(l.answers[vm].last))
	return false, false, ""
}

// askOthers asks a sample of the other VMs whether they hear a coordinator.
func (l *Lead) askOthers(about topology.VMID, now mono.Time) {
	others := slices.DeleteFunc(slices.Clone(l.Directory.VMs()), func(vm topology.VM) bool { return vm.ID == l.self.ID || vm.ID == about })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sample := fromEachDataCentre(others, opinionsAsked)
	l.silences[about] = &silence{asked: now, sample: len(sample), deaf: map[topology.VMID]bool{}, hearing: map[topology.VMID]bool{}}
	m := &message{Kind: question, From: l.self.ID, Incarnation: l.self.Incarnation, About: about}
	go l.sendToMany(sample, m)
}

// hears reports whether this VM hears another one. Its messages count, and not when it was
// adopted as a coordinator: a VM that has just started knows it from the store only, and by
// its word alone a silent one was kept for seconds.
func (l *Lead) hears(vm topology.VMID) bool {
	heard := l.heard[vm]
	return heard != 0 && l.Clock.Now().Sub(heard) < hearsWithin
}

func (l *Lead) handleQuestion(from string, m *message) {
	l.mu.Lock()
	hears := l.hears(m.About)
	l.mu.Unlock()
	l.reply(from, m.From, &message{Kind: opinion, From: l.self.ID, Incarnation: l.self.Incarnation, About: m.About, Hears: hears})
}

func (l *Lead) handleOpinion(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silences[m.About]
	switch {
	case s == nil:
	case m.Hears:
		s.hearing[m.From] = true
	default:
		s.deaf[m.From] = true
	}
}

// start runs a change of a group unless one is under way, and reports whether it does.
func (l *Lead) start(group topology.GroupID, change func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.working[group] {
		return false
	}
	l.working[group] = true
	go func() {
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.working, group)
		}()
		change()
	}()
	return true
}

// storeLost is why a coordinator is replaced that answers, but can't change a row.
const storeLost = "store_lost"

func (l *Lead) takeOver(ctx context.Context, from topology.VMID, groups []topology.GroupID, why string) {
	if why == storeLost && !l.stillCoordinates(ctx, from) {
		return
	}
	l.mu.Lock()
	if from != l.self.ID {
		l.takenFrom[from] = l.Clock.Now()
	}
	l.mu.Unlock()
	taken, err := l.takeFirst(ctx, from, groups[0], why)
	if err != nil {
		l.Log.Info("event=takeover_put_off", "coordinator", from, "groups", len(groups), "error", err)
		return
	}
	taken = append(taken, l.takeGroups(ctx, from, groups[1:], why)...)
	l.notify(taken...) // One message of all: each is answered by all VMs.
	if len(taken) == 0 || l.dutyIsElsewhere() {
		return // Another VM has the duty; the groups go there.
	}
	// The duty comes along now, so that its waiting time has passed when a primary
	// fails.
	if _, err := l.acquireDuty(ctx); err != nil {
		l.Log.Info("event=duty_not_claimed", "error", err)
	}
}

// stillCoordinates reads from the store whether a VM coordinates a group.
//
// The rows known here may be old: VMs that come out of a cut with a coordinator that was replaced
// meanwhile would all try to take its groups over.
func (l *Lead) stillCoordinates(ctx context.Context, vm topology.VMID) bool {
	if err := l.readDecisions(ctx); err != nil {
		l.Log.Info("event=takeover_put_off", "coordinator", vm, "error", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.groupsByCoordinator()[vm]) > 0
}

// takeFirst takes one group. It fails if the store takes no change, and if another VM has taken the
// group: that one takes the others as well, and two that go on would scatter them.
func (l *Lead) takeFirst(ctx context.Context, from topology.VMID, group topology.GroupID, why string) ([]*lease.Row, error) {
	var row *lease.Row
	var err error
	done := make(chan struct{})
	if !l.start(group, func() {
		defer close(done)
		row, err = l.takeGroup(ctx, from, group, why)
	}) {
		return nil, nil // A change of it is under way; the others are free.
	}
	<-done
	if err != nil {
		return nil, err
	}
	return []*lease.Row{row}, nil
}

// takeGroups takes groups over at once and returns the rows of those that it got.
func (l *Lead) takeGroups(ctx context.Context, from topology.VMID, groups []topology.GroupID, why string) []*lease.Row {
	var done sync.WaitGroup
	var mu sync.Mutex
	var taken []*lease.Row
	for _, group := range groups {
		done.Add(1)
		if !l.start(group, func() {
			defer done.Done()
			if row, err := l.takeGroup(ctx, from, group, why); err == nil {
				mu.Lock()
				defer mu.Unlock()
				taken = append(taken, row)
			}
		}) {
			done.Done()
		}
	}
	done.Wait()
	return taken
}

// takeGroup makes this VM a group's coordinator in place of another and returns the row.
//
// Another VM may have taken the group since the takeover was decided; it is not taken from that one.
func (l *Lead) takeGroup(ctx context.Context, from topology.VMID, group topology.GroupID, why string) (*lease.Row, error) {
	row := l.Row(group)
	if row == nil || row.Coordinator != from {
		return nil, errOvertaken
	}
	next := row.TakenBy(l.self.ID, l.self.Incarnation, l.self.ID, l.witnesses())
	err := l.write(ctx, next)
	l.Log.Info("event=coordinator_taken_over", "group", group, "from", row.Coordinator, "why", why, "version", next.Version, "error", err)
	if err != nil {
		return nil, err
	}
	return next, nil
}

// handOver gives a group to another VM.
func (l *Lead) handOver(ctx context.Context, group topology.GroupID, to topology.VM) {
	row := l.Row(group)
	if row == nil || row.Coordinator != l.self.ID || to.ID == "" {
		return
	}
	l.mu.Lock()
	if l.coordinator.Settled(group, l.Clock.Now()) {
		row = row.Settled()
	}
	l.mu.Unlock()
	err := l.commit(ctx, row.TakenBy(to.ID, to.Incarnation, l.self.ID, l.witnesses()))
	l.Log.Info("event=coordinator_handed_over", "group", group, "to", to.ID, "error", err)
}

// successor is the first other VM that was heard lately.
func (l *Lead) successor() topology.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, id := range l.rank() {
		if vm, ok := l.Directory.VM(id); ok && id != l.self.ID && l.lives(vm, now) {
			return vm
		}
	}
	return topology.VM{}
}
