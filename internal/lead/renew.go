package lead

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// renewalsKept is how many renewals may be on their way.
const renewalsKept = 8

func (l *Lead) tick(ctx context.Context) {
	l.mu.Lock()
	now := l.Clock.Now()
	l.renew(now)
	l.noteCutOff(now)
	read := l.needsReading(now)
	l.Directory.Relay().SetPublishing(len(l.coordinator.Groups()) > 0)
	l.mu.Unlock()
	if read {
		go l.read(ctx)
	}
	l.renewPositions()
	l.firstRows(ctx, now)
	l.takeOvers(ctx, now)
	l.judge(ctx, now)
	l.prune(ctx, now)
}

// renew asks the coordinators for their promises, one message a coordinator.
func (l *Lead) renew(now mono.Time) {
	due := map[topology.VMID]bool{}
	for _, group := range l.groups() {
		row := l.holder.Row(group)
		if row == nil {
			continue
		}
		x := l.renewals[row.Coordinator]
		if x == nil {
			x = &exchange{sentAt: map[uint64]mono.Time{}}
			l.renewals[row.Coordinator] = x
		}
		if now.Sub(x.sent) >= renewPeriod || x.sent == 0 {
			due[row.Coordinator] = true
		}
	}
	for vm := range due {
		m := &message{}
		l.reportByDigest(m, l.rowsOf(vm))
		l.sendRenewal(vm, m, now)
	}
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
	l.sendTo(to, m)
}

// reportByDigest has a renewal stand for rows without listing them: as a rule both sides know the
// same ones, and what one VM sends must not grow with their number.
func (l *Lead) reportByDigest(m *message, rows []*lease.Row) {
	m.Digest = digestOf(rows)
	for i, row := range rows {
		p := l.partOf(row.Group, row)
		if p.Reached {
			m.Reached.add(i)
		}
		if p.FailingMS > 0 || p.Saturated {
			m.Groups = append(m.Groups, p)
		}
	}
}

// renewInFull lists all rows to a coordinator that knows others than this VM.
func (l *Lead) renewInFull(to topology.VMID, now mono.Time) {
	m := &message{}
	for _, row := range l.rowsOf(to) {
		m.Groups = append(m.Groups, l.partOf(row.Group, row))
	}
	if len(m.Groups) > 0 {
		l.sendRenewal(to, m, now)
	}
}

// groups lists the groups that have a target.
func (l *Lead) groups() []topology.GroupID { return l.Directory.Groups() }

func (l *Lead) partOf(group topology.GroupID, row *lease.Row) part {
	p := part{Group: group, Version: row.Version, Target: row.Primary}
	load, ok := l.Health.Load(row.Primary)
	if !ok {
		return p
	}
	p.FailingMS = reportable(load.FailingFor, l.Clock.Now().Sub(l.connected)).Milliseconds()
	p.Saturated = load.Saturated
	p.Reached = load.LastAnswer != 0 && l.Clock.Now().Sub(load.LastAnswer) < reachedAge
	return p
}

// reportable is for how long a VM may say that a target fails: not for the time in which
// the VM itself was cut off. As the cut heals it has not reached the target again yet,
// and a whole data centre's VMs would have a healthy primary replaced.
func reportable(failing, connected time.Duration) time.Duration {
	return min(failing, connected)
}

// sendTo sends a message to a VM; one to this VM itself is handled at once.
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

// sendToMany sends one message to several VMs; it is encoded once.
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

// handle takes a message of another VM.
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
	rows, sent := l.takeAnswer(m)
	l.mu.Unlock()
	// Not with the lock held: those who take positions ask for rows.
	l.takePositions(rows, m.Positions, sent)
}

// takeAnswer takes a promise over. It returns the rows for which all of it is valid, and when it was
// asked for.
func (l *Lead) takeAnswer(m *message) ([]*lease.Row, mono.Time) {
	now := l.Clock.Now()
	l.heard[m.From] = now
	x := l.renewals[m.From]
	if x == nil {
		return nil, 0
	}
	sent, ok := x.sentAt[m.Sequence]
	if !ok {
		return nil, 0
	}
	l.Health.Yield(m.Starved)
	if m.Leaving {
		l.gone[m.From] = m.Incarnation
	}
	l.takeNews(m, sent)
	l.takeQuota(m, sent)
	switch {
	case m.Digest != 0:
		return l.takeByDigest(m, sent, now), sent
	case len(m.Groups) == 0:
		l.renewInFull(m.From, now)
	default:
		l.takeInFull(m, sent, now)
	}
	return nil, 0
}

// takeByDigest takes promises over that were given for all rows of a coordinator.
func (l *Lead) takeByDigest(m *message, sent, now mono.Time) []*lease.Row {
	rows := l.rowsOf(m.From)
	if digestOf(rows) != m.Digest {
		return nil // A row has changed since; the coordinator was asked again then.
	}
	for i, row := range rows {
		if row.Incarnation != m.Incarnation {
			continue
		}
		l.coordinatorHeard(m.From, m.StoreLost, now)
		l.takePromise(row, !m.Refused.has(i), sent, now)
	}
	return rows
}

// takeInFull takes over what a coordinator answers for each group by itself.
func (l *Lead) takeInFull(m *message, sent, now mono.Time) {
	for _, p := range m.Groups {
		if p.Row != nil {
			l.adopt(p.Row, string(m.From))
			continue
		}
		row := l.holder.Row(p.Group)
		if row == nil || row.Coordinator != m.From || row.Incarnation != m.Incarnation {
			continue
		}
		l.coordinatorHeard(m.From, p.StoreLost, now)
		if p.Version == row.Version {
			l.takePromise(row, p.Promised, sent, now)
		}
	}
}

// takePromise takes over what the coordinator of a row at its present version answered to what was
// sent at sent.
func (l *Lead) takePromise(row *lease.Row, promised bool, sent, now mono.Time) {
	if !row.Open() {
		l.frozen[row.Group] = frozenAt{version: row.Version, heard: sent}
	}
	if !promised {
		return
	}
	l.promised = true
	had := now.Before(l.holder.Until(row.Group))
	l.holder.Promised(row.Group, row.Version, sent)
	if !had {
		l.tell()
	}
}

// takeNews takes over what a coordinator tells of the store. This VM watches the store by
// itself while it is a coordinator: others rely on it then.
func (l *Lead) takeNews(m *message, sent mono.Time) {
	if len(m.News) == 0 || m.From == l.self.ID || len(l.coordinator.Groups()) > 0 {
		return
	}
	l.Directory.Relay().Receive(m.News, sent)
	if m.News[directory.OwnRows].Relevant != 0 {
		l.storeHeard = sent
	}
}
