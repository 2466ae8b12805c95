package authority

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// exchange reads the row and asks the other candidates for their positions before
// any promise is withdrawn. Failure: the platform is down and the suspicion is
// wrong; withdrawing would end the holder's right for the whole outage although no
// promotion is possible.
func (p *Promoter) exchange(s *promoterGroup, now mono.Time) []Action {
	a := s.attempt
	others := p.others(s)
	waited := now.Sub(a.began) >= p.opts.ExchangeWait
	if a.rowFresh && (waited || len(a.answered) >= len(others)) {
		a.stage = waiting
		a.turnAt = now
		if !a.planned {
			a.turnAt = now.Add(time.Duration(p.rank(s))*p.opts.Stagger + p.jitter(p.opts.Stagger/5))
		}
		return nil
	}
	if a.asked != 0 && now.Sub(a.asked) < p.opts.RetryEvery {
		return nil
	}
	a.asked = now
	out := []Action{ReadRow{Group: s.row.ID}}
	for _, o := range others {
		out = append(out, SendWithdraw{To: o.VM, Request: WithdrawRequest{Group: s.row.ID}})
	}
	return out
}

func (p *Promoter) others(s *promoterGroup) []topology.Promoter {
	var out []topology.Promoter
	for _, e := range s.row.Promoters {
		if e.VM != p.self.ID {
			out = append(out, e)
		}
	}
	return out
}

// rank returns how many of the candidates that answered come before this one.
// Candidates that need no proof come first, then those with the higher position,
// then those earlier in the list.
func (p *Promoter) rank(s *promoterGroup) int {
	n := 0
	before := true
	complete := Complete(s.row, s.replica)
	for _, e := range s.row.Promoters {
		if e.VM == p.self.ID {
			before = false
			continue
		}
		pos, ok := s.positions[e.VM]
		if !ok || !s.attempt.answered[e.VM] {
			continue
		}
		other := Complete(s.row, e.Replica)
		c := pos.Compare(s.status.Position)
		more := c > 0 || (c == 0 && before)
		if (other && !complete) || (other == complete && more) {
			n++
		}
	}
	return n
}

// ObserveWithdraw records the answer of a VM to a SendWithdraw of this table.
func (p *Promoter) ObserveWithdraw(from topology.VMID, r WithdrawResponse, now mono.Time) {
	s := p.promoterGroup(r.Group)
	s.settlement.observe(&p.opts, r, now)
	if s.attempt != nil && r.ReplicaReachable {
		s.positions[from] = r.Position
		s.attempt.answered[from] = true
		if p.opts.faults.stalePosition {
			p.noteStalePosition(s, from, r.Position)
		}
	}
}
