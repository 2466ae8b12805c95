package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// joinAfter is how long a VM that is not listed waits for the listed VMs to replace
// a suspected primary before it lists itself. Failure: every VM that pools a replica
// lists itself at once; each new list ends the promotion attempts in progress and
// adds promises that must lapse first.
const joinAfter = 600 * time.Millisecond

// delayJoin restarts the wait of joinAfter, after a new suspicion or a new row under
// which the listed VMs may promote.
func (p *Promoter) delayJoin(s *promoterGroup, now mono.Time) {
	wait := joinAfter << min(s.removals, maxJoinShift)
	s.joinAt = now.Add(wait + p.jitter(p.opts.Stagger))
}

// maxJoinShift bounds how often the wait doubles, once for each time that this VM
// was removed from the list. Failure: a holder that can't reach this VM removes it
// from the list, this VM lists itself again, and each time the holder's right ends;
// this would repeat for as long as the path between them is cut.
const maxJoinShift = 5

// countRemovals counts how often this incarnation of the VM was removed from the
// list within a term.
func (p *Promoter) countRemovals(s *promoterGroup, row *topology.Group) {
	if s.row == nil || s.row.Term != row.Term {
		s.removals = 0
		return
	}
	_, before := p.ownEntry(s.row.Promoters)
	_, after := p.ownEntry(row.Promoters)
	if before && !after {
		s.removals++
	}
}

// mayJoin reports whether this VM should list itself: the primary is suspected, the
// replica may be complete, but this incarnation of the VM is not listed, and the
// holder that would list it may have died with the primary.
func (p *Promoter) mayJoin(s *promoterGroup, now mono.Time) bool {
	if _, ok := p.ownEntry(s.row.Promoters); ok || !s.suspected || s.replica == "" || now.Before(s.joinAt) {
		return false
	}
	return p.mayPromote(s.row, s.replica)
}

// join proposes a list that contains this incarnation of the VM instead of any
// earlier one.
func (p *Promoter) join(s *promoterGroup, now mono.Time) []Action {
	if s.joining == nil {
		self := topology.Promoter{VM: p.self.ID, Incarnation: p.self.Incarnation, Replica: s.replica}
		self.Synced = slices.Contains(Synced(s.row.Promoters), s.replica)
		list := slices.DeleteFunc(slices.Clone(s.row.Promoters), func(e topology.Promoter) bool { return e.VM == p.self.ID })
		next := ChangeList(s.row, append(list, self), p.changeID())
		if next == nil {
			return nil
		}
		s.joining = &proposal{row: next, retrySoon: true}
	}
	if !s.joining.due(&p.opts, now) {
		return nil
	}
	return []Action{CommitRow{Row: s.joining.row.Clone()}}
}
