package lead

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// report is how one VM finds a group's primary.
type report struct {
	at      mono.Time
	target  topology.TargetID
	reached bool
	failing time.Duration
	// saturated: it refuses statements for its load.
	saturated bool
}

func (l *Lead) handleRenewal(from string, m *message) {
	l.mu.Lock()
	answer := &message{Kind: promise, From: l.self.ID, Incarnation: l.self.Incarnation, Sequence: m.Sequence, Leaving: l.leaving}
	if m.Leaving {
		l.gone[m.From] = m.Incarnation
	}
	now := l.Clock.Now()
	l.heard[m.From] = now
	if m.Digest != 0 {
		l.promiseByDigest(m, answer, now)
	} else {
		l.promiseInFull(m, answer, now)
	}
	answer.Starved = l.allStarved(m.Starved, now)
	l.allocate(m, answer, now)
	if l.Directory.UsesRelay() && len(l.coordinator.Groups()) > 0 {
		answer.News = l.Directory.Relay().NewsFor(now, m.Followed)
	}
	l.mu.Unlock()
	l.reply(from, m.From, answer)
}

// promiseByDigest answers a VM that knows the same rows as this one, and no other.
func (l *Lead) promiseByDigest(m, answer *message, now mono.Time) {
	rows := l.coordinated()
	if digestOf(rows) != m.Digest {
		return
	}
	answer.Digest, answer.StoreLost = m.Digest, l.storeLost(now)
	if m.From != l.self.ID {
		answer.Positions = l.toldPositions(rows, now)
	}
	for i, row := range rows {
		l.noteReport(m.From, part{Group: row.Group, Target: row.Primary, Reached: m.Reached.has(i)}, now)
		if !l.coordinator.Promise(row.Group, m.From, m.Incarnation, row.Version, now) {
			answer.Refused.add(i)
		}
	}
	for _, p := range m.Groups {
		l.noteReport(m.From, p, now)
	}
}

// promiseInFull answers for each group by itself, with the rows that the VM lacks. It asks again for
// those that are too many for one message.
func (l *Lead) promiseInFull(m, answer *message, now mono.Time) {
	lost, rows := l.storeLost(now), 0
	for _, p := range m.Groups {
		l.noteReport(m.From, p, now)
		a := part{Group: p.Group, StoreLost: lost}
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

// starvedKept is how long a VM's shortage is passed on: two renewals.
const starvedKept = 900 * time.Millisecond

// allStarved notes what a VM is short of and returns what any VM is.
func (l *Lead) allStarved(of []topology.TargetID, now mono.Time) []topology.TargetID {
	for _, id := range of {
		l.starved[id] = now.Add(starvedKept)
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

func (l *Lead) noteReport(vm topology.VMID, p part, now mono.Time) {
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
