// Package membership keeps what one VM knows of the others and chooses, without
// an election, which VM does what: pooler of a target, relay of a data centre,
// promoter of a replica. It also plans the stop of a VM that leaves. It does no
// I/O and reads no clock.
//
// Direct evidence comes before the platform's list, which lags: a VM that
// answers is live though the list lacks it, and one that does not answer is not
// live though the list has it.
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
	// is dead: above a long pause of its process, below what callers bear.
	SilenceToDead = 1500 * time.Millisecond
	// RefusedToDead is the same for connections that its VM refuses: nothing
	// listens there, so only a restart has to be waited for.
	RefusedToDead = 300 * time.Millisecond
	// SilenceToAvoid is how far apart two unanswered attempts must have begun
	// before a suspect VM is chosen for nothing. Failure: one slow answer moves
	// the pooler of many targets away and, with the next answer, back; each move
	// costs new connections and promises. A process that pauses for up to this
	// long and the time-out of an attempt answers the second one.
	SilenceToAvoid = 250 * time.Millisecond
	// EvidenceFresh is how long a sign of life outweighs that the list lacks
	// the VM.
	EvidenceFresh = 10 * time.Second
	// ForgetAfter is how long a dead VM that the list lacks is remembered, and
	// its incarnation with it: longer than the list lags.
	ForgetAfter = 5 * time.Minute
)

// State is what is known of a VM.
type State int

// The states of a VM.
const (
	// Live: it answers, or the list has it and nothing speaks against it.
	Live State = iota + 1
	// Suspect: an attempt failed after its last sign of life. Probe it.
	Suspect
	// Dead: attempts failed for long enough.
	Dead
	// Leaving: it said, or the platform did, that it stops. It may still answer.
	Leaving
)

// String names the state as logs and metrics do.
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

// Kind is what was seen of a VM.
type Kind int

// The kinds of evidence. The first three are signs of life: a VM that refuses a
// request is as alive as one that answers it.
const (
	Answer Kind = iota + 1
	Refusal
	Heartbeat
	ConnectionRefused
	Silence
)

func (k Kind) life() bool { return k <= Heartbeat }

// Evidence is something that this VM saw of another itself.
type Evidence struct {
	// VM carries the id and incarnation; of a VM that may be unknown, all
	// fields. For ConnectionRefused and Silence only the id counts.
	VM   topology.VM
	Kind Kind
	// At is when a sign of life arrived, or when the attempt that failed began,
	// on this VM's clock: life seen after an attempt began outweighs its failure.
	At mono.Time
}

// Status is what is known of one VM.
type Status struct {
	VM    topology.VM
	State State
	// Since is when the state began.
	Since mono.Time
	// Avoided: a suspect VM that is chosen for nothing: it refused a connection,
	// or stayed silent for SilenceToAvoid.
	Avoided bool
}

// choosable reports whether the VM may be given work. One failed attempt makes a
// VM suspect, and so probed, but does not move its work.
func (s Status) choosable() bool {
	return s.State == Live || s.State == Suspect && !s.Avoided
}

// entry is one row of the table.
type entry struct {
	Status
	// lastLife is the last sign of life; valid when seenLife.
	lastLife mono.Time
	seenLife bool
	// troubleSince is the first failed attempt after lastLife; valid when troubled.
	troubleSince mono.Time
	troubled     bool
	listed       bool
}

// Table is what one VM knows of all VMs, itself included. It is not safe for
// concurrent use.
type Table struct {
	self    topology.VMID
	entries map[topology.VMID]*entry
}

// NewTable returns a table that knows self only.
func NewTable(self topology.VM, now mono.Time) *Table {
	t := &Table{self: self.ID, entries: map[topology.VMID]*entry{}}
	t.add(self, now)
	return t
}

// Status finds a VM.
func (t *Table) Status(id topology.VMID) (Status, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Status{}, false
	}
	return e.Status, true
}

// Heard returns when a VM last gave a sign of life; false if it never did.
func (t *Table) Heard(id topology.VMID) (mono.Time, bool) {
	e, ok := t.entries[id]
	if !ok || !e.seenLife {
		return 0, false
	}
	return e.lastLife, true
}

// Statuses returns all VMs by id.
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
	e.settle(now)
}

// Observe takes in evidence. It reports whether the VM's state changed.
func (t *Table) Observe(ev Evidence) bool {
	e, known := t.entries[ev.VM.ID]
	if ev.VM.ID == t.self {
		return false
	}
	if !ev.Kind.life() {
		return known && e.trouble(ev)
	}
	if !known {
		if ev.VM.DataCentre == "" {
			return false // Without its place it can't be chosen for anything.
		}
		e = t.add(ev.VM, ev.At)
		e.life(ev)
		return true
	}
	return e.life(ev)
}

func (t *Table) add(vm topology.VM, now mono.Time) *entry {
	e := &entry{Status: Status{VM: vm}}
	t.entries[vm.ID] = e
	e.settle(now)
	return e
}

// life takes in a sign of life. One of an earlier incarnation is a late message
// of a process that is gone, and says nothing of the one that runs.
func (e *entry) life(ev Evidence) bool {
	if ev.VM.Incarnation < e.VM.Incarnation {
		return false
	}
	restarted := e.restart(ev.VM)
	e.VM.Leaving = e.VM.Leaving || ev.VM.Leaving
	if !e.seenLife || ev.At.After(e.lastLife) {
		e.seenLife, e.lastLife = true, ev.At
	}
	if e.troubled && !ev.At.Before(e.troubleSince) {
		e.troubled = false
	}
	return e.settle(ev.At) || restarted
}

// restart takes over a higher incarnation, with nothing known against it.
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

// trouble takes in a failed attempt. Death takes failed attempts over a stretch
// of time, not time alone: after one lost message in an otherwise silent hour a
// healthy VM would count as dead without having been asked again.
func (e *entry) trouble(ev Evidence) bool {
	if e.seenLife && !ev.At.After(e.lastLife) {
		return false
	}
	if !e.troubled || ev.At.Before(e.troubleSince) {
		e.troubled, e.troubleSince = true, ev.At
	}
	if e.State == Dead {
		return false
	}
	patience := SilenceToDead
	if ev.Kind == ConnectionRefused {
		patience = RefusedToDead
	}
	if ev.At.Sub(e.troubleSince) >= patience {
		return e.become(Dead, ev.At)
	}
	if e.State == Leaving {
		return false
	}
	avoided := ev.Kind == ConnectionRefused || ev.At.Sub(e.troubleSince) >= SilenceToAvoid
	newlyAvoided := avoided && !e.Avoided
	e.Avoided = e.Avoided || avoided
	return e.become(Suspect, ev.At) || newlyAvoided
}

// settle makes an entry without failed attempts live or leaving. Leaving sticks to the
// incarnation: a message sent before the mark would bring work back to a VM that
// is about to stop.
func (e *entry) settle(now mono.Time) bool {
	if e.troubled && (e.State == Dead || e.State == Suspect) {
		return false
	}
	if e.VM.Leaving {
		return e.become(Leaving, now)
	}
	return e.become(Live, now)
}

func (e *entry) become(s State, now mono.Time) bool {
	if e.State == s {
		return false
	}
	e.State, e.Since = s, now
	if s != Suspect {
		e.Avoided = false
	}
	return true
}
