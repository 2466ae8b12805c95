package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// exclusionPeriod is how long a VM that was removed for its silence stays out
	// of the list, so that a flapping path does not cost two writes of the row each
	// time.
	exclusionPeriod = 4 * time.Second
	// unsyncAfter is how far a synced replica may lag, in time, before writes stop
	// waiting for it.
	unsyncAfter = time.Second
	// keptSamples is how many samples of the primary's position are kept.
	keptSamples = 32
	// maxPrimaryAge is the maximum age of a sample of the primary's position for a
	// replica that holds it to count as caught up.
	maxPrimaryAge = time.Second
	// renewAfter is how long after a release the holder waits for a promotion before
	// it writes a new version of the list.
	renewAfter = 3 * time.Second
	// placeholderAfter is how long all promoters must be silent before the holder
	// lists itself instead. A promotion by one of them takes less.
	placeholderAfter = 5 * time.Second
	// drainTimeout is how long a switchover may take before it is abandoned.
	drainTimeout = 5 * time.Second
	// answerTolerance is how much later than the heartbeat interval an answer may
	// arrive before allSyncedSilent counts its promoter as silent.
	answerTolerance = 100 * time.Millisecond
	// candidatesStableFor is how long the candidates must stay the same before a
	// list change that is not urgent is proposed.
	candidatesStableFor = 500 * time.Millisecond
	// fastHeartbeatInterval is the heartbeat interval of a group without a synced
	// entry, for fastHeartbeatPeriod after each new row.
	fastHeartbeatInterval = 50 * time.Millisecond
	fastHeartbeatPeriod   = 3 * time.Second
)

// replicaView is the state of a replica as last reported by its promoter.
type replicaView struct {
	position  position.Position
	reachable bool
	at        mono.Time
}

// primarySample is the primary's position in a status fetch begun at began.
type primarySample struct {
	position position.Position
	began    mono.Time
}

// drain is the holder's state of a planned switchover.
type drain struct {
	to      topology.TargetID
	began   mono.Time
	drained mono.Time
	asked   mono.Time
}

// RequestSwitchover asks a VM to promote its replica, which holds all writes of a
// primary that admits no more. The receiver passes it to Promoter.Switchover.
type RequestSwitchover struct {
	To    topology.VMID
	Group topology.GroupID
}

func (RequestSwitchover) action() {}

// Candidates sets the VMs that should be in the group's list, with their current
// incarnations and replicas. They must be reachable and not leaving. An entry whose
// replica is the primary itself never promotes; it only keeps the list non-empty.
// Synced is ignored.
func (h *Holder) Candidates(group topology.GroupID, list []topology.Promoter) {
	if g, ok := h.groups[group]; ok {
		g.candidates = slices.Clone(list)
	}
}

// ObservePrimary records the primary's position, in the row's term, from a status
// fetch begun at began.
func (h *Holder) ObservePrimary(group topology.GroupID, p position.Position, began mono.Time) {
	g, ok := h.groups[group]
	if !ok || (len(g.primary) > 0 && began.Before(g.primary[len(g.primary)-1].began)) {
		return
	}
	g.primary = append(g.primary, primarySample{position: p, began: began})
	if len(g.primary) > keptSamples {
		g.primary = g.primary[1:]
	}
}

// SetHealth sets the health of the primary as observed by this VM. A change is sent
// to the promoters with the next Tick.
func (h *Holder) SetHealth(group topology.GroupID, health Health) {
	g, ok := h.groups[group]
	if !ok || g.health == health {
		return
	}
	g.health = health
	g.heartbeatDue = true
}

// Drain starts a switchover to the target, during which Right admits no writes. It
// ends with the next term, or after five seconds.
func (h *Holder) Drain(group topology.GroupID, to topology.TargetID, now mono.Time) {
	if g, ok := h.groups[group]; ok {
		g.drain = &drain{to: to, began: now}
	}
}

// Drained records that every write admitted before Drain has ended.
func (h *Holder) Drained(group topology.GroupID, now mono.Time) {
	if g, ok := h.groups[group]; ok && g.drain != nil && g.drain.drained == 0 {
		g.drain.drained = now
	}
}

// Tick advances all groups to now and returns the actions to carry out.
func (h *Holder) Tick(now mono.Time) []Action {
	h.resetSilenceAfterPause(now)
	out := h.heartbeats(now)
	for _, id := range sortedKeys(h.groups) {
		g := h.groups[id]
		out = append(out, h.confirmRow(id, g, now)...)
		if g.now.row == nil || g.now.row.Primary != g.target {
			continue
		}
		g.trackCandidates(now)
		out = append(out, h.promote(g, now)...)
		out = append(out, h.propose(g, now)...)
		out = append(out, h.settlement(g, now)...)
		out = append(out, h.switchover(g, now)...)
	}
	return out
}

// resetSilenceAfterPause restarts the measurement of the promoters' silence after a
// pause of this VM. Failure: the VM resumes, finds that no promoter has answered
// during the pause, and removes all of them from the list before it has asked any.
func (h *Holder) resetSilenceAfterPause(now mono.Time) {
	paused := now.Sub(h.lastTick) > h.opts.Heartbeat
	h.lastTick = now
	if !paused {
		return
	}
	for _, g := range h.groups {
		for vm := range g.lastGranted {
			g.lastGranted[vm] = now
		}
	}
}

// ObservePromoted records that the target confirmed that it is the primary of the
// term.
func (h *Holder) ObservePromoted(group topology.GroupID, term uint64) {
	if g, ok := h.groups[group]; ok {
		g.confirmedTerm = max(g.confirmedTerm, term)
	}
}

// promote asks the target to become the primary once the row names it. This is done
// by the VM that pools the target, not by the VM that committed the row, which may
// have died since.
func (h *Holder) promote(g *holderGroup, now mono.Time) []Action {
	row := g.now.row
	if g.confirmedTerm >= row.Term || (g.promoteAsked != 0 && now.Sub(g.promoteAsked) < h.opts.RetryEvery) {
		return nil
	}
	g.promoteAsked = now
	return []Action{PromoteReplica{Group: row.ID, Target: g.target, Term: row.Term}}
}

func (h *Holder) settlement(g *holderGroup, now mono.Time) []Action {
	if len(g.now.row.Unsettled) == 0 {
		return nil
	}
	return g.settlement.ask(&h.opts, g.now.row, now)
}

// trackCandidates records since when the candidates have been the same.
func (g *holderGroup) trackCandidates(now mono.Time) {
	if slices.Equal(g.candidates, g.lastCandidates) {
		return
	}
	g.lastCandidates = g.candidates
	g.candidatesSince = now
}

// needsFastHeartbeats reports whether the group's heartbeats use the shorter
// interval. Failure: after a promotion no entry is synced, and classes that wait for
// a replica are refused until an answer to a heartbeat shows that one has caught up.
// The period is limited because without any live replica it would last for hours.
func (g *holderGroup) needsFastHeartbeats(now mono.Time) bool {
	return len(Synced(g.now.row.Promoters)) == 0 && now.Sub(g.learnedAt) < fastHeartbeatPeriod
}

// heartbeats returns the heartbeats that are due, with the promise requests of all
// groups batched by VM.
func (h *Holder) heartbeats(now mono.Time) []Action {
	all := !h.heartbeatSent || now.Sub(h.lastHeartbeat) >= h.opts.Heartbeat
	if all {
		h.lastHeartbeat = now
		h.heartbeatSent = true
	}
	fast := now.Sub(h.lastFastHeartbeat) >= fastHeartbeatInterval
	if fast {
		h.lastFastHeartbeat = now
	}
	batch := map[topology.VMID][]PromiseRequest{}
	for _, id := range sortedKeys(h.groups) {
		g := h.groups[id]
		row := g.now.row
		if row == nil || row.Primary != g.target {
			continue
		}
		if due := all || g.heartbeatDue || (fast && g.needsFastHeartbeats(now)); !due {
			continue
		}
		g.heartbeatDue = false
		for _, p := range row.Promoters {
			req := PromiseRequest{Group: id, Version: row.Version, Health: g.health}
			if _, ok := g.promises[promiseKey{p.VM, p.Incarnation, row.Version}]; !ok {
				req.Row = row.Clone()
			}
			batch[p.VM] = append(batch[p.VM], req)
		}
	}
	var out []Action
	for _, vm := range sortedKeys(batch) {
		out = append(out, SendHeartbeat{To: vm, Request: h.heartbeat(vm, batch[vm], now)})
	}
	return out
}

func (h *Holder) heartbeat(to topology.VMID, promises []PromiseRequest, now mono.Time) HeartbeatRequest {
	h.sequence++
	s, ok := h.sent[to]
	if !ok {
		s = &sentTimes{at: map[uint64]mono.Time{}}
		h.sent[to] = s
	}
	s.at[h.sequence] = now
	s.order = append(s.order, h.sequence)
	if len(s.order) > keptHeartbeats {
		delete(s.at, s.order[0])
		s.order = s.order[1:]
	}
	return HeartbeatRequest{VM: h.self.ID, Incarnation: h.self.Incarnation, Sequence: h.sequence, Promises: promises}
}

// confirmRow returns the platform read that shows the row as current, when it is
// due. Failure: the platform recovers from an outage and is loaded by repeated reads
// of every group. So reads are repeated at RetryEvery only while the row is not yet
// confirmed and the right depends on it.
func (h *Holder) confirmRow(id topology.GroupID, g *holderGroup, now mono.Time) []Action {
	if g.now.confirmed && now.Sub(g.now.asOf) < h.opts.ConfirmRowEvery {
		return nil
	}
	every := h.opts.RetryEvery
	if g.now.confirmed {
		every = h.opts.ConfirmRowEvery / 4
	}
	if g.readAsked != 0 && now.Sub(g.readAsked) < every {
		return nil
	}
	g.readAsked = now
	return []Action{ReadRow{Group: id}}
}

// switchover asks the promoter of the switchover's target to promote once its
// replica holds every write.
func (h *Holder) switchover(g *holderGroup, now mono.Time) []Action {
	d := g.drain
	if d == nil {
		return nil
	}
	if now.Sub(d.began) > drainTimeout {
		g.drain = nil
		return nil
	}
	if d.drained == 0 || !g.holdsSince(d.to, d.drained) || now.Sub(d.asked) < h.opts.RetryEvery {
		return nil
	}
	var out []Action
	for _, p := range g.now.row.Promoters {
		if p.Replica == d.to && Complete(g.now.row, p.Replica) {
			d.asked = now
			out = append(out, RequestSwitchover{To: p.VM, Group: g.now.row.ID})
		}
	}
	return out
}
