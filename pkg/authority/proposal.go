package authority

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// unansweredFactor is the factor on RetryEvery for a commit without any answer.
const unansweredFactor = 5

// proposal is a change of a row that is being committed.
type proposal struct {
	row *topology.Group
	// firstSent and lastSent are when the first and the latest commit were sent.
	firstSent mono.Time
	lastSent  mono.Time
	// pending counts the commits that may still take effect.
	pending   int
	retrySoon bool
}

// due reports whether the commit is to be sent now, for the first time or again, and
// records that it was. Failure: the answer was lost, a read shows the old row, and the
// commit takes effect later. Only repeating the same compare-and-set gives a reliable
// answer: it commits, or it conflicts with its own ChangeID or finally with another.
func (p *proposal) due(opts *Options, now mono.Time) bool {
	wait := opts.RetryEvery
	if !p.retrySoon {
		wait *= unansweredFactor
	}
	if p.lastSent != 0 && now.Sub(p.lastSent) < wait {
		return false
	}
	if p.firstSent == 0 {
		p.firstSent = now
	}
	p.pending++
	p.retrySoon = false
	p.lastSent = now
	return true
}

// observe records a result of the commit and reports whether the proposal is done: it
// took effect or never will.
func (p *proposal) observe(r CommitResult) bool {
	if r.ChangeID != p.row.ChangeID {
		return false
	}
	switch r.Status {
	case Committed, Conflict:
		return true
	case Unavailable:
		p.pending--
		p.retrySoon = true
	case Unknown:
		p.retrySoon = true
	}
	return false
}

// supersededBy reports whether a known row ends the proposal.
func (p *proposal) supersededBy(row *topology.Group) bool {
	return row.Version >= p.row.Version
}

// settlement collects the confirmations that no right is left under unsettled lists.
type settlement struct {
	// lapsed holds, by version, when the promises of one member under it have lapsed,
	// which may be in the future.
	lapsed map[uint64]mono.Time
	// seen holds, by version, when this VM first saw the list as unsettled.
	seen  map[uint64]mono.Time
	asked mono.Time
}

func newSettlement() settlement {
	return settlement{lapsed: map[uint64]mono.Time{}, seen: map[uint64]mono.Time{}}
}

// note records when the row's unsettled lists were first seen.
func (s *settlement) note(row *topology.Group, now mono.Time) {
	for _, l := range row.Unsettled {
		if _, ok := s.seen[l.Version]; !ok {
			s.seen[l.Version] = now
		}
	}
}

// observe records a member's confirmation. LapsesIn is counted from its receipt, which
// is later than the answer.
func (s *settlement) observe(opts *Options, r WithdrawResponse, now mono.Time) {
	if !r.Withdrawn {
		return
	}
	at := now.Add(opts.stretched(r.LapsesIn))
	if old, ok := s.lapsed[r.Version]; !ok || at.Before(old) {
		s.lapsed[r.Version] = at
	}
}

// provenAt returns the time since which no right is left under the version, and
// whether that has been reached. A confirmation for a later version covers an earlier
// list only if its member was in that list, so each list needs its own.
func (s *settlement) provenAt(opts *Options, version uint64, now mono.Time) (mono.Time, bool) {
	at, ok := s.lapsed[version]
	if ok && !at.After(now) {
		return at, true
	}
	// Without an answer of any member, MaxOutage ends the right: a holder stops
	// MaxOutage after the start of its last read that showed the version as current.
	// That read came before the newer row, and so before this VM saw the newer row.
	seen, ok := s.seen[version]
	if !ok {
		return 0, false
	}
	end := seen.Add(opts.stretched(opts.MaxOutage))
	return end, !end.After(now)
}

// ask returns the requests to all members of the lists for which no member has
// confirmed its withdrawal.
func (s *settlement) ask(opts *Options, row *topology.Group, now mono.Time) []Action {
	if s.asked != 0 && now.Sub(s.asked) < opts.RetryEvery {
		return nil
	}
	s.asked = now
	var out []Action
	for _, l := range row.Unsettled {
		if _, ok := s.lapsed[l.Version]; ok {
			continue
		}
		for _, p := range l.Promoters {
			out = append(out, SendWithdraw{To: p.VM, Request: WithdrawRequest{Group: row.ID, Version: l.Version, Row: row.Clone()}})
		}
	}
	return out
}
