package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// propose changes the row, one change at a time and the most urgent first.
//
// While the primary is dead, the holder starts no change, since there is nothing to
// acknowledge. Failure: the primary is dead, the promoters withdraw their promises,
// and the holder replaces them for no longer promising; each change of the list ends
// the promotion attempts in progress.
func (h *Holder) propose(g *holderGroup, now mono.Time) []Action {
	if g.proposal == nil && g.health == Dead {
		return nil
	}
	if g.proposal == nil {
		next := h.nextRow(g, now)
		if next == nil {
			return nil
		}
		g.proposal = &proposal{row: next, retrySoon: true}
	}
	if !g.proposal.due(&h.opts, now) {
		return nil
	}
	return []Action{CommitRow{Row: g.proposal.row.Clone()}}
}

func (h *Holder) nextRow(g *holderGroup, now mono.Time) *topology.Group {
	row := g.now.row
	list := h.wantedList(g, now)
	if !slices.Equal(list, row.Promoters) {
		if next := ChangeList(row, list, h.changeID()); next != nil {
			return next
		}
	}
	// The right was released for a promotion that did not take place. Without a new
	// version no VM could acknowledge writes again.
	released := h.released[row.ID]
	stuck := released.version >= row.Version && now.Sub(released.at) > renewAfter
	if stuck {
		return ChangeList(row, row.Promoters, h.changeID())
	}
	return h.settle(g, now)
}

// wantedList returns the promoter list that the row should have: without entries
// that are silent or no longer candidates, with the candidates that are missing,
// and with the Synced flags up to date.
func (h *Holder) wantedList(g *holderGroup, now mono.Time) []topology.Promoter {
	if g.allSyncedSilent(h.opts, now) {
		return slices.Clone(g.now.row.Promoters)
	}
	list, urgent := h.remaining(g, now)
	// Failure: at startup the VMs discover each other one by one, and each discovery
	// changes the list: seven rows and two unsettled lists within 300 ms. A change
	// that is needed to keep the right is made at once, and so is any change while no
	// replica is synced, because classes that wait for a replica are refused until
	// then. Other changes wait until the candidates have been stable for a while.
	// The VM that wrote the first row may have known only itself, so that list is
	// also changed at once.
	first := g.now.row.Version == firstVersion
	urgent = urgent || first || len(Synced(g.now.row.Promoters)) == 0 || g.moreVMsAvailable()
	if urgent || now.Sub(g.candidatesSince) >= candidatesStableFor {
		list = slices.DeleteFunc(list, func(p topology.Promoter) bool { return !g.isCandidate(p) })
		list = g.addMissing(list, now)
	}
	list = h.keepNonEmpty(g, list, now)
	for i, p := range list {
		list[i].Synced = g.wantSynced(p, now)
	}
	return list
}

// moreVMsAvailable reports whether the candidates have more distinct VMs than the
// list. Failure: at startup a VM knows only itself and lists itself for every
// replica; it dies together with the primary, and no member of the list is left
// that could confirm a withdrawal before MaxOutage has passed.
func (g *holderGroup) moreVMsAvailable() bool {
	return countVMs(g.now.row.Promoters) < countVMs(g.candidates)
}

func countVMs(list []topology.Promoter) int {
	vms := map[topology.VMID]bool{}
	for _, p := range list {
		vms[p.VM] = true
	}
	return len(vms)
}

// allSyncedSilent reports whether the promoters of all synced replicas fell silent
// recently, at most placeholderAfter ago. A promoter that answers with a refusal is
// not silent.
//
// Failure: the primary's data centre is cut off from the others but not from the
// platform. VMs of that data centre would replace the promoters, for replicas that
// they can't reach. Classes that wait for a replica could then not be served here,
// and the VMs whose replicas hold the writes could not promote either. So the list
// stays unchanged until they have had time to promote.
func (g *holderGroup) allSyncedSilent(opts Options, now mono.Time) bool {
	synced := Synced(g.now.row.Promoters)
	if len(synced) == 0 {
		return false
	}
	least := placeholderAfter + 1
	for _, replica := range synced {
		v, ok := g.replicas[replica]
		if !ok {
			return false
		}
		least = min(least, now.Sub(v.at))
	}
	return least > opts.Heartbeat+answerTolerance && least <= placeholderAfter
}

// remaining returns the entries that are not silent, and whether any entry is.
func (h *Holder) remaining(g *holderGroup, now mono.Time) ([]topology.Promoter, bool) {
	var list []topology.Promoter
	for _, p := range g.now.row.Promoters {
		if now.Sub(g.lastGranted[p.VM]) > h.opts.ReplaceAfter {
			g.excluded[p.VM] = now.Add(exclusionPeriod)
			continue
		}
		list = append(list, p)
	}
	return list, len(list) < len(g.now.row.Promoters)
}

// addMissing adds the candidates that are not listed.
func (g *holderGroup) addMissing(list []topology.Promoter, now mono.Time) []topology.Promoter {
	row := g.now.row
	for _, c := range g.candidates {
		_, listed := entryOf(list, c.VM, c.Incarnation)
		_, old := entryOf(row.Promoters, c.VM, c.Incarnation)
		excluded := (old || !restarted(row, c)) && g.excluded[c.VM].After(now)
		if listed || excluded || c.Replica == row.Primary {
			continue
		}
		c.Synced = slices.Contains(Synced(row.Promoters), c.Replica)
		list = append(list, c)
	}
	return list
}

// isCandidate reports whether the entry is among the candidates. It is true for all
// entries while no candidates are set.
func (g *holderGroup) isCandidate(p topology.Promoter) bool {
	if g.candidates == nil {
		return true
	}
	return slices.ContainsFunc(g.candidates, func(c topology.Promoter) bool {
		return sameDaemon(c, p) && c.Replica == p.Replica
	})
}

// keepNonEmpty lists this VM as a placeholder when every other entry has been
// silent for placeholderAfter. It waits that long so that promoters that are only
// cut off from this VM, but reach the platform, can promote first. The placeholder's
// replica is the primary itself, so it never promotes. It is removed once all other
// entries have promised.
func (h *Holder) keepNonEmpty(g *holderGroup, list []topology.Promoter, now mono.Time) []topology.Promoter {
	row := g.now.row
	self := topology.Promoter{VM: h.self.ID, Incarnation: h.self.Incarnation, Replica: g.target}
	_, placeholder := entryOf(row.Promoters, self.VM, self.Incarnation)
	if placeholder && h.allPromised(g, withoutVM(list, self.VM)) {
		return withoutVM(list, self.VM)
	}
	_, listed := entryOf(list, self.VM, self.Incarnation)
	if placeholder && !listed {
		return append(list, self)
	}
	if len(list) > 0 {
		return list
	}
	for _, at := range g.lastGranted {
		if now.Sub(at) <= placeholderAfter {
			return slices.Clone(row.Promoters)
		}
	}
	return []topology.Promoter{self}
}

func withoutVM(list []topology.Promoter, vm topology.VMID) []topology.Promoter {
	return slices.DeleteFunc(slices.Clone(list), func(p topology.Promoter) bool { return p.VM == vm })
}

// allPromised reports whether the list is not empty and each of its entries has
// promised under the current version.
func (h *Holder) allPromised(g *holderGroup, list []topology.Promoter) bool {
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

// restarted reports whether the row lists the VM with another incarnation. The
// restart explains its silence, so it may be listed again at once.
func restarted(row *topology.Group, c topology.Promoter) bool {
	return slices.ContainsFunc(row.Promoters, func(p topology.Promoter) bool {
		return p.VM == c.VM && p.Incarnation != c.Incarnation
	})
}

// observeReplica records what a promoter reports about its replica.
func (g *holderGroup) observeReplica(target topology.TargetID, p Promise, now mono.Time) {
	v := g.replicas[target]
	v.reachable = p.ReplicaReachable
	v.at = now
	if p.ReplicaReachable {
		v.position = position.Max(v.position, p.Position)
	}
	g.replicas[target] = v
}

// wantSynced reports whether writes of classes that wait should wait for the
// entry's replica. Positions are reported at intervals, so while there are writes
// the reported position of a healthy replica is always behind the primary's newest
// one. It is compared with the primary's earlier positions instead.
func (g *holderGroup) wantSynced(p topology.Promoter, now mono.Time) bool {
	if p.Replica == g.now.row.Primary {
		return false
	}
	v := g.replicas[p.Replica]
	if !p.Synced {
		return v.reachable && now.Sub(v.at) < maxPrimaryAge && g.holdsSince(p.Replica, now.Add(-maxPrimaryAge))
	}
	sampled := len(g.primary) > 0 && now.Sub(g.primary[len(g.primary)-1].began) < maxPrimaryAge/2
	return !sampled || !g.samplesReachBack(unsyncAfter, now) || g.holdsSince(p.Replica, now.Add(-unsyncAfter))
}

// samplesReachBack reports whether the samples of the primary's position reach back
// for d. A holder that has just taken over has newer samples only, and the reported
// positions of replicas are older than these. If all replicas counted as lagging
// then, classes that wait would be refused right after a handover. Waiting for a
// replica that does lag costs time but loses no write.
func (g *holderGroup) samplesReachBack(d time.Duration, now mono.Time) bool {
	return len(g.primary) > 0 && !g.primary[0].began.After(now.Add(-d))
}

// holdsSince reports whether the replica has reached a position that the primary
// reported in a status fetch begun at or after at.
func (g *holderGroup) holdsSince(target topology.TargetID, at mono.Time) bool {
	v, ok := g.replicas[target]
	if !ok {
		return false
	}
	return slices.ContainsFunc(g.primary, func(s primarySample) bool {
		return !s.began.Before(at) && !v.position.Less(s.position)
	})
}

// settle returns the row without the unsettled lists under which no right is left,
// or nil if there are none to remove.
func (h *Holder) settle(g *holderGroup, now mono.Time) *topology.Group {
	row := g.now.row
	var done []uint64
	since := g.learnedAt
	for _, l := range row.Unsettled {
		at, ok := g.settlement.provenAt(&h.opts, l.Version, now)
		if !ok {
			continue
		}
		more := keepCompleteness(row, append(slices.Clone(done), l.Version))
		if !g.stillCovered(Settle(row, more, ""), max(since, at)) {
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

// stillCovered reports whether the writes that waited under the lists that next
// removes stay protected: for each removed list, next has a list whose synced
// replicas all hold these writes. A replica that may be promoted under next is
// either synced in that list or holds as much as one of its synced replicas.
//
// Failure: a write waited for the replicas of the removed list but not for a
// replica of the remaining one, which is then promoted without it. All such writes
// were in the primary's log when the last right under the removed list ended. since
// is not before that, nor before this row was learned, and so not before the rights
// ended under the lists that other holders settled.
func (g *holderGroup) stillCovered(next *topology.Group, since mono.Time) bool {
	stay := syncedLists(next)
	for _, gone := range syncedLists(g.now.row) {
		covers := func(list []topology.TargetID) bool {
			return !slices.ContainsFunc(list, func(t topology.TargetID) bool {
				return !slices.Contains(gone, t) && !g.holdsSince(t, since)
			})
		}
		if !slices.ContainsFunc(stay, covers) {
			return false
		}
	}
	return true
}

// keepCompleteness keeps the newest list with a synced entry while the current list
// has none, because only that list shows which replicas are complete.
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
