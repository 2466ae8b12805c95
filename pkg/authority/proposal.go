package authority

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// unansweredFactor stretches the retry of a commit that has no answer at all.
const unansweredFactor = 5

// proposal is one change of a row on its way to the table.
type proposal struct {
	row *topology.Group
	// first and sent are when the first and the latest try went out.
	first mono.Time
	sent  mono.Time
	// open counts the tries that may still take effect.
	open  int
	again bool
}

// due reports whether to send the commit, again or for the first time. Failure:
// the answer was lost, a read shows the old row, and the commit still under way
// takes effect later. Only the same compare-and-set tried again tells: it
// commits, or conflicts with its own ChangeID, or with another's for good.
func (p *proposal) due(opts *Options, now mono.Time) bool {
	wait := opts.RetryEvery
	if !p.again {
		wait *= unansweredFactor
	}
	if p.sent != 0 && now.Sub(p.sent) < wait {
		return false
	}
	if p.first == 0 {
		p.first = now
	}
	p.open++
	p.again = false
	p.sent = now
	return true
}

// observe returns whether the proposal is over: it took effect or never will.
func (p *proposal) observe(r CommitResult) bool {
	if r.ChangeID != p.row.ChangeID {
		return false
	}
	switch r.Status {
	case Committed, Conflict:
		return true
	case Unavailable:
		p.open--
		p.again = true
	case Unknown:
		p.again = true
	}
	return false
}

// settledBy reports whether a row in place ends the proposal.
func (p *proposal) settledBy(row *topology.Group) bool {
	return row.Version >= p.row.Version
}

// settlement gathers proofs that no right is left under unsettled lists.
type settlement struct {
	// lapsed holds, by version, when a member's promises under it had lapsed.
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

// observe takes a member's confirmation. LapsesIn is counted from its receipt,
// which is later than the answer.
func (s *settlement) observe(opts *Options, r WithdrawResponse, now mono.Time) {
	if !r.Withdrawn {
		return
	}
	at := now.Add(opts.stretched(r.LapsesIn))
	if old, ok := s.lapsed[r.Version]; !ok || at.Before(old) {
		s.lapsed[r.Version] = at
	}
}

// provenAt returns since when no right is left under the version. A confirmation
// for a later version speaks for earlier lists only if its member was in them,
// so each list needs its own.
func (s *settlement) provenAt(opts *Options, version uint64, now mono.Time) (mono.Time, bool) {
	at, ok := s.lapsed[version]
	if ok && !at.After(now) {
		return at, true
	}
	// No member will ever answer: a holder stops MaxOutage after the begin of
	// its last read that showed the version as current, which was before the
	// newer row, so before this VM saw it.
	seen, ok := s.seen[version]
	if !ok {
		return 0, false
	}
	end := seen.Add(opts.stretched(opts.MaxOutage))
	return end, !end.After(now)
}

// ask returns the requests for the lists that no member has answered for.
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
