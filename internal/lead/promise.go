package lead

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// report is the state of a group's primary as observed by one VM.
type report struct {
	at      mono.Time
	target  topology.TargetID
	reached bool
	failing time.Duration
	// saturated is set when the primary refuses the VM's statements because of overload.
	saturated bool
}

func (l *Lead) handleRenewal(from string, m *message) {
	l.mu.Lock()
	answer := &message{Kind: promise, From: l.self.ID, Incarnation: l.self.Incarnation, Sequence: m.Sequence, Leaving: l.leaving}
	if m.Leaving {
		l.leavingVMs[m.From] = m.Incarnation
	}
	now := l.Clock.Now()
	l.lastMessage[m.From] = now
	if m.Digest != 0 {
		l.promiseByDigest(m, answer, now)
	} else {
		l.promiseInFull(m, answer, now)
	}
	answer.Starved = l.mergeStarved(m.Starved, now)
	l.allocate(m, answer, now)
	l.divideSlots(m, answer, now)
	if l.Directory.UsesRelay() && len(l.coordinator.Groups()) > 0 {
		answer.News = l.Directory.Relay().NewsFor(now, m.Followed)
	}
	l.mu.Unlock()
	l.reply(from, m.From, answer)
}

// promiseByDigest answers a VM that knows exactly the same rows as this one. Otherwise the answer
// stays empty.
func (l *Lead) promiseByDigest(m, answer *message, now mono.Time) {
	rows := l.coordinatedRowsOf(l.subscribed[m.From])
	if digestOf(rows) != m.Digest {
		if rows = l.coordinatedRows(); digestOf(rows) != m.Digest {
			return
		}
		l.subscribed[m.From] = groupsOf(rows)
	}
	answer.Digest, answer.StoreLost = m.Digest, l.storeLost(now)
	if m.From != l.self.ID {
		answer.Positions = l.freshSamples(rows, now)
	}
	for i, row := range rows {
		l.recordReport(m.From, groupEntry{Group: row.Group, Target: row.Primary, Reached: m.Reached.has(i)}, now)
		if !l.coordinator.Promise(row.Group, m.From, m.Incarnation, row.Version, now) {
			answer.Refused.add(i)
		}
	}
	for _, p := range m.Groups {
		l.recordReport(m.From, p, now)
	}
}

// promiseInFull answers for each group separately and includes the rows that the VM lacks. Rows
// that do not fit into one message follow with the VM's next renewals.
func (l *Lead) promiseInFull(m, answer *message, now mono.Time) {
	lost, rows := l.storeLost(now), 0
	l.subscribe(m)
	for _, p := range m.Groups {
		l.recordReport(m.From, p, now)
		a := groupEntry{Group: p.Group, StoreLost: lost}
		a.Promised = l.coordinator.Promise(p.Group, m.From, m.Incarnation, p.Version, now)
		if row := l.holder.Row(p.Group); row != nil {
			a.Version = row.Version
			if row.Version > p.Version && rows < rowsPerMessage {
				a.Row = row
				rows++
			}
		}
		answer.Groups = append(answer.Groups, a)
	}
}

// subscribe records the groups that a VM follows.
func (l *Lead) subscribe(m *message) {
	var groups []topology.GroupID
	if !m.Whole {
		groups = slices.Clone(l.subscribed[m.From])
	}
	for _, p := range m.Groups {
		groups = append(groups, p.Group)
	}
	slices.Sort(groups)
	l.subscribed[m.From] = slices.Compact(groups)
}

func groupsOf(rows []*lease.Row) []topology.GroupID {
	groups := make([]topology.GroupID, 0, len(rows))
	for _, row := range rows {
		groups = append(groups, row.Group)
	}
	return groups
}

// starvedTTL is how long a VM's shortage of connections is passed on: two renewals.
const starvedTTL = 900 * time.Millisecond

// mergeStarved records the targets for which one VM is short of connections, and returns those for
// which any VM is.
func (l *Lead) mergeStarved(reported []topology.TargetID, now mono.Time) []topology.TargetID {
	for _, id := range reported {
		l.starved[id] = now.Add(starvedTTL)
	}
	var all []topology.TargetID
	for id, until := range l.starved {
		if now.After(until) {
			delete(l.starved, id)
			continue
		}
		all = append(all, id)
	}
	return all
}

func (l *Lead) recordReport(vm topology.VMID, p groupEntry, now mono.Time) {
	if p.Target == "" {
		return
	}
	if l.reports[p.Group] == nil {
		l.reports[p.Group] = map[topology.VMID]report{}
	}
	l.reports[p.Group][vm] = report{
		at: now, target: p.Target, reached: p.Reached, failing: time.Duration(p.FailingMS) * time.Millisecond,
		saturated: p.Saturated,
	}
}
