package lease

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Right says for which primary a VM may acknowledge.
type Right struct {
	Group   topology.GroupID
	Term    uint64
	Primary topology.TargetID
}

// Holder holds this VM's rights.
type Holder struct {
	groups map[topology.GroupID]*held
}

type held struct {
	row *Row
	// promised and read are until when the right stands, by either source.
	promised mono.Time
	read     mono.Time
}

// NewHolder holds no right.
func NewHolder() *Holder { return &Holder{groups: map[topology.GroupID]*held{}} }

// Row returns the newest row known of a group, or nil.
func (h *Holder) Row(group topology.GroupID) *Row {
	if g := h.groups[group]; g != nil {
		return g.row
	}
	return nil
}

// Adopt takes over a newer row, whoever told it, and reports whether it was newer.
// Promises under the older version end with it: once a VM says that it has
// adopted a version, it holds nothing that an earlier coordinator promised. A reading
// still counts while the row stays open for the same primary: only closing the row
// ends it, and that is waited for.
func (h *Holder) Adopt(row *Row) bool {
	g := h.groups[row.Group]
	if g == nil {
		h.groups[row.Group] = &held{row: row}
		return true
	}
	if row.Version <= g.row.Version {
		return false
	}
	if !g.row.Open() || !row.Open() || g.row.Term != row.Term || g.row.Primary != row.Primary {
		g.read = 0
	}
	g.row = row
	g.promised = 0
	return true
}

// Read notes that a reading of the store which was sent at began showed the version.
// A reading of an older one tells nothing.
func (h *Holder) Read(group topology.GroupID, version uint64, began mono.Time) {
	g := h.groups[group]
	if g == nil || g.row.Version != version || !g.row.Open() {
		return
	}
	g.read = max(g.read, began.Add(Duration))
}

// Promised notes the coordinator's promise, asked for at sent, under a version.
func (h *Holder) Promised(group topology.GroupID, version uint64, sent mono.Time) {
	g := h.groups[group]
	if g == nil || g.row.Version != version || !g.row.Open() {
		return
	}
	g.promised = max(g.promised, sent.Add(Duration))
}

// Until returns until when the VM has the right.
func (h *Holder) Until(group topology.GroupID) mono.Time {
	g := h.groups[group]
	if g == nil {
		return 0
	}
	return max(g.promised, g.read)
}

// PromisedUntil returns until when the coordinator's promise stands.
func (h *Holder) PromisedUntil(group topology.GroupID) mono.Time {
	if g := h.groups[group]; g != nil {
		return g.promised
	}
	return 0
}

// Right returns the right that the VM has now.
func (h *Holder) Right(group topology.GroupID, now mono.Time) (Right, bool) {
	g := h.groups[group]
	if g == nil || !g.row.Open() || !now.Before(h.Until(group)) {
		return Right{}, false
	}
	return Right{Group: group, Term: g.row.Term, Primary: g.row.Primary}, true
}

// Confirm reports whether the right still stands. It is asked after the primary
// has answered and before the caller is: a VM that was paused between finds that
// its right has lapsed, and acknowledges nothing.
func (h *Holder) Confirm(r Right, now mono.Time) bool {
	present, ok := h.Right(r.Group, now)
	return ok && present == r
}
