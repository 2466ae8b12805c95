package authority

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// keptVersions bounds the versions before the current one that are relied on.
const keptVersions = 4

// stillRelied lists the versions before row, the newest first, whose rights stand
// on while promises under row are asked for. Failure: in a handover the list
// changes several times within milliseconds; with the version before alone, a
// write under way loses its right although nobody withdrew it, or has waited for
// replicas of a list that is forgotten. The older lists are unsettled as long as
// promises under them may stand, so every promotion counts with them.
func (h *Holder) stillRelied(g *held, row *topology.Group, now mono.Time) []relied {
	if g.now.row == nil || g.now.row.Term != row.Term {
		return nil
	}
	kept := []relied{g.now}
	for _, r := range g.older {
		if _, stands := h.until(g, r, now); stands && len(kept) < keptVersions {
			kept = append(kept, r)
		}
	}
	return kept
}

// relied lists the versions under which the right may stand, the newest first.
func (g *held) relied() []relied { return append([]relied{g.now}, g.older...) }

func (g *held) reliesOn(version uint64) bool {
	return slices.ContainsFunc(g.older, func(r relied) bool { return r.row.Version == version })
}
