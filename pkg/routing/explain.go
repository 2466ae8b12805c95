package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Reason says why a target may or may not run a request.
type Reason int

// The reasons. A target that is Eligible or Unconfirmed may run the request.
const (
	Eligible Reason = iota
	// Unconfirmed means that the target is not known to hold the floor. Its pooler
	// checks the floor and waits for it.
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

// String returns a readable description of the reason.
func (r Reason) String() string { return reasonNames[r] }

func (r Reason) usable() bool { return r == Eligible || r == Unconfirmed }

// Verdict is the evaluation of one target for a request.
type Verdict struct {
	Target   topology.TargetID `json:"target"`
	Primary  bool              `json:"primary"`
	Position position.Position `json:"position"`
	Age      time.Duration     `json:"age_ns"`
	AgeShown bool              `json:"age_shown"`
	// Wait is the expected time until the target answers.
	Wait time.Duration `json:"wait_ns"`
	// CatchUp is the expected time until the target holds the floor, if Reason is
	// Unconfirmed.
	CatchUp time.Duration `json:"catch_up_ns"`
	Reason  Reason        `json:"reason"`
	// Avoided is set if the read avoids the target because it is an outlier.
	Avoided bool `json:"avoided,omitempty"`
	cost    time.Duration
}

// Explanation describes which target runs a request and why.
type Explanation struct {
	Write bool `json:"write"`
	// Floor is the position that the target must hold. The pooler checks it before
	// it runs the request.
	Floor position.Position `json:"floor"`
	// Chosen is empty when the request was refused.
	Chosen topology.TargetID `json:"chosen"`
	// Unconfirmed is set when the chosen replica may answer ReplicaBehind.
	Unconfirmed bool `json:"unconfirmed"`
	// CatchUp is the expected time until the chosen target holds the floor.
	CatchUp time.Duration `json:"catch_up_ns"`
	// LowerPlace is set for a read that goes to the primary, where it queues behind
	// the writes.
	LowerPlace bool `json:"lower_place"`
	// Spilled is set when a read goes to the idle primary because all replicas are
	// overloaded.
	Spilled    bool      `json:"spilled"`
	Candidates []Verdict `json:"candidates"`
}

// String formats the explanation on several lines, for bts-ctl explain.
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
