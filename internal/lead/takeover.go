package lead

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// silentAfter is when a coordinator that answers nothing is in doubt: two
	// renewals were lost, and the rights still stand.
	silentAfter = 900 * time.Millisecond
	// storeLostAfter is when a coordinator says that it does not reach the store:
	// a watch is answered every 1.8 s at the latest.
	storeLostAfter = 3500 * time.Millisecond
	// rankDelay keeps VMs from taking a group over all at once.
	rankDelay = 200 * time.Millisecond
	// opinionTime is how long opinions are waited for.
	opinionTime = 150 * time.Millisecond
	// firstDelay lets the first listing, and the other VMs' registrations, come.
	firstDelay = 300 * time.Millisecond
)

// silence is what is known of a coordinator that does not answer.
type silence struct {
	since mono.Time
	// storeLost: it answers, but does not reach the store.
	storeLost bool
	// asked is when the others were asked; 0: they were not.
	asked mono.Time
	// deaf and hearing are those that answered that they don't hear it, or do.
	deaf, hearing map[topology.VMID]bool
}

// rank orders the VMs as coordinators. The order is the same for all groups, so that one
// VM coordinates them all and holds the duty to promote. VMs of the data centre with
// the fewest primaries come first: its loss takes the coordinator and a primary at
// once in the fewest groups, and then the change has to wait for promises to lapse.
func (l *Lead) rank() []topology.VMID {
	primaries := map[topology.DataCentre]int{}
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil {
			t, _ := l.Directory.Target(row.Primary)
			primaries[t.DataCentre]++
		} else if t, ok := l.selfStyledPrimary(group); ok {
			primaries[t.DataCentre]++
		}
	}
	vms := l.Directory.VMs()
	slices.SortFunc(vms, func(a, b topology.VM) int {
		return cmp.Or(
			cmp.Compare(primaries[a.DataCentre], primaries[b.DataCentre]),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
		)
	})
	ids := make([]topology.VMID, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

// delay is how long this VM waits before it takes a group over.
func (l *Lead) delay() time.Duration {
	place := slices.Index(l.rank(), l.self.ID)
	if place < 0 {
		return rankDelay
	}
	return time.Duration(place) * rankDelay
}

// coordinatorHeard ends a silence, unless the coordinator is of no use.
func (l *Lead) coordinatorHeard(group topology.GroupID, storeLost bool, now mono.Time) {
	if !storeLost {
		delete(l.silences, group)
		return
	}
	if s := l.silences[group]; s == nil || !s.storeLost {
		l.silences[group] = &silence{since: now, storeLost: true}
	}
}

// takeOvers takes the place of coordinators that failed.
func (l *Lead) takeOvers(ctx context.Context, now mono.Time) {
	for _, group := range l.groups() {
		l.mu.Lock()
		take, ask, why := l.judgeCoordinator(group, now)
		l.mu.Unlock()
		if ask {
			l.askOthers(group)
		}
		if take {
			l.start(group, func() { l.takeOver(ctx, group, why) })
		}
	}
}

// judgeCoordinator decides whether to ask the others about a group's coordinator, or
// to take its place.
func (l *Lead) judgeCoordinator(group topology.GroupID, now mono.Time) (take, ask bool, why string) {
	row := l.holder.Row(group)
	if row == nil || l.leaving || l.working[group] || now.Sub(l.storeSeen) > storeLostAfter {
		return false, false, ""
	}
	if row.Coordinator == l.self.ID {
		// An earlier start of this VM: nobody else knows sooner that it has ended.
		return row.Incarnation < l.self.Incarnation, false, "started_again"
	}
	s := l.silences[group]
	if s == nil {
		s = &silence{since: now}
		if until := l.holder.PromisedUntil(group); until != 0 {
			s.since = min(now, until.Add(-lease.Duration))
		}
		l.silences[group] = s
	}
	delay := silentAfter + l.delay()
	switch {
	case now.Sub(s.since) < delay:
		return false, false, ""
	case s.storeLost:
		return true, false, "store_lost"
	case s.asked == 0:
		s.asked, s.deaf, s.hearing = now, map[topology.VMID]bool{}, map[topology.VMID]bool{}
		return false, true, ""
	case now.Sub(s.asked) < opinionTime:
		return false, false, ""
	}
	return l.countOpinions(group, s, now)
}

// countOpinions takes over only with half of the others, which must not hear the
// coordinator either: a VM that is cut off alone would take every group from those
// that go on well, and nobody could follow it.
func (l *Lead) countOpinions(group topology.GroupID, s *silence, now mono.Time) (take, ask bool, why string) {
	others := len(l.Directory.VMs()) - 2 // Neither this VM nor the coordinator.
	if len(s.hearing) == 0 && (others <= 0 || 2*len(s.deaf) >= others) {
		return true, false, "silent"
	}
	l.Log.Info("event=takeover_put_off", "group", group, "hearing", len(s.hearing), "deaf", len(s.deaf), "others", others,
		"silent_for", now.Sub(s.since))
	s.since, s.asked = now, 0
	return false, false, ""
}

func (l *Lead) askOthers(group topology.GroupID) {
	m := &message{Kind: question, From: l.self.ID, Incarnation: l.self.Incarnation, Groups: []part{{Group: group}}}
	for _, vm := range l.Directory.VMs() {
		if vm.ID != l.self.ID {
			l.sendTo(vm.ID, m)
		}
	}
}

func (l *Lead) handleQuestion(from string, m *message) {
	answer := &message{Kind: opinion, From: l.self.ID, Incarnation: l.self.Incarnation}
	l.mu.Lock()
	now := l.Clock.Now()
	for _, p := range m.Groups {
		row := l.holder.Row(p.Group)
		if row == nil {
			continue
		}
		// A promise asked for within the last renewals tells that it answers.
		hears := row.Coordinator == l.self.ID && row.Incarnation == l.self.Incarnation ||
			l.holder.PromisedUntil(p.Group).Sub(now) > lease.Duration-silentAfter
		answer.Groups = append(answer.Groups, part{Group: p.Group, Version: row.Version, Promised: hears})
	}
	l.mu.Unlock()
	l.reply(from, m.From, answer)
}

func (l *Lead) handleOpinion(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range m.Groups {
		s := l.silences[p.Group]
		if s == nil || s.asked == 0 {
			continue
		}
		if p.Promised {
			s.hearing[m.From] = true
		} else {
			s.deaf[m.From] = true
		}
	}
}

// start runs a change of a group unless one is under way.
func (l *Lead) start(group topology.GroupID, change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.working[group] {
		return
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
}

func (l *Lead) takeOver(ctx context.Context, group topology.GroupID, why string) {
	row := l.Row(group)
	if row == nil {
		return
	}
	taken := row.TakenBy(l.self.ID, l.self.Incarnation, l.self.ID, l.witnesses())
	err := l.commit(ctx, taken)
	l.Log.Info("event=coordinator_taken_over", "group", group, "from", row.Coordinator, "why", why, "version", taken.Version, "error", err)
	l.mu.Lock()
	delete(l.silences, group)
	l.mu.Unlock()
	if err != nil {
		return
	}
	// The duty comes along now, so that its waiting time has passed when a primary
	// fails.
	if _, err := l.acquireDuty(ctx); err != nil {
		l.Log.Info("event=duty_not_claimed", "error", err)
	}
}

// handOver gives a group to the next VM in order, when this one leaves.
func (l *Lead) handOver(ctx context.Context, group topology.GroupID) {
	row := l.Row(group)
	if row == nil || row.Coordinator != l.self.ID {
		return
	}
	next := l.successor()
	if next.ID == "" {
		return
	}
	err := l.commit(ctx, row.TakenBy(next.ID, next.Incarnation, l.self.ID, l.witnesses()))
	l.Log.Info("event=coordinator_handed_over", "group", group, "to", next.ID, "error", err)
}

// witnesses draws a row's witnesses from all registered VMs.
func (l *Lead) witnesses() []topology.VMID {
	vms := l.Directory.VMs()
	slices.SortFunc(vms, func(a, b topology.VM) int {
		return cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID)))
	})
	var ids []topology.VMID
	for _, vm := range vms[:min(len(vms), lease.MaxWitnesses)] {
		ids = append(ids, vm.ID)
	}
	return ids
}

// successor is the first other VM that was heard lately.
func (l *Lead) successor() topology.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, id := range l.rank() {
		vm, ok := l.Directory.VM(id)
		heard := l.heard[id]
		if ok && id != l.self.ID && !vm.Leaving && heard != 0 && now.Sub(heard) < silentAfter {
			return vm
		}
	}
	return topology.VM{}
}

// firstRows writes the row of a group that has none.
func (l *Lead) firstRows(ctx context.Context, now mono.Time) {
	for _, group := range l.groups() {
		l.mu.Lock()
		seen := l.firstSeen[group]
		if seen == 0 {
			l.firstSeen[group], seen = now, now
		}
		known := l.holder.Row(group) != nil || l.leaving || l.storeSeen == 0
		wait := firstDelay + l.delay()
		l.mu.Unlock()
		if known {
			continue
		}
		primary, ok := l.selfStyledPrimary(group)
		if ok && now.Sub(seen) >= wait {
			l.start(group, func() { l.firstRow(ctx, group, primary) })
		}
	}
}

func (l *Lead) selfStyledPrimary(group topology.GroupID) (topology.Target, bool) {
	for _, t := range l.Directory.TargetsOf(group) {
		if t.SaysPrimary {
			return t.Target, true
		}
	}
	return topology.Target{}, false
}

func (l *Lead) firstRow(ctx context.Context, group topology.GroupID, primary topology.Target) {
	status, err := l.status(ctx, primary)
	if err != nil || !status.Primary {
		l.Log.Info("event=first_row_put_off", "group", group, "primary", primary.ID, "error", err)
		pauseFor(ctx, firstDelay)
		return
	}
	row := &lease.Row{
		Group: group, Version: 1, Term: status.Term, Primary: primary.ID,
		Coordinator: l.self.ID, Incarnation: l.self.Incarnation, Fence: 1, Witnesses: l.witnesses(),
	}
	err = l.commit(ctx, row)
	l.Log.Info("event=first_row", "group", group, "primary", primary.ID, "term", status.Term, "error", err)
}
