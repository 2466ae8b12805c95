package lease

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Right allows a VM to acknowledge requests to a group's primary in a term.
type Right struct {
	Group   topology.GroupID
	Term    uint64
	Primary topology.TargetID
}

// Holder keeps the rights of this VM.
type Holder struct {
	// adopted is the number of rows adopted so far.
	adopted uint64
	groups  map[topology.GroupID]*heldRight
}

// heldRight is the right in one group, and the row under which it is held.
type heldRight struct {
	row *Row
	// promisedUntil is until when the right is valid by the coordinator's promise, and
	// readUntil until when it is valid by this VM's own read.
	promisedUntil mono.Time
	readUntil     mono.Time
}

// NewHolder returns a holder without rights.
func NewHolder() *Holder { return &Holder{groups: map[topology.GroupID]*heldRight{}} }

// Row returns the newest row known of a group, or nil.
func (h *Holder) Row(group topology.GroupID) *Row {
	if g := h.groups[group]; g != nil {
		return g.row
	}
	return nil
}

// Adopt stores a row if it is newer than the known one, whatever its source, and reports
// whether it was newer. Promises under the older version end: once a VM reports that it
// has adopted a version, it has no right from an earlier coordinator's promise. A right
// from the VM's own read continues while the row stays open for the same primary: only
// closing the row ends it, and a promotion waits for that.
func (h *Holder) Adopt(row *Row) bool {
	g := h.groups[row.Group]
	if g == nil {
		h.groups[row.Group] = &heldRight{row: row}
		h.adopted++
		return true
	}
	if row.Version <= g.row.Version {
		return false
	}
	h.adopted++
	if !g.row.Open() || !row.Open() || g.row.Term != row.Term || g.row.Primary != row.Primary {
		g.readUntil = 0
	}
	g.row = row
	g.promisedUntil = 0
	return true
}

// Adopted returns the number of rows adopted so far: it changes whenever a known row does.
func (h *Holder) Adopted() uint64 { return h.adopted }

// RecordRead extends the right after a read of the store, sent at began, that showed the
// version. A read of another version has no effect.
func (h *Holder) RecordRead(group topology.GroupID, version uint64, began mono.Time) {
	g := h.groups[group]
	if g == nil || g.row.Version != version || !g.row.Open() {
		return
	}
	g.readUntil = max(g.readUntil, began.Add(Duration))
}

// RecordPromise extends the right after the coordinator has promised it under the version. The
// request for the promise was sent at sent.
func (h *Holder) RecordPromise(group topology.GroupID, version uint64, sent mono.Time) {
	g := h.groups[group]
	if g == nil || g.row.Version != version || !g.row.Open() {
		return
	}
	g.promisedUntil = max(g.promisedUntil, sent.Add(Duration))
}

// Until returns until when the VM has the right, or 0 if it has never had it.
func (h *Holder) Until(group topology.GroupID) mono.Time {
	g := h.groups[group]
	if g == nil {
		return 0
	}
	return max(g.promisedUntil, g.readUntil)
}

// PromisedUntil returns until when the coordinator's promise is valid.
func (h *Holder) PromisedUntil(group topology.GroupID) mono.Time {
	if g := h.groups[group]; g != nil {
		return g.promisedUntil
	}
	return 0
}

// Right returns the right that the VM has now, and false if it has none.
func (h *Holder) Right(group topology.GroupID, now mono.Time) (Right, bool) {
	g := h.groups[group]
	if g == nil || !g.row.Open() || !now.Before(h.Until(group)) {
		return Right{}, false
	}
	return Right{Group: group, Term: g.row.Term, Primary: g.row.Primary}, true
}

// Confirm reports whether the right is still valid. It is called after the primary has
// answered and before the answer goes to the caller: if the VM was paused in between, its
// right may have lapsed, and it must not acknowledge the request.
func (h *Holder) Confirm(r Right, now mono.Time) bool {
	current, ok := h.Right(r.Group, now)
	return ok && current == r
}
