package authority

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// keptVersions is the maximum number of earlier versions that a right may be based on.
const keptVersions = 4

// keptBasis returns the versions before row, newest first, whose rights stay valid
// while promises under row are being requested. Failure: in a handover the list changes
// several times within milliseconds. If only the previous version were kept, a write in
// progress would lose its right although no promise was withdrawn, or would have waited
// for the replicas of a list that is no longer known. Older lists stay unsettled as long
// as promises under them may be valid, so every promotion takes them into account.
func (h *Holder) keptBasis(g *holderGroup, row *topology.Group, now mono.Time) []basis {
	if g.now.row == nil || g.now.row.Term != row.Term {
		return nil
	}
	kept := []basis{g.now}
	for _, r := range g.older {
		if _, stands := h.rightEnd(g, r, now); stands && len(kept) < keptVersions {
			kept = append(kept, r)
		}
	}
	return kept
}

// basis returns the versions that the right may be based on, newest first.
func (g *holderGroup) basis() []basis { return append([]basis{g.now}, g.older...) }

func (g *holderGroup) reliesOn(version uint64) bool {
	return slices.ContainsFunc(g.older, func(r basis) bool { return r.row.Version == version })
}
