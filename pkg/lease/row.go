// Package lease decides which VMs may acknowledge requests to the primary of a group
// when every VM connects to the targets itself.
//
// Each group has a row in the metadata store. It names the primary, its term and
// one VM as the group's coordinator, the only one that may order a promotion. A VM
// has the right to acknowledge for a limited time, from either of two sources: a
// promise of the coordinator, or its own read of the row. With two sources, writes
// continue when either the store or the coordinator can't be reached. To replace the
// primary the coordinator first closes the row, which ends reads as a source, and stops
// giving promises. It then waits until every VM has confirmed that it has no right, or
// until all rights have lapsed.
//
// The package does no I/O and reads no clock: callers pass in the times and carry out the
// decisions. Its types are not safe for concurrent use.
package lease

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// Duration is how long a right is valid, from when its source was asked. It bounds
	// the wait for a VM that can't be reached, and covers two lost renewals.
	Duration = 800 * time.Millisecond
	// margin is how much longer a coordinator waits, since the clocks of VMs run at
	// slightly different rates; they deviate by well under 0.1 %.
	margin = Duration / 100
	// storeGrace is for how long after its last read of the row a coordinator gives
	// promises without further conditions. Its watch of the store is answered twice a
	// second. A takeover has to wait this time out; a coordinator in contact with most
	// of its witnesses continues beyond it.
	storeGrace = 800 * time.Millisecond
	// contactGrace is the time within which a coordinator must have had contact with most
	// of the row's witnesses to give promises beyond storeGrace. It is a little more than
	// two renewals.
	contactGrace = 600 * time.Millisecond
	// CoordinatorLimit is how long a coordinator gives promises without reaching the
	// store at all. It covers store outages of some seconds.
	CoordinatorLimit = 12 * time.Second
	// MaxWitnesses bounds the witnesses in a row: enough that three of them may be
	// lost, and few enough for a row that is sent to other VMs.
	MaxWitnesses = 7
	// maxHistory bounds the ends of earlier terms in a row. They are looked up for the
	// floors of sessions and the samples of positions. These are seconds old, so only the
	// last few terms matter.
	maxHistory = 20
)

// eraShift is the number of bits of a row's version below the era.
const eraShift = 32

// RestoredReason is the reason of a handover that began because the store was restored from an older
// copy and may have lost the newest versions of the row.
const RestoredReason = "store_restored"

// Row is a group's row in the store. Each change raises Version.
type Row struct {
	Group topology.GroupID `json:"group" msgpack:"g"`
	// Version consists of the era of the store in which it was written, above eraShift, and a counter.
	// After a restoration of the store the first change so has a higher version than any that was lost.
	Version uint64            `json:"version" msgpack:"v"`
	Term    uint64            `json:"term" msgpack:"t"`
	Primary topology.TargetID `json:"primary" msgpack:"p"`
	// Coordinator is the only VM that may change the primary. Any VM may take over from it.
	Coordinator topology.VMID        `json:"coordinator" msgpack:"c"`
	Incarnation topology.Incarnation `json:"incarnation" msgpack:"i"`
	// Fence rises whenever the coordinator changes.
	Fence uint64 `json:"fence" msgpack:"f"`
	// Witnesses are the VMs with most of which the coordinator must be in contact while
	// it can't reach the store. A VM that takes over learns from most of the same VMs
	// that they have adopted the takeover. Two majorities share a VM, so the earlier
	// coordinator has stopped by then, even if the two can't reach each other.
	Witnesses []topology.VMID `json:"witnesses,omitempty" msgpack:"w,omitempty"`
	// Ended is set if the previous coordinator had stopped giving promises when this one
	// took over.
	Ended bool `json:"ended,omitempty" msgpack:"e,omitempty"`
	// Quiet is set if no order of the previous coordinator was in flight any more when this one took over.
	Quiet bool `json:"quiet,omitempty" msgpack:"u,omitempty"`
	// Formers are the former coordinators: earlier coordinators whose promises may still
	// be valid. They are passed from one coordinator to the next until the last of these
	// promises has lapsed: a second takeover soon after a first must wait for all of them.
	// One without a name stands for a coordinator that the store may have lost.
	Formers []Former `json:"formers,omitempty" msgpack:"o,omitempty"`
	// Handover is set while the primary is being replaced; no VM has a right then.
	Handover *Handover `json:"handover,omitempty" msgpack:"h,omitempty"`
	// History holds the ends of the latest terms, the oldest first.
	History []topology.TermEnd `json:"history,omitempty" msgpack:"y,omitempty"`
	// Quorum tells which targets may hold the acknowledged commits, if commits wait for replicas. It never changes
	// in place.
	Quorum *Quorum `json:"quorum,omitempty" msgpack:"q,omitempty"`
	// Unsettled are targets that an order may still promote: it was sent, or may have been by a former coordinator, and was
	// not answered. What one of them lacks is not acknowledged. It never changes in place.
	Unsettled []topology.TargetID `json:"unsettled,omitempty" msgpack:"n,omitempty"`
}

// Former is a former coordinator: an earlier coordinator whose promises may still be valid.
// It may even give new ones until it learns of the takeover or reaches CoordinatorLimit.
type Former struct {
	VM topology.VMID `json:"vm" msgpack:"c"`
	// Version is the row version that replaced it as the coordinator, and Witnesses are its
	// own witnesses, from the row before that.
	Version   uint64          `json:"version" msgpack:"v"`
	Witnesses []topology.VMID `json:"witnesses" msgpack:"w"`
}

// Handover is a change of the primary that is in progress.
type Handover struct {
	// ClosedAt is the row version that closed the row.
	ClosedAt uint64 `json:"closed_at" msgpack:"c"`
	// Candidate is the target to be promoted, or empty while none is chosen. It stays
	// set for as long as its promotion may still take effect.
	Candidate topology.TargetID `json:"candidate" msgpack:"t"`
	// End is the candidate's position when it was chosen: the end of the term.
	End position.Position `json:"end" msgpack:"e"`
	// Complete is set if the former primary has stepped down and held nothing beyond End.
	// Otherwise it may come back with later entries if the candidate is not promoted
	// after all.
	Complete bool `json:"complete,omitempty" msgpack:"o,omitempty"`
	// Reason is shown to operators.
	Reason string `json:"reason" msgpack:"r"`
}

// Open reports whether rights may be held under the row.
func (r *Row) Open() bool { return r.Handover == nil }

// Topology returns the row in the form that routing uses.
func (r *Row) Topology() *topology.Group {
	return &topology.Group{ID: r.Group, Version: r.Version, Term: r.Term, Primary: r.Primary, History: r.History}
}

// Era returns the era of the store in which the row was written.
func (r *Row) Era() uint64 { return r.Version >> eraShift }

// FirstVersion returns the version of a group's first row in an era.
func FirstVersion(era uint64) uint64 { return era<<eraShift + 1 }

// InEra returns the row with a version from which changes in the era continue.
func (r *Row) InEra(era uint64) *Row {
	n := *r
	n.Version = max(r.Version, era<<eraShift)
	return &n
}

// Restored returns the row as its coordinator writes it again in a later era. The coordinator keeps
// giving promises.
func (r *Row) Restored(era uint64) *Row {
	n := r.InEra(era).next()
	n.Formers = append(slices.Clone(r.Formers), r.lostCoordinator(n.Version))
	return n
}

// TakenByAfterRestoration is TakenBy for a row of an earlier era. The store may have lost a change of
// the primary, so the row is closed until it is known which target leads.
func (r *Row) TakenByAfterRestoration(era uint64, vm topology.VMID, incarnation topology.Incarnation, witnesses []topology.VMID) *Row {
	n := r.InEra(era).TakenBy(vm, incarnation, vm, witnesses)
	n.Formers = append(n.Formers, r.lostCoordinator(n.Version))
	if n.Handover == nil {
		n.Handover = &Handover{Reason: RestoredReason}
	}
	n.Handover.ClosedAt = n.Version
	return n
}

// FirstAfterRestoration returns a group's first row in the store as the first one of which it is known:
// the store may have lost earlier ones, with their coordinator.
func (r *Row) FirstAfterRestoration() *Row {
	n := *r
	n.Formers = []Former{r.lostCoordinator(r.Version)}
	return &n
}

// lostCoordinator stands for a coordinator that took over from that of r in a row that the store has
// lost. It needed most of r's witnesses to change the primary.
func (r *Row) lostCoordinator(version uint64) Former {
	return Former{Version: version, Witnesses: r.Witnesses}
}

// next returns a copy with the next version, which the caller may modify.
func (r *Row) next() *Row {
	n := *r
	n.Version++
	n.History = append([]topology.TermEnd(nil), r.History...)
	if r.Handover != nil {
		h := *r.Handover
		n.Handover = &h
	}
	return &n
}

// TakenBy returns the row with another coordinator and its witnesses. by is the VM that
// makes the change: if it is the current coordinator, in the same or a later incarnation,
// no VM goes on giving promises under the earlier version.
func (r *Row) TakenBy(vm topology.VMID, incarnation topology.Incarnation, by topology.VMID, witnesses []topology.VMID) *Row {
	n := r.next()
	n.Ended, n.Quiet = by == r.Coordinator, false
	n.Formers = slices.DeleteFunc(slices.Clone(r.Formers), func(f Former) bool { return f.VM == r.Coordinator })
	if !n.Ended {
		n.Formers = append(n.Formers, Former{VM: r.Coordinator, Version: n.Version, Witnesses: r.Witnesses})
	}
	n.Coordinator, n.Incarnation = vm, incarnation
	n.Fence++
	n.Witnesses = witnesses
	if n.Handover != nil && n.Handover.Candidate != "" {
		n = n.WithUnsettled(n.Handover.Candidate)
	}
	return n
}

// Quieted returns the row, as taken over, for a previous coordinator with no order in flight any more.
func (r *Row) Quieted() *Row {
	n := *r
	n.Quiet = true
	return &n
}

// Settled returns the row without Formers, once the promises of all of them have lapsed.
func (r *Row) Settled() *Row {
	n := *r
	n.Formers = nil
	return &n
}

// Closed returns the row closed by the start of a handover.
func (r *Row) Closed(reason string) *Row {
	n := r.next()
	n.Handover = &Handover{ClosedAt: n.Version, Reason: reason}
	return n
}

// WithCandidate returns the row with the handover's candidate set; end and complete are as in Handover.
func (r *Row) WithCandidate(candidate topology.TargetID, end position.Position, complete bool) *Row {
	n := r.next()
	n.Handover.Candidate, n.Handover.End, n.Handover.Complete = candidate, end, complete
	return n
}

// Opened returns the row after the candidate has become the primary in the term.
func (r *Row) Opened(term uint64) *Row {
	n := r.next()
	n.History = append(n.History, topology.TermEnd{Term: r.Term, End: r.Handover.End})
	if extra := len(n.History) - maxHistory; extra > 0 {
		n.History = n.History[extra:]
	}
	n.Primary, n.Term, n.Handover = r.Handover.Candidate, term, nil
	n.Formers = nil // All rights had ended before the promotion.
	return n
}

// Returned returns the row with the handover ended by a target that is already the primary,
// in the row's term or a later one. In the row's term, the primary has restarted under another
// name, with its log: no term has ended and no acknowledged write is lost. A later term began
// in a row that the store has lost, and where the row's term ended is not known.
func (r *Row) Returned(primary topology.TargetID, term uint64) *Row {
	n := r.next()
	n.Primary, n.Term, n.Handover = primary, term, nil
	n.Formers = nil // All rights had ended before the change.
	return n
}

// WithQuorum returns the row with another quorum.
func (r *Row) WithQuorum(q *Quorum) *Row {
	n := r.next()
	n.Quorum = q
	return n
}

// Resumed returns the row with the handover cancelled: the primary stays. Writing it
// over an open row ensures that a change sent earlier can no longer take effect.
func (r *Row) Resumed() *Row {
	n := r.next()
	n.Handover = nil
	return n
}
