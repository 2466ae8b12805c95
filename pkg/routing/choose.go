package routing

import (
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Costs that are added to a target's expected wait when targets are compared.
const (
	// OtherDCCost keeps a read in its data centre unless the wait there is longer.
	OtherDCCost = 2 * time.Millisecond
	// UnconfirmedCost is the wait for a floor that the target may not hold yet.
	UnconfirmedCost = 5 * time.Millisecond
	// SuspectCost keeps reads away from a target that may be dead, yet leaves it
	// in use when nothing else is there.
	SuspectCost = time.Second
)

// Reads spill to the primary when every replica's wait is at least SpillWait and
// the primary's is at most 1/SpillIdle of the best replica's.
const (
	SpillWait = 50 * time.Millisecond
	SpillIdle = 4
)

// RetryNoTarget is when to come back while no target can serve: about the time
// in which a failover ends or a replica catches up.
const RetryNoTarget = 250 * time.Millisecond

// AnyAge is the staleness of a read that needs its session's floor only.
const AnyAge = time.Duration(math.MaxInt64)

// State is a target's health as its pooler sees it.
type State int

// The states of a target.
const (
	Live State = iota
	Suspect
	Dead
	Leaving
)

// Candidate is a target as the chooser sees it.
type Candidate struct {
	Target  topology.TargetID
	Primary bool
	SameDC  bool
	State   State
	// Latency is the average time of an answer without its queueing.
	Latency time.Duration
	// Service is the average time a request holds a slot.
	Service time.Duration
	// Slots is how many requests the target runs at once; 0 counts as 1.
	Slots int
	// QueueLength came with the target's last answer.
	QueueLength int
	// InFlight counts this entry's unanswered requests.
	InFlight int
}

// ExpectedWait returns the time until an answer, were a request sent now.
func (c *Candidate) ExpectedWait() time.Duration {
	ahead := time.Duration(c.QueueLength + c.InFlight)
	return c.Latency + c.Service*ahead/time.Duration(max(c.Slots, 1))
}

// Request is what is to be routed.
type Request struct {
	Write bool
	// Staleness is the greatest age of the data; AnyAge for no bound.
	Staleness time.Duration
	// Floor is the session's floor; it must be known by now.
	Floor position.Position
	// Patience is for how long a replica that is behind may be waited for.
	Patience time.Duration
}

// Random draws a number in [0, n); *rand.Rand of math/rand/v2 does.
type Random interface {
	IntN(n int) int
}

// Choose picks the target of a request and explains it. It fails with NoPrimary
// or AgeNotShown; the explanation is valid then, too.
func Choose(now mono.Time, req Request, f *Freshness, targets []Candidate, random Random) (*Explanation, error) {
	e := &Explanation{Write: req.Write, Floor: req.Floor, Candidates: make([]Verdict, 0, len(targets))}
	aged := e.raiseFloor(now, req, f)
	for i := range targets {
		e.Candidates = append(e.Candidates, judge(now, req, f, &targets[i], e.Floor, aged))
	}
	chosen := e.pick(targets, req.Patience, random)
	if chosen < 0 {
		return e, e.refuse(req)
	}
	v := &e.Candidates[chosen]
	invariant.Check(!req.Write || targets[chosen].Primary, "a write went to %s", v.Target)
	e.Chosen = v.Target
	e.Unconfirmed = v.Reason == Unconfirmed
	e.CatchUp = v.CatchUp
	e.LowerPlace = !req.Write && targets[chosen].Primary
	return e, nil
}

// raiseFloor turns the age into a floor, so that the pooler's check of the floor
// proves the age as well. It reports whether an age can be shown at all.
func (e *Explanation) raiseFloor(now mono.Time, req Request, f *Freshness) bool {
	if req.Write || req.Staleness == AnyAge {
		return true
	}
	p, ok := f.AgeFloor(req.Staleness, now)
	if ok {
		e.Floor = position.Max(e.Floor, p)
	}
	return ok
}

func judge(now mono.Time, req Request, f *Freshness, c *Candidate, floor position.Position, aged bool) Verdict {
	v := Verdict{Target: c.Target, Primary: c.Primary, Wait: c.ExpectedWait()}
	applied, known := f.Applied(c.Target)
	v.Position = applied.Position
	v.Age, v.AgeShown = f.ShownAge(c.Target, now)
	v.Reason = reason(req, f, c, known && f.Holds(applied.Position, floor), aged)
	v.cost = v.Wait
	if !c.SameDC {
		v.cost += OtherDCCost
	}
	if v.Reason == Unconfirmed {
		v.CatchUp = f.CatchUp(c.Target, floor, now)
		v.cost += max(UnconfirmedCost, v.CatchUp)
	}
	if c.State == Suspect {
		v.cost += SuspectCost
	}
	return v
}

func reason(req Request, f *Freshness, c *Candidate, holds, aged bool) Reason {
	switch {
	case c.State == Dead:
		return TargetDead
	case c.State == Leaving:
		return TargetLeaving
	case c.Primary:
		return Eligible
	case req.Write:
		return NotPrimary
	case !aged:
		return NoAgeShown
	case holds:
		return Eligible
	case f.Behind(c.Target):
		return KnownBehind
	}
	return Unconfirmed
}

// pick returns the index of the chosen target, or -1. A read takes a replica of
// its own data centre or the other ones, whichever costs less; the primary comes
// last, so that writes keep its slots. A replica that is behind is waited for while that
// is sooner than the primary's answer: the primary can't take all reads of replicas that lag.
func (e *Explanation) pick(targets []Candidate, patience time.Duration, random Random) int {
	near, far, primary := make([]int, 0, len(targets)), []int(nil), -1
	for i := range targets {
		switch {
		case !e.Candidates[i].Reason.usable():
		case targets[i].Primary:
			primary = i
		case targets[i].SameDC:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	replica := e.cheaper(e.bestOfTwo(near, random), e.bestOfTwo(far, random))
	if replica < 0 {
		return primary
	}
	if primary >= 0 && e.Candidates[replica].CatchUp > max(UnconfirmedCost, min(patience, e.Candidates[primary].Wait)) {
		return primary
	}
	if primary >= 0 && e.spills(primary, near, far) {
		e.Spilled = true
		return primary
	}
	return replica
}

// bestOfTwo compares two drawn at random: entries that all took the least loaded
// by the same old figures would move its load back and forth between targets.
func (e *Explanation) bestOfTwo(from []int, random Random) int {
	switch len(from) {
	case 0:
		return -1
	case 1:
		return from[0]
	}
	i := random.IntN(len(from))
	j := random.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	return e.cheaper(from[i], from[j])
}

func (e *Explanation) cheaper(i, j int) int {
	switch {
	case i < 0:
		return j
	case j < 0:
		return i
	case e.Candidates[j].cost < e.Candidates[i].cost:
		return j
	}
	return i
}

// spills reports whether all the replicas are overloaded and the primary is idle.
// It looks at every replica: the two drawn may be the only overloaded ones.
func (e *Explanation) spills(primary int, replicas ...[]int) bool {
	least := time.Duration(math.MaxInt64)
	for _, group := range replicas {
		for _, i := range group {
			least = min(least, e.Candidates[i].Wait)
		}
	}
	return least >= SpillWait && e.Candidates[primary].Wait <= least/SpillIdle
}

// refuse says why no target was chosen.
func (e *Explanation) refuse(req Request) error {
	code := result.NoPrimary
	for i := range e.Candidates {
		if !req.Write && e.Candidates[i].Reason == NoAgeShown {
			code = result.AgeNotShown
		}
	}
	return result.New(code, "%s", e).After(RetryNoTarget)
}
