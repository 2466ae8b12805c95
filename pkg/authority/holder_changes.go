package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// propose changes the row: one change at a time, the most urgent first.
func (h *Holder) propose(g *held, now mono.Time) []Action {
	if g.proposal == nil {
		next := h.nextRow(g, now)
		if next == nil {
			return nil
		}
		g.proposal = &proposal{row: next, again: true}
	}
	if !g.proposal.due(&h.opts, now) {
		return nil
	}
	return []Action{CommitRow{Row: g.proposal.row.Clone()}}
}

func (h *Holder) nextRow(g *held, now mono.Time) *topology.Group {
	row := g.now.row
	list := h.wantedList(g, now)
	if !slices.Equal(list, row.Promoters) {
		if next := ChangeList(row, list, h.changeID()); next != nil {
			return next
		}
	}
	// The promotion that the right was released for did not come: without a new
	// version nobody could acknowledge again.
	released := h.released[row.ID]
	stuck := released.version >= row.Version && now.Sub(released.at) > renewAfter
	if stuck {
		return ChangeList(row, row.Promoters, h.changeID())
	}
	return h.settle(g, now)
}

// wantedList is the list without those that fell silent and those not wanted any
// more, with the candidates that are missing, and with what is synced by now.
func (h *Holder) wantedList(g *held, now mono.Time) []topology.Promoter {
	row := g.now.row
	var list []topology.Promoter
	for _, p := range row.Promoters {
		silent := now.Sub(g.granted[p.VM]) > h.opts.ReplaceAfter
		if silent {
			g.shunned[p.VM] = now.Add(shunFor)
		}
		if !silent && g.wants(p) {
			list = append(list, p)
		}
	}
	for _, c := range g.candidates {
		_, listed := entryOf(list, c.VM, c.Incarnation)
		_, old := entryOf(row.Promoters, c.VM, c.Incarnation)
		shunned := (old || !restarted(row, c)) && g.shunned[c.VM].After(now)
		if listed || shunned || c.Replica == row.Primary {
			continue
		}
		c.Synced = slices.Contains(Synced(row.Promoters), c.Replica)
		list = append(list, c)
	}
	list = h.keepOne(g, list, now)
	for i, p := range list {
		list[i].Synced = g.wantSynced(p, now)
	}
	return list
}

// wants reports whether the entry may stay.
func (g *held) wants(p topology.Promoter) bool {
	if g.candidates == nil {
		return true
	}
	return slices.ContainsFunc(g.candidates, func(c topology.Promoter) bool {
		return sameDaemon(c, p) && c.Replica == p.Replica
	})
}

// keepOne makes this VM itself the list's caretaker when every other entry has
// been silent for long. Not at once: those that are merely cut off from here, and
// reach the platform, are to promote on their side first. An entry for the
// primary itself never promotes; it goes once another entry promises.
func (h *Holder) keepOne(g *held, list []topology.Promoter, now mono.Time) []topology.Promoter {
	row := g.now.row
	self := topology.Promoter{VM: h.self.ID, Incarnation: h.self.Incarnation, Replica: g.target}
	_, caretaker := entryOf(row.Promoters, self.VM, self.Incarnation)
	if caretaker && h.promising(g, withoutVM(list, self.VM)) {
		return withoutVM(list, self.VM)
	}
	_, listed := entryOf(list, self.VM, self.Incarnation)
	if caretaker && !listed {
		return append(list, self)
	}
	if len(list) > 0 {
		return list
	}
	for _, at := range g.granted {
		if now.Sub(at) <= caretakerAfter {
			return slices.Clone(row.Promoters)
		}
	}
	return []topology.Promoter{self}
}

func withoutVM(list []topology.Promoter, vm topology.VMID) []topology.Promoter {
	return slices.DeleteFunc(slices.Clone(list), func(p topology.Promoter) bool { return p.VM == vm })
}

// promising reports whether there are entries and each has promised under the
// current version.
func (h *Holder) promising(g *held, list []topology.Promoter) bool {
	if len(list) == 0 {
		return false
	}
	for _, p := range list {
		if _, ok := g.promises[promiseKey{p.VM, p.Incarnation, g.now.row.Version}]; !ok {
			return false
		}
	}
	return true
}

// restarted reports whether the VM stands in the row with another incarnation:
// then its silence is explained and it may come back at once.
func restarted(row *topology.Group, c topology.Promoter) bool {
	return slices.ContainsFunc(row.Promoters, func(p topology.Promoter) bool {
		return p.VM == c.VM && p.Incarnation != c.Incarnation
	})
}

// observeReplica keeps what a promoter says of its replica.
func (g *held) observeReplica(target topology.TargetID, p Promise, now mono.Time) {
	v := g.replicas[target]
	v.reachable = p.ReplicaReachable
	v.at = now
	if p.ReplicaReachable {
		v.position = position.Max(v.position, p.Position)
	}
	g.replicas[target] = v
}

// wantSynced decides whether waiting writes should wait for the entry's replica.
// Positions are reported at intervals, so under writes a replica that is well
// holds what the primary held a moment ago, never its newest position.
func (g *held) wantSynced(p topology.Promoter, now mono.Time) bool {
	if p.Replica == g.now.row.Primary {
		return false
	}
	v := g.replicas[p.Replica]
	if !p.Synced {
		return v.reachable && now.Sub(v.at) < freshPrimary && g.holdsSince(p.Replica, now.Add(-freshPrimary))
	}
	sampled := len(g.primary) > 0 && now.Sub(g.primary[len(g.primary)-1].began) < freshPrimary/2
	return !sampled || !g.watchedFor(unsyncAfter, now) || g.holdsSince(p.Replica, now.Add(-unsyncAfter))
}

// watchedFor reports whether the primary's samples reach back for d. Those of a
// holder that has just taken over do not, and positions of replicas are older
// than they: were all replicas taken for lagging, classes that wait would find
// none right after a handover. To wait for one that does lag costs time, never
// a write.
func (g *held) watchedFor(d time.Duration, now mono.Time) bool {
	return len(g.primary) > 0 && !g.primary[0].began.After(now.Add(-d))
}

// holdsSince reports whether the replica holds a position that the primary had
// in a fetch begun at or after at.
func (g *held) holdsSince(target topology.TargetID, at mono.Time) bool {
	v, ok := g.replicas[target]
	if !ok {
		return false
	}
	return slices.ContainsFunc(g.primary, func(s primarySample) bool {
		return !s.began.Before(at) && !v.position.Less(s.position)
	})
}

// settle clears the unsettled lists under which no right is left.
func (h *Holder) settle(g *held, now mono.Time) *topology.Group {
	row := g.now.row
	var done []uint64
	since := g.learned
	for _, l := range row.Unsettled {
		at, ok := g.settlement.provenAt(&h.opts, l.Version, now)
		if !ok {
			continue
		}
		more := keepCompleteness(row, append(slices.Clone(done), l.Version))
		if !g.mayBecomeComplete(Settle(row, more, ""), max(since, at)) {
			continue
		}
		done = more
		since = max(since, at)
	}
	if len(done) == 0 {
		return nil
	}
	return Settle(row, done, h.changeID())
}

// mayBecomeComplete reports whether each replica that next makes complete holds
// what the primary held after since. Failure: a write waited for the replicas of
// the list that goes, and not for this one, which is then promoted without it.
// All such writes were there when the last right under that list had ended;
// since is also after this row was learned, and so after the lists that other
// holders settled had ended.
func (g *held) mayBecomeComplete(next *topology.Group, since mono.Time) bool {
	for _, list := range lists(g.now.row) {
		for _, t := range Synced(list) {
			if Complete(next, t) && !Complete(g.now.row, t) && !g.holdsSince(t, since) {
				return false
			}
		}
	}
	return true
}

// keepCompleteness leaves the newest list with a synced entry in place while the
// current one has none: it alone tells which replicas are complete.
func keepCompleteness(row *topology.Group, done []uint64) []uint64 {
	if len(Synced(row.Promoters)) > 0 {
		return done
	}
	for _, l := range slices.Backward(row.Unsettled) {
		if len(Synced(l.Promoters)) > 0 {
			return slices.DeleteFunc(done, func(v uint64) bool { return v == l.Version })
		}
	}
	return done
}
