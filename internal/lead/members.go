package lead

import (
	"context"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// memberCheckPeriod is how often the other members are asked whether one that is gone can be removed.
const memberCheckPeriod = time.Second

func memberOf(t *directory.Target) lease.Member {
	return lease.Member{ID: t.ID, Registration: t.Registration, Address: t.Address, Leaving: t.Leaving}
}

// registeredMembers lists the registered targets of a group as members.
func (l *Lead) registeredMembers(group topology.GroupID) []lease.Member {
	targets := l.Directory.TargetsOf(group)
	members := make([]lease.Member, 0, len(targets))
	for i := range targets {
		members = append(members, memberOf(&targets[i]))
	}
	return members
}

// coversRegistered reports whether all registered targets of a group are recorded in the row that this VM knows, so that
// commits may be acknowledged.
func (l *Lead) coversRegistered(group topology.GroupID) bool {
	q := l.holder.Row(group).Quorum
	if q == nil {
		return true
	}
	targets := l.Directory.TargetsOf(group)
	for i := range targets {
		if id := targets[i].ID; !q.Has(id) && !l.removedMembers[group][id] {
			return false
		}
	}
	return true
}

// noteRemovedMembers notes which members a new row no longer has although this VM still lists them as registered. They
// were recorded, and do not become unknown targets again.
func (l *Lead) noteRemovedMembers(former, row *lease.Row) {
	if row.Quorum == nil || former == nil || former.Quorum == nil {
		delete(l.removedMembers, row.Group)
		return
	}
	removed := map[topology.TargetID]bool{}
	for _, m := range l.registeredMembers(row.Group) {
		wasRecorded := former.Quorum.Has(m.ID) || l.removedMembers[row.Group][m.ID]
		if wasRecorded && !row.Quorum.Has(m.ID) {
			removed[m.ID] = true
		}
	}
	l.removedMembers[row.Group] = removed
}

// isRecording reports whether a target is being recorded, so that a right can't be confirmed yet: it is missing in the row, or
// the right has not been renewed under the row that has it.
func (l *Lead) isRecording(r lease.Right, isValid bool) bool {
	row := l.holder.Row(r.Group)
	if row == nil || row.Quorum == nil || !row.Open() || row.Term != r.Term || row.Primary != r.Primary {
		return false
	}
	return !isValid || !l.coversRegistered(r.Group)
}

// newQuorum returns a quorum of the primary and all registered targets, or nil if commits do not wait for replicas.
func (l *Lead) newQuorum(group topology.GroupID, primary topology.TargetID, syncReplicas int) *lease.Quorum {
	if syncReplicas <= 0 {
		return nil
	}
	return lease.NewQuorum(syncReplicas, l.registeredMembers(group)).With([]lease.Member{{ID: primary}})
}

// targetsOf lists members of a group as targets. It leaves out those of which a later start is registered: they have
// ended.
func (l *Lead) targetsOf(group topology.GroupID, members []lease.Member) []topology.Target {
	var targets []topology.Target
	for _, m := range members {
		t, ok := l.Directory.Target(m.ID)
		switch {
		case ok && !t.Superseded:
			targets = append(targets, t.Target)
		case !ok && m.Address != "":
			targets = append(targets, topology.Target{ID: m.ID, Group: group, Address: m.Address})
		}
	}
	return targets
}

// targetOf returns a target that is registered or a member of the row's quorum.
func (l *Lead) targetOf(row *lease.Row, id topology.TargetID) (topology.Target, bool) {
	if t, ok := l.Directory.Target(id); ok {
		return t.Target, true
	}
	if row.Quorum == nil {
		return topology.Target{}, false
	}
	for _, t := range l.targetsOf(row.Group, row.Quorum.Members) {
		if t.ID == id {
			return t, true
		}
	}
	return topology.Target{}, false
}

// answerOf returns a target's status as an answer about its log.
func (l *Lead) answerOf(row *lease.Row, s targetStatus) lease.Answer {
	a := lease.Answer{
		Member: lease.Member{ID: s.target.ID}, Received: s.status.Received, Lag: s.status.Lag,
		Leads: s.status.Primary && s.status.Term == row.Term,
	}
	t, isListed := l.Directory.Target(a.ID)
	if isListed {
		a.Member, a.Registered = memberOf(&t), !t.Superseded
		return a
	}
	if row.Quorum == nil {
		return a
	}
	for _, m := range row.Quorum.Members {
		if m.ID == a.ID {
			a.Member = m
		}
	}
	return a
}

// checkMembers keeps the quorum of a group that this VM coordinates up to date: new targets are added at once, and
// those that are gone are removed once the others hold all that they may have held.
func (l *Lead) checkMembers(ctx context.Context, group topology.GroupID, now mono.Time) {
	row, quorum, gone := l.membersToChange(group, now)
	if row == nil {
		return
	}
	if quorum != row.Quorum {
		l.startChange(group, func() { l.changeQuorum(ctx, row, quorum) })
	}
	if len(gone) > 0 {
		go l.removeMembers(ctx, row, gone)
	}
}

// membersToChange returns the group's row if this VM may change it now and commits wait for replicas, the quorum that it
// should have, and the members that are gone.
func (l *Lead) membersToChange(group topology.GroupID, now mono.Time) (row *lease.Row, quorum *lease.Quorum, gone []lease.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row = l.coordinator.Row(group)
	c := l.Directory.Configuration()
	if c == nil || row == nil || row.Quorum == nil && c.SyncReplicas[group] == 0 {
		return nil, nil, nil
	}
	if !row.Open() || l.leaving || l.changing[group] || l.ofEarlierEra(row) || l.coordinator.Withdrawn(group) {
		return nil, nil, nil
	}
	known, changes := l.members[group], l.Directory.Changes()
	if known.version == row.Version && known.changes == changes && len(known.missingSince) == 0 {
		return nil, nil, nil // The usual case, checked many times a second.
	}
	quorum = l.presentQuorum(row, c)
	if quorum == nil || quorum != row.Quorum {
		return row, quorum, nil
	}
	known.version, known.changes = row.Version, changes
	gone = l.goneMembers(row, &known, now)
	l.members[group] = known
	return row, quorum, gone
}

// presentQuorum returns the row's quorum as it should be, or nil if commits do not wait for replicas. A higher number of
// replicas than the recorded one takes no effect, since earlier commits did not wait for as many.
func (l *Lead) presentQuorum(row *lease.Row, c *directory.Configuration) *lease.Quorum {
	syncReplicas, isConfigured := c.SyncReplicas[row.Group]
	q := row.Quorum
	switch {
	case q == nil || isConfigured && syncReplicas == 0:
		return l.newQuorum(row.Group, row.Primary, syncReplicas)
	case isConfigured && syncReplicas < q.SyncReplicas:
		q = lease.NewQuorum(syncReplicas, q.Members)
	}
	return q.With(l.registeredMembers(row.Group))
}

func (l *Lead) changeQuorum(ctx context.Context, row *lease.Row, quorum *lease.Quorum) {
	next := row.WithQuorum(quorum)
	err := l.commit(ctx, row, next)
	l.Log.Info("event=members_changed", "group", row.Group, "version", next.Version, "from", row.Quorum, "to", quorum, "error", err)
	if err != nil {
		wait.For(ctx, handoverRetryDelay)
	}
}

// memberState is what a coordinator knows of a group's members.
type memberState struct {
	// version is the row's version, and changes the number of changes of the directory, as they were last checked.
	version, changes uint64
	// asked is when the other members were last asked about those that are gone.
	asked mono.Time
	// missingSince is since when each member without a registration has had none.
	missingSince map[topology.TargetID]mono.Time
}

// goneMembers returns the members that count as gone, at most once in memberCheckPeriod: a later start is registered, or
// the registration has been absent for missingAfter while the store answers. The primary is never among them.
func (l *Lead) goneMembers(row *lease.Row, known *memberState, now mono.Time) []lease.Member {
	missing := map[topology.TargetID]mono.Time{}
	var gone []lease.Member
	for _, m := range row.Quorum.Members {
		t, isListed := l.Directory.Target(m.ID)
		if m.ID == row.Primary || isListed && !t.Superseded {
			continue
		}
		since, ok := known.missingSince[m.ID]
		if !ok {
			since = now
		}
		missing[m.ID] = since
		if isListed || now.Sub(since) > missingAfter && !l.storeLost(now) {
			gone = append(gone, m)
		}
	}
	known.missingSince = missing
	if len(gone) == 0 || now.Sub(known.asked) < memberCheckPeriod {
		return nil
	}
	known.asked = now
	return gone
}

// removeMembers removes members that are gone from the row if the others hold all that they may have held. One that
// still answers at its address is not gone.
func (l *Lead) removeMembers(ctx context.Context, row *lease.Row, gone []lease.Member) {
	answering := l.statuses(ctx, l.targetsOf(row.Group, gone))
	gone = slices.DeleteFunc(gone, func(m lease.Member) bool {
		return slices.ContainsFunc(answering, func(s targetStatus) bool { return s.target.ID == m.ID })
	})
	primary, ok := l.targetOf(row, row.Primary)
	if !ok || len(gone) == 0 {
		return
	}
	leader := l.statuses(ctx, []topology.Target{primary})
	others := slices.DeleteFunc(slices.Clone(row.Quorum.Members), func(m lease.Member) bool {
		return m.ID == row.Primary || slices.Contains(gone, m)
	})
	for end := time.Now().Add(catchUpTimeout); ; wait.For(ctx, successorPollPeriod) {
		var answers []lease.Answer
		for _, s := range append(l.statuses(ctx, l.targetsOf(row.Group, others)), leader...) {
			answers = append(answers, l.answerOf(row, s))
		}
		if quorum, proven := row.Quorum.Without(gone, row.Primary, answers); proven {
			l.startChange(row.Group, func() { l.changeQuorum(ctx, row, quorum) })
			return
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return
		}
	}
}
