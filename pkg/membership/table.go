// Package membership tracks the state of all VMs as seen by one VM. From that it
// chooses, without an election, the VM for each role: pooler of a target, relay
// of a data centre, promoter of a replica. It also plans the stop of a VM that
// leaves. It does no I/O and reads no clock.
//
// Direct evidence takes precedence over the platform's list, which lags: a VM
// that answers is live even if the list lacks it, and a VM that does not answer
// is not live even if the list contains it.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// SilenceToDead is how long attempts must go unanswered before a suspect VM
	// is dead. It is longer than a long pause of the VM's process and shorter than
	// the delay that callers tolerate.
	SilenceToDead = 1500 * time.Millisecond
	// RefusedToDead is how long connections must be refused before a suspect VM is
	// dead. It is shorter than SilenceToDead because nothing listens there, so it
	// only has to cover a restart.
	RefusedToDead = 300 * time.Millisecond
	// SilenceToAvoid is how far apart two unanswered attempts must have begun
	// before a suspect VM gets no more work. Without it, one slow answer would move
	// the poolers of many targets to other VMs, and the next answer would move them
	// back; each move costs new connections and promises. A process that pauses for
	// no longer than this plus the timeout of an attempt answers the second attempt.
	SilenceToAvoid = 250 * time.Millisecond
	// EvidenceFresh is how long after its last sign of life a VM stays live although
	// the list lacks it.
	EvidenceFresh = 10 * time.Second
	// ForgetAfter is how long a dead VM that the list lacks stays in the table,
	// together with its incarnation. It exceeds the lag of the list.
	ForgetAfter = 5 * time.Minute
)

// State is the state of a VM as this VM sees it.
type State int

// The states of a VM.
const (
	// Live is a VM that answers, or that is listed and has no failed attempts.
	Live State = iota + 1
	// Suspect is a VM to which an attempt failed after its last sign of life, or
	// that is no longer listed and gave no recent sign of life. It has to be probed.
	Suspect
	// Dead is a VM to which attempts failed for SilenceToDead or RefusedToDead, or
	// a VM known only from an earlier list that is no longer listed.
	Dead
	// Leaving is a VM that announced its stop, or that the platform lists as
	// leaving. It may still answer.
	Leaving
)

// String returns the state's name in logs and metrics.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	}
	return "invalid"
}

// Kind is a kind of evidence about a VM.
type Kind int

// The kinds of evidence. The first three are signs of life: a VM that refuses a
// request is as live as one that answers it.
const (
	Answer Kind = iota + 1
	Refusal
	Heartbeat
	ConnectionRefused
	Silence
)

func (k Kind) signOfLife() bool { return k <= Heartbeat }

// Evidence is a direct observation of another VM by this VM.
type Evidence struct {
	// VM holds at least the id and the incarnation, and all fields if the VM may
	// not be in the table yet. For ConnectionRefused and Silence only the id is used.
	VM   topology.VM
	Kind Kind
	// At is when a sign of life arrived or when the failed attempt began, on this
	// VM's clock. A sign of life that arrives after an attempt began takes
	// precedence over the failure of that attempt.
	At mono.Time
}

// Status is the state of one VM as this VM sees it.
type Status struct {
	VM    topology.VM
	State State
	// Since is when the state began.
	Since mono.Time
	// Avoided is set for a suspect VM that gets no work because it refused a
	// connection or stayed silent for SilenceToAvoid.
	Avoided bool
}

// eligible reports whether the VM may be given work. One unanswered attempt
// makes a VM suspect, so that it is probed, but does not move its work.
func (s Status) eligible() bool {
	return s.State == Live || s.State == Suspect && !s.Avoided
}

// entry is one VM in the table.
type entry struct {
	Status
	// lastAlive is when the last sign of life arrived; valid if seenAlive is set.
	lastAlive mono.Time
	seenAlive bool
	// failingSince is when the first failed attempt after lastAlive began; valid if
	// failing is set.
	failingSince mono.Time
	failing      bool
	listed       bool
}

// Table holds the state of all VMs as seen by one VM, including that VM itself.
// It is not safe for concurrent use.
type Table struct {
	self    topology.VMID
	entries map[topology.VMID]*entry
}

// NewTable returns a table that contains only self.
func NewTable(self topology.VM, now mono.Time) *Table {
	t := &Table{self: self.ID, entries: map[topology.VMID]*entry{}}
	t.add(self, now)
	return t
}

// Status returns the status of a VM, and false if the VM is not in the table.
func (t *Table) Status(id topology.VMID) (Status, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Status{}, false
	}
	return e.Status, true
}

// LastSeen returns when the last sign of life of a VM arrived, and false if there
// was none.
func (t *Table) LastSeen(id topology.VMID) (mono.Time, bool) {
	e, ok := t.entries[id]
	if !ok || !e.seenAlive {
		return 0, false
	}
	return e.lastAlive, true
}

// Statuses returns the statuses of all VMs, sorted by id.
func (t *Table) Statuses() []Status {
	out := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Status)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(string(a.VM.ID), string(b.VM.ID)) })
	return out
}

// Leave marks this VM as leaving.
func (t *Table) Leave(now mono.Time) {
	e := t.entries[t.self]
	e.VM.Leaving = true
	e.updateState(now)
}

// Observe applies evidence to the table. It reports whether the VM's state
// changed.
func (t *Table) Observe(ev Evidence) bool {
	e, known := t.entries[ev.VM.ID]
	if ev.VM.ID == t.self {
		return false
	}
	if !ev.Kind.signOfLife() {
		return known && e.failedAttempt(ev)
	}
	if !known {
		if ev.VM.DataCentre == "" {
			return false // Without a data centre the VM can't be chosen for any role.
		}
		e = t.add(ev.VM, ev.At)
		e.signOfLife(ev)
		return true
	}
	return e.signOfLife(ev)
}

func (t *Table) add(vm topology.VM, now mono.Time) *entry {
	e := &entry{Status: Status{VM: vm}}
	t.entries[vm.ID] = e
	e.updateState(now)
	return e
}

// signOfLife applies a sign of life. One from an earlier incarnation is a late
// message of a process that has ended, and no evidence about the current process.
func (e *entry) signOfLife(ev Evidence) bool {
	if ev.VM.Incarnation < e.VM.Incarnation {
		return false
	}
	restarted := e.restart(ev.VM)
	e.VM.Leaving = e.VM.Leaving || ev.VM.Leaving
	if !e.seenAlive || ev.At.After(e.lastAlive) {
		e.seenAlive, e.lastAlive = true, ev.At
	}
	if e.failing && !ev.At.Before(e.failingSince) {
		e.failing = false
	}
	return e.updateState(ev.At) || restarted
}

// restart replaces the entry when vm has a higher incarnation, without the
// failures recorded for the earlier one. It reports whether it did.
func (e *entry) restart(vm topology.VM) bool {
	if vm.Incarnation <= e.VM.Incarnation {
		return false
	}
	if vm.DataCentre == "" {
		vm.DataCentre, vm.Region, vm.PeerAddress = e.VM.DataCentre, e.VM.Region, e.VM.PeerAddress
	}
	*e = entry{Status: Status{VM: vm, Since: e.Since}, listed: e.listed}
	return true
}

// failedAttempt applies a failed attempt. A VM is only declared dead when attempts fail
// over a period of time; elapsed time alone isn't enough. Otherwise, after one lost
// message in an hour without traffic, a healthy VM would count as dead without
// having been probed again.
func (e *entry) failedAttempt(ev Evidence) bool {
	if e.seenAlive && !ev.At.After(e.lastAlive) {
		return false
	}
	if !e.failing || ev.At.Before(e.failingSince) {
		e.failing, e.failingSince = true, ev.At
	}
	if e.State == Dead {
		return false
	}
	deadAfter := SilenceToDead
	if ev.Kind == ConnectionRefused {
		deadAfter = RefusedToDead
	}
	if ev.At.Sub(e.failingSince) >= deadAfter {
		return e.setState(Dead, ev.At)
	}
	if e.State == Leaving {
		return false
	}
	avoided := ev.Kind == ConnectionRefused || ev.At.Sub(e.failingSince) >= SilenceToAvoid
	newlyAvoided := avoided && !e.Avoided
	e.Avoided = e.Avoided || avoided
	return e.setState(Suspect, ev.At) || newlyAvoided
}

// updateState makes an entry without failed attempts live or leaving. The leaving mark
// is permanent for an incarnation: otherwise a message sent before the mark was
// set would bring work back to a VM that is about to stop.
func (e *entry) updateState(now mono.Time) bool {
	if e.failing && (e.State == Dead || e.State == Suspect) {
		return false
	}
	if e.VM.Leaving {
		return e.setState(Leaving, now)
	}
	return e.setState(Live, now)
}

// setState sets the state and reports whether it changed.
func (e *entry) setState(s State, now mono.Time) bool {
	if e.State == s {
		return false
	}
	e.State, e.Since = s, now
	if s != Suspect {
		e.Avoided = false
	}
	return true
}
