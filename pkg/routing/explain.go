package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Reason is why a target may or may not run a request.
type Reason int

// The reasons. Eligible and Unconfirmed ones may run it.
const (
	Eligible Reason = iota
	// Unconfirmed: the target may hold the floor; its pooler checks and waits.
	Unconfirmed
	KnownBehind
	NoAgeShown
	NotPrimary
	TargetDead
	TargetLeaving
)

var reasonNames = [...]string{
	"eligible", "position not confirmed", "answered that it is behind", "no sample shows the age",
	"not the primary", "dead", "leaving",
}

// String names the reason for an operator.
func (r Reason) String() string { return reasonNames[r] }

func (r Reason) usable() bool { return r == Eligible || r == Unconfirmed }

// Verdict is what was found about one target.
type Verdict struct {
	Target   topology.TargetID `json:"target"`
	Primary  bool              `json:"primary"`
	Position position.Position `json:"position"`
	Age      time.Duration     `json:"age_ns"`
	AgeShown bool              `json:"age_shown"`
	// Wait is the expected time until an answer.
	Wait time.Duration `json:"wait_ns"`
	// CatchUp is in how long it is expected to hold the floor, if it is not confirmed.
	CatchUp time.Duration `json:"catch_up_ns"`
	Reason  Reason        `json:"reason"`
	cost    time.Duration
}

// Explanation says which target runs a request and why.
type Explanation struct {
	Write bool `json:"write"`
	// Floor is what the target must hold; the pooler checks it before the run.
	Floor position.Position `json:"floor"`
	// Chosen is empty when the request was refused.
	Chosen topology.TargetID `json:"chosen"`
	// Unconfirmed: the chosen replica may answer ReplicaBehind.
	Unconfirmed bool `json:"unconfirmed"`
	// CatchUp is in how long the chosen one is expected to hold the floor.
	CatchUp time.Duration `json:"catch_up_ns"`
	// LowerPlace: a read goes to the primary, and there after the writes.
	LowerPlace bool `json:"lower_place"`
	// Spilled: the replicas are overloaded and the primary is idle.
	Spilled    bool      `json:"spilled"`
	Candidates []Verdict `json:"candidates"`
}

// String writes the explanation over several lines, for bts-ctl explain.
func (e *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "write=%t floor=%s chosen=%s spilled=%t", e.Write, e.Floor, e.Chosen, e.Spilled)
	for i := range e.Candidates {
		v := &e.Candidates[i]
		age := "unknown"
		if v.AgeShown {
			age = v.Age.String()
		}
		fmt.Fprintf(&b, "\n  %s primary=%t position=%s age=%s wait=%s: %s", v.Target, v.Primary, v.Position, age, v.Wait, v.Reason)
	}
	return b.String()
}
