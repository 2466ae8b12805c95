package authority

import (
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// mayJoin reports whether this VM should enter the list by itself: the primary
// looks dead, the replica may be complete, but this start of the VM is not listed,
// and the holder that would list it may have died with the primary.
func (p *Promoter) mayJoin(s *standing) bool {
	if _, ok := p.member(s.row.Promoters); ok || !s.suspected || s.replica == "" {
		return false
	}
	return p.mayPromote(s.row, s.replica)
}

// join proposes a list with this VM in place of its earlier start.
func (p *Promoter) join(s *standing, now mono.Time) []Action {
	if s.joining == nil {
		self := topology.Promoter{VM: p.self.ID, Incarnation: p.self.Incarnation, Replica: s.replica}
		self.Synced = slices.Contains(Synced(s.row.Promoters), s.replica)
		list := slices.DeleteFunc(slices.Clone(s.row.Promoters), func(e topology.Promoter) bool { return e.VM == p.self.ID })
		next := ChangeList(s.row, append(list, self), p.changeID())
		if next == nil {
			return nil
		}
		s.joining = &proposal{row: next, again: true}
	}
	if !s.joining.due(&p.opts, now) {
		return nil
	}
	return []Action{CommitRow{Row: s.joining.row.Clone()}}
}
