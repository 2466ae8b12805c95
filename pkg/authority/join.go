package authority

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// joinAfter is how long a VM that is not listed leaves a suspected primary to
// those that are. Failure: every VM that pools a replica by now lists itself at
// once; each new list ends the attempts under way and brings promises to wait for.
const joinAfter = 600 * time.Millisecond

// delayJoin starts the wait anew: a suspicion, or a list that others promote by.
func (p *Promoter) delayJoin(s *standing, now mono.Time) {
	wait := joinAfter << min(s.dropped, maxJoinShift)
	s.joinAt = now.Add(wait + p.jitter(p.opts.Stagger))
}

// maxJoinShift bounds the wait of a VM that was taken off the list again and
// again. Failure: a holder that can't reach this VM takes it off, and each entry
// here ends the holder's right; the two would go on in turn for as long as the
// path between them is cut.
const maxJoinShift = 5

// countDropped notes how often this start of the VM was taken off a term's list.
func (p *Promoter) countDropped(s *standing, row *topology.Group) {
	if s.row == nil || s.row.Term != row.Term {
		s.dropped = 0
		return
	}
	_, before := p.member(s.row.Promoters)
	_, after := p.member(row.Promoters)
	if before && !after {
		s.dropped++
	}
}

// mayJoin reports whether this VM should enter the list by itself: the primary
// looks dead, the replica may be complete, but this start of the VM is not listed,
// and the holder that would list it may have died with the primary.
func (p *Promoter) mayJoin(s *standing, now mono.Time) bool {
	if _, ok := p.member(s.row.Promoters); ok || !s.suspected || s.replica == "" || now.Before(s.joinAt) {
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
