// Package lease decides which VMs may acknowledge for the primary of a group when
// every VM connects to the targets itself.
//
// Each group has a row in the metadata store. It names the primary, its term and
// one VM as the group's coordinator, the only one that may order a promotion. A VM
// has the right to acknowledge for a limited time, from either of two sources: a
// promise of the coordinator, or its own reading of the row. Two sources keep
// writes going when either the store or the coordinator can't be reached. To
// replace the primary the coordinator first closes the row, which ends readings as a
// source, stops promising, and waits until every VM has confirmed that it holds
// no right, or until all rights have lapsed.
//
// The package is pure: instants come in, decisions go out. Not safe for concurrent
// use.
package lease

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// Duration of a right, from when its source was asked. It bounds the wait for
	// a VM that can't be reached, and outlives two lost renewals.
	Duration = 800 * time.Millisecond
	// margin by which a coordinator waits longer: clocks of VMs err by well under
	// 0.1 %.
	margin = Duration / 100
	// storeGrace is how long a coordinator promises without having read the row as
	// its own: its watch is answered twice a second. A takeover has to wait it out, and
	// a coordinator that hears most of its witnesses goes on without it.
	storeGrace = 800 * time.Millisecond
	// contactGrace: longer than that it promises only while it has heard most of
	// the row's witnesses within this time, which is two renewals and some.
	contactGrace = 600 * time.Millisecond
	// CoordinatorLimit is how long it promises without the store at all. It outlasts
	// outages of the store of some seconds.
	CoordinatorLimit = 12 * time.Second
	// MaxWitnesses bounds the witnesses in a row: enough that three of them may be
	// lost, few enough for a row that is sent about.
	MaxWitnesses = 7
	// historyKept bounds the ends of earlier terms in a row: floors and samples
	// are seconds old, so only the last few are asked for.
	historyKept = 20
)

// Row is a group's row in the store. Each change raises Version.
type Row struct {
	Group   topology.GroupID  `json:"group" msgpack:"g"`
	Version uint64            `json:"version" msgpack:"v"`
	Term    uint64            `json:"term" msgpack:"t"`
	Primary topology.TargetID `json:"primary" msgpack:"p"`
	// Coordinator alone may change the primary; any VM may take its place.
	Coordinator topology.VMID        `json:"coordinator" msgpack:"c"`
	Incarnation topology.Incarnation `json:"incarnation" msgpack:"i"`
	// Fence rises whenever the coordinator changes.
	Fence uint64 `json:"fence" msgpack:"f"`
	// Witnesses are VMs of which the coordinator has to hear most while it does not
	// reach the store. A VM that takes its place learns from most of the same ones
	// that they follow it; two majorities share a VM, so the earlier coordinator
	// has stopped by then, also when neither hears of the other.
	Witnesses []topology.VMID `json:"witnesses,omitempty" msgpack:"w,omitempty"`
	// Ended: the coordinator before this one had stopped promising when this one was
	// put in place.
	Ended bool `json:"ended,omitempty" msgpack:"e,omitempty"`
	// Formers are earlier coordinators that may not have stopped. They go from one
	// coordinator to the next until one has seen them stop: a second takeover soon
	// after a first must wait for all of them.
	Formers []Former `json:"formers,omitempty" msgpack:"o,omitempty"`
	// Handover is set while the primary is being replaced: nobody has a right.
	Handover *Handover          `json:"handover,omitempty" msgpack:"h,omitempty"`
	History  []topology.TermEnd `json:"history,omitempty" msgpack:"y,omitempty"`
}

// Former is an earlier coordinator that may go on promising.
type Former struct {
	VM topology.VMID `json:"vm" msgpack:"c"`
	// Version of the row that took its place.
	Version   uint64          `json:"version" msgpack:"v"`
	Witnesses []topology.VMID `json:"witnesses" msgpack:"w"`
}

// Handover is a change of the primary under way.
type Handover struct {
	// ClosedAt is the version that closed the row.
	ClosedAt uint64 `json:"closed_at" msgpack:"c"`
	// Candidate is to be promoted; empty while none is chosen. It stays for as long
	// as its promotion may still take effect.
	Candidate topology.TargetID `json:"candidate" msgpack:"t"`
	// End is what the candidate held when it was chosen: the end of the term.
	End position.Position `json:"end" msgpack:"e"`
	// Complete: the former primary has stepped down, and held no more. Otherwise it may come back with more if the
	// candidate is not promoted in the end.
	Complete bool `json:"complete,omitempty" msgpack:"o,omitempty"`
	// Reason is for the operators.
	Reason string `json:"reason" msgpack:"r"`
}

// Open reports whether rights may be held under the row.
func (r *Row) Open() bool { return r.Handover == nil }

// Topology returns the row as the routing decisions take it.
func (r *Row) Topology() *topology.Group {
	return &topology.Group{ID: r.Group, Version: r.Version, Term: r.Term, Primary: r.Primary, History: r.History}
}

// next returns a copy that may be changed, one version on.
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

// TakenBy returns the row with another coordinator. by is the VM that changes it: if it
// is the present coordinator itself, or a later start of it, nobody goes on promising
// by the earlier version. witnesses are those of the new one.
func (r *Row) TakenBy(vm topology.VMID, incarnation topology.Incarnation, by topology.VMID, witnesses []topology.VMID) *Row {
	n := r.next()
	n.Ended = by == r.Coordinator
	n.Formers = slices.DeleteFunc(slices.Clone(r.Formers), func(f Former) bool { return f.VM == r.Coordinator })
	if !n.Ended {
		n.Formers = append(n.Formers, Former{VM: r.Coordinator, Version: n.Version, Witnesses: r.Witnesses})
	}
	n.Coordinator, n.Incarnation = vm, incarnation
	n.Fence++
	n.Witnesses = witnesses
	return n
}

// Settled returns the row without earlier coordinators, which are known to have stopped.
func (r *Row) Settled() *Row {
	n := *r
	n.Formers = nil
	return &n
}

// Closed returns the row with a handover begun.
func (r *Row) Closed(reason string) *Row {
	n := r.next()
	n.Handover = &Handover{ClosedAt: n.Version, Reason: reason}
	return n
}

// Choosing returns the row with the candidate chosen; complete is as in Handover.
func (r *Row) Choosing(candidate topology.TargetID, end position.Position, complete bool) *Row {
	n := r.next()
	n.Handover.Candidate, n.Handover.End, n.Handover.Complete = candidate, end, complete
	return n
}

// Opened returns the row after the candidate has become the primary in the term.
func (r *Row) Opened(term uint64) *Row {
	n := r.next()
	n.History = append(n.History, topology.TermEnd{Term: r.Term, End: r.Handover.End})
	if extra := len(n.History) - historyKept; extra > 0 {
		n.History = n.History[extra:]
	}
	n.Primary, n.Term, n.Handover = r.Handover.Candidate, term, nil
	n.Formers = nil // Before the promotion every right had ended.
	return n
}

// Returned returns the row with the handover ended by a target that leads the present term
// already: the primary has started again under another name and with its log. No term has
// ended, so no history is added, and nothing that was acknowledged is lost.
func (r *Row) Returned(primary topology.TargetID) *Row {
	n := r.next()
	n.Primary, n.Handover = primary, nil
	n.Formers = nil // Before the change every right had ended.
	return n
}

// Resumed returns the row with the handover given up: the primary stays. Writing it
// over an open row makes sure that a change sent before can't take effect any more.
func (r *Row) Resumed() *Row {
	n := r.next()
	n.Handover = nil
	return n
}
