package lead

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// renewalsKept is how many renewals may be in flight: those of all groups at one coordinator take a dozen messages.
const renewalsKept = 32

func (l *Lead) tick(ctx context.Context) {
	l.mu.Lock()
	now := l.Clock.Now()
	l.pruneFollowing(now)
	l.renew(now)
	l.updateCutOff(now)
	l.noteCoordinated(now)
	read := l.needsReading(now)
	l.Directory.Relay().SetPublishing(len(l.coordinator.Groups()) > 0)
	l.mu.Unlock()
	if read {
		go l.read(ctx)
	}
	l.renewPositions()
	l.firstRows(ctx, now)
	l.restoreRows(ctx)
	l.takeOverFailed(ctx, now)
	l.checkPrimaries(ctx, now)
	l.prune(ctx, now)
}

// renew requests the coordinators' promises, with one message to each coordinator.
func (l *Lead) renew(now mono.Time) {
	l.updateFollowing()
	for vm, rows := range l.following.rows {
		x := l.renewalsTo(vm)
		if now.Sub(x.sent) < renewPeriod && x.sent != 0 {
			continue
		}
		m := &message{}
		l.reportByDigest(m, rows)
		parts := inMessages(m.Groups)
		if len(parts) > 1 {
			m.Groups = parts[0]
		}
		l.sendRenewal(vm, m, now)
		for i := 1; i < len(parts); i++ {
			l.sendRenewal(vm, &message{Groups: parts[i]}, now)
		}
	}
}

func (l *Lead) renewalsTo(vm topology.VMID) *renewalState {
	x := l.renewals[vm]
	if x == nil {
		x = &renewalState{sentAt: map[uint64]mono.Time{}}
		l.renewals[vm] = x
	}
	return x
}

func (l *Lead) sendRenewal(to topology.VMID, m *message, now mono.Time) {
	x := l.renewals[to]
	x.sent = now
	x.sequence++
	x.sentAt[x.sequence] = now
	delete(x.sentAt, x.sequence-renewalsKept)
	m.Kind, m.From, m.Incarnation, m.Sequence = renewal, l.self.ID, l.self.Incarnation, x.sequence
	m.Starved, m.Leaving = l.Health.Starved(), l.leaving
	m.Followed = l.Directory.Relay().Followed()
	l.reportUsage(to, m)
	l.reportSlots(to, m)
	l.sendTo(to, m)
}

// reportByDigest makes a renewal cover rows by their digest instead of listing them. Normally both
// sides know the same rows, and the size of what one VM sends must not grow with their number.
func (l *Lead) reportByDigest(m *message, rows []*lease.Row) {
	m.Digest = digestOf(rows)
	for i, row := range rows {
		p := l.entryFor(row.Group, row)
		if p.Reached {
			m.Reached.add(i)
		}
		if p.FailingMS > 0 || p.Saturated {
			m.Groups = append(m.Groups, p)
		}
	}
}

// renewInFull sends all rows that this VM follows to a coordinator that knows other ones. The first message replaces the
// list of groups that the coordinator has of this VM, and the others add to it.
func (l *Lead) renewInFull(to topology.VMID, now mono.Time) {
	var groups []groupEntry
	for _, row := range l.rowsOf(to) {
		groups = append(groups, l.entryFor(row.Group, row))
	}
	for i, part := range inMessages(groups) {
		l.sendRenewal(to, &message{Whole: i == 0, Groups: part}, now)
	}
}

// groups returns the groups that have a target.
func (l *Lead) groups() []topology.GroupID { return l.Directory.Groups() }

func (l *Lead) entryFor(group topology.GroupID, row *lease.Row) groupEntry {
	p := groupEntry{Group: group, Version: row.Version, Target: row.Primary}
	load, ok := l.Health.Load(row.Primary)
	if !ok {
		return p
	}
	p.FailingMS = reportableFailure(load.FailingFor, l.Clock.Now().Sub(l.connectedSince)).Milliseconds()
	p.Saturated = load.Saturated
	p.Reached = load.LastAnswer != 0 && l.Clock.Now().Sub(load.LastAnswer) < maxAnswerAge
	return p
}

// reportableFailure limits the reported duration of a target's failure to the time in which this VM
// was connected. When a partition heals, the VM has not reached the target again yet; without the
// limit the VMs of a whole data centre would have a healthy primary replaced.
func reportableFailure(failing, connected time.Duration) time.Duration {
	return min(failing, connected)
}

// sendTo sends a message to a VM; a message to this VM itself is handled directly.
func (l *Lead) sendTo(id topology.VMID, m *message) {
	if id == l.self.ID {
		go l.handle(l.self.PeerAddress, m)
		return
	}
	vm, ok := l.Directory.VM(id)
	if !ok {
		return
	}
	l.Transport.Send(m, vm.PeerAddress)
}

// sendToMany sends one message to several VMs and encodes it only once.
func (l *Lead) sendToMany(ids []topology.VMID, m *message) {
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		if id == l.self.ID {
			go l.handle(l.self.PeerAddress, m)
		} else if vm, ok := l.Directory.VM(id); ok {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	l.Transport.Send(m, addresses...)
}

// handle dispatches a message from another VM.
func (l *Lead) handle(from string, m *message) {
	l.Directory.NoteIncarnation(m.From, m.Incarnation)
	switch m.Kind {
	case renewal:
		l.handleRenewal(from, m)
	case promise:
		l.handlePromise(m)
	case notice:
		l.handleNotice(m)
	case question:
		l.handleQuestion(from, m)
	case opinion:
		l.handleOpinion(m)
	case warning:
		l.handleWarning(m)
	}
}

func (l *Lead) reply(to string, from topology.VMID, m *message) {
	if from == l.self.ID {
		l.handle(l.self.PeerAddress, m)
		return
	}
	l.Transport.Send(m, to)
}

func (l *Lead) handlePromise(m *message) {
	l.mu.Lock()
	rows, sent := l.applyAnswer(m)
	l.mu.Unlock()
	// The lock must not be held here: the receivers of positions ask for rows.
	l.applyPositions(rows, m.Positions, sent)
}

// applyAnswer applies a coordinator's answer to a renewal. It returns the rows for which the whole
// answer is valid, and when the renewal was sent.
func (l *Lead) applyAnswer(m *message) ([]*lease.Row, mono.Time) {
	now := l.Clock.Now()
	l.lastMessage[m.From] = now
	x := l.renewals[m.From]
	if x == nil {
		return nil, 0
	}
	sent, ok := x.sentAt[m.Sequence]
	if !ok {
		return nil, 0
	}
	l.Health.LimitToShare(m.Starved)
	if m.Leaving {
		l.leavingVMs[m.From] = m.Incarnation
	}
	l.applyNews(m, sent)
	l.applyQuota(m, sent)
	l.applySlots(m, sent)
	switch {
	case m.Digest != 0:
		return l.applyByDigest(m, sent, now), sent
	case len(m.Groups) == 0:
		l.renewInFull(m.From, now)
	default:
		l.applyInFull(m, sent, now)
	}
	return nil, 0
}

// applyByDigest applies the promises of a coordinator that were given for all its rows.
func (l *Lead) applyByDigest(m *message, sent, now mono.Time) []*lease.Row {
	rows := l.rowsOf(m.From)
	if digestOf(rows) != m.Digest {
		return nil // A row has changed since, and a new renewal was sent at that time.
	}
	for i, row := range rows {
		if row.Incarnation != m.Incarnation {
			continue
		}
		l.noteAnswer(m.From, m.StoreLost, now)
		l.applyPromise(row, !m.Refused.has(i), sent, now)
	}
	return rows
}

// applyInFull applies a coordinator's answer that lists each group separately.
func (l *Lead) applyInFull(m *message, sent, now mono.Time) {
	for _, p := range m.Groups {
		if p.Row != nil {
			l.adopt(p.Row, string(m.From))
			continue
		}
		row := l.holder.Row(p.Group)
		if row == nil || row.Coordinator != m.From || row.Incarnation != m.Incarnation {
			continue
		}
		l.noteAnswer(m.From, p.StoreLost, now)
		if p.Version == row.Version {
			l.applyPromise(row, p.Promised, sent, now)
		}
	}
}

// applyPromise applies the coordinator's answer for a row at its current version; sent is when the
// renewal was sent.
func (l *Lead) applyPromise(row *lease.Row, promised bool, sent, now mono.Time) {
	if !row.Open() {
		l.frozen[row.Group] = rowConfirmation{version: row.Version, confirmedAt: sent}
	}
	if !promised {
		return
	}
	l.promised = true
	had := now.Before(l.holder.Until(row.Group))
	l.holder.RecordPromise(row.Group, row.Version, sent)
	if !had {
		l.wakeWaiters()
	}
}

// applyNews applies the changes in the store that a coordinator relays. While this VM is a
// coordinator itself, it watches the store on its own, since others rely on it.
func (l *Lead) applyNews(m *message, sent mono.Time) {
	if len(m.News) == 0 || m.From == l.self.ID || len(l.coordinator.Groups()) > 0 {
		return
	}
	l.Directory.Relay().Receive(m.From, m.News, sent)
	if !m.News[directory.OwnRows].Relevant.IsZero() {
		l.storeReported = sent
	}
}
