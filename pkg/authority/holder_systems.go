package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// shunFor keeps a VM that fell silent out of the list, so that a flapping
	// path does not cost two writes of the row each time.
	shunFor = 4 * time.Second
	// unsyncAfter is how far back a synced replica may be, in time, before
	// waiting writes stop waiting for it.
	unsyncAfter = time.Second
	// keptSamples bounds the remembered positions of the primary.
	keptSamples = 32
	// freshPrimary is how old the known position of the primary may be for a
	// replica to count as caught up with it.
	freshPrimary = time.Second
	// renewAfter is how long a released version waits for a promotion before the
	// holder renews the list.
	renewAfter = 3 * time.Second
	// caretakerAfter is how long all promoters must be silent before the holder
	// goes on without any: a promotion on their side takes less.
	caretakerAfter = 5 * time.Second
	// drainLimit ends a switchover that brought no promotion.
	drainLimit = 5 * time.Second
	// lateAnswer is how much later than a heartbeat's interval an answer may come
	// before its promoter counts as fallen silent together with the others.
	lateAnswer = 100 * time.Millisecond
	// settledView is how long the candidates must stay the same before a list
	// change that can wait is proposed.
	settledView = 500 * time.Millisecond
	// hurriedBeat spaces the heartbeats of a group without a synced entry, for
	// hurryFor after each of its rows.
	hurriedBeat = 50 * time.Millisecond
	hurryFor    = 3 * time.Second
)

// replicaView is a replica as its promoter reports it.
type replicaView struct {
	position  position.Position
	reachable bool
	at        mono.Time
}

// primarySample is what the primary held in a fetch begun at began.
type primarySample struct {
	position position.Position
	began    mono.Time
}

// drain is a planned switchover as the holder sees it.
type drain struct {
	to      topology.TargetID
	began   mono.Time
	drained mono.Time
	asked   mono.Time
}

// RequestSwitchover asks the VM to promote: the primary admits no write and the
// VM's replica holds all of them. It goes to Promoter.Switchover there.
type RequestSwitchover struct {
	To    topology.VMID
	Group topology.GroupID
}

func (RequestSwitchover) action() {}

// Candidates names the VMs that should stand in the group's list, with their
// present incarnations and replicas: reachable, not leaving. An entry whose
// replica is the primary itself keeps the list non-empty and never promotes.
// Synced is ignored.
func (h *Holder) Candidates(group topology.GroupID, list []topology.Promoter) {
	if g, ok := h.groups[group]; ok {
		g.candidates = slices.Clone(list)
	}
}

// ObservePrimary takes the primary's position, in the row's term, from a fetch
// begun at began.
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

// SetHealth tells how the primary looks from here; a change goes out at once.
func (h *Holder) SetHealth(group topology.GroupID, health Health) {
	g, ok := h.groups[group]
	if !ok || g.health == health {
		return
	}
	g.health = health
	g.urgent = true
}

// Drain starts a switchover to the target: Right admits nothing more. It ends
// with the next term, or after five seconds.
func (h *Holder) Drain(group topology.GroupID, to topology.TargetID, now mono.Time) {
	if g, ok := h.groups[group]; ok {
		g.drain = &drain{to: to, began: now}
	}
}

// Drained tells that every write admitted before Drain has ended.
func (h *Holder) Drained(group topology.GroupID, now mono.Time) {
	if g, ok := h.groups[group]; ok && g.drain != nil && g.drain.drained == 0 {
		g.drain.drained = now
	}
}

// Tick runs the systems and returns what is to be carried out.
func (h *Holder) Tick(now mono.Time) []Action {
	h.forgive(now)
	out := h.heartbeats(now)
	for _, id := range sortedKeys(h.groups) {
		g := h.groups[id]
		out = append(out, h.confirmRow(id, g, now)...)
		if g.now.row == nil || g.now.row.Primary != g.target {
			continue
		}
		g.noteView(now)
		out = append(out, h.promote(g, now)...)
		out = append(out, h.propose(g, now)...)
		out = append(out, h.settlement(g, now)...)
		out = append(out, h.switchover(g, now)...)
	}
	return out
}

// forgive starts the promoters' silence anew after a pause of this VM. Failure:
// it wakes, finds all of them silent for as long as it slept, and strikes them
// from the list before it has asked any.
func (h *Holder) forgive(now mono.Time) {
	paused := now.Sub(h.ticked) > h.opts.Heartbeat
	h.ticked = now
	if !paused {
		return
	}
	for _, g := range h.groups {
		for vm := range g.granted {
			g.granted[vm] = now
		}
	}
}

// ObservePromoted tells that the target confirmed to be the primary of the term.
func (h *Holder) ObservePromoted(group topology.GroupID, term uint64) {
	if g, ok := h.groups[group]; ok {
		g.inTerm = max(g.inTerm, term)
	}
}

// promote has the target follow the row. Whoever pools the target does so, and
// not the VM that committed the row, which may have died since.
func (h *Holder) promote(g *held, now mono.Time) []Action {
	row := g.now.row
	if g.inTerm >= row.Term || (g.promoteAsked != 0 && now.Sub(g.promoteAsked) < h.opts.RetryEvery) {
		return nil
	}
	g.promoteAsked = now
	return []Action{PromoteReplica{Group: row.ID, Target: g.target, Term: row.Term}}
}

func (h *Holder) settlement(g *held, now mono.Time) []Action {
	if len(g.now.row.Unsettled) == 0 {
		return nil
	}
	return g.settlement.ask(&h.opts, g.now.row, now)
}

// noteView remembers since when the candidates are the same.
func (g *held) noteView(now mono.Time) {
	if slices.Equal(g.candidates, g.viewed) {
		return
	}
	g.viewed = g.candidates
	g.viewedSince = now
}

// hurried reports whether a replica is to be marked synced soon. Failure: after a
// promotion no entry is synced, and classes that wait for a replica are refused
// until a heartbeat tells that one has caught up. Not for long: with no replica
// alive it would go on for hours.
func (g *held) hurried(now mono.Time) bool {
	return len(Synced(g.now.row.Promoters)) == 0 && now.Sub(g.learned) < hurryFor
}

// heartbeats batches the promise requests of all groups by VM.
func (h *Holder) heartbeats(now mono.Time) []Action {
	all := !h.beaten || now.Sub(h.lastBeat) >= h.opts.Heartbeat
	if all {
		h.lastBeat = now
		h.beaten = true
	}
	hurry := now.Sub(h.lastHurry) >= hurriedBeat
	if hurry {
		h.lastHurry = now
	}
	batch := map[topology.VMID][]PromiseRequest{}
	for _, id := range sortedKeys(h.groups) {
		g := h.groups[id]
		row := g.now.row
		if row == nil || row.Primary != g.target {
			continue
		}
		if due := all || g.urgent || (hurry && g.hurried(now)); !due {
			continue
		}
		g.urgent = false
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

// confirmRow asks for a platform read that shows the row as current. Failure: the
// platform returns from an outage and meets the repeated reads of every group;
// they are urgent only where the right waits for them.
func (h *Holder) confirmRow(id topology.GroupID, g *held, now mono.Time) []Action {
	if g.now.known && now.Sub(g.now.asOf) < h.opts.ConfirmRowEvery {
		return nil
	}
	every := h.opts.RetryEvery
	if g.now.known {
		every = h.opts.ConfirmRowEvery / 4
	}
	if g.readAsked != 0 && now.Sub(g.readAsked) < every {
		return nil
	}
	g.readAsked = now
	return []Action{ReadRow{Group: id}}
}

// switchover asks the target's promoter to promote once it holds every write.
func (h *Holder) switchover(g *held, now mono.Time) []Action {
	d := g.drain
	if d == nil {
		return nil
	}
	if now.Sub(d.began) > drainLimit {
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
