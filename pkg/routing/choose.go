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
	// UnconfirmedCost is the least cost of waiting for a floor that the target is
	// not known to hold.
	UnconfirmedCost = 5 * time.Millisecond
	// SuspectCost keeps reads away from a target that may be dead, unless no
	// other target is usable.
	SuspectCost = time.Second
	// OutlierCost keeps reads away from an outlier, unless no other target is usable.
	OutlierCost = time.Second
)

// Reads spill to the primary when every replica's wait is at least SpillWait and
// the primary's is at most 1/SpillWaitRatio of the best replica's.
const (
	SpillWait      = 50 * time.Millisecond
	SpillWaitRatio = 4
)

// RetryNoTarget is the retry delay given to callers while no target can serve:
// about the time that a failover or a replica's catch-up takes.
const RetryNoTarget = 250 * time.Millisecond

// AnyAge is the staleness of a read without an age bound, which needs only its
// session's floor.
const AnyAge = time.Duration(math.MaxInt64)

// State is a target's health as reported by its pooler.
type State int

// The states of a target.
const (
	Live State = iota
	Suspect
	Dead
	Leaving
)

// Candidate is a target that Choose may pick, with its state and load.
type Candidate struct {
	Target  topology.TargetID
	Primary bool
	SameDC  bool
	State   State
	// Latency is the average response time without the time spent queueing.
	Latency time.Duration
	// Queue is the part of Latency that a request is expected to wait for a connection of this proxy.
	Queue time.Duration
	// Service is the average time a request holds a slot.
	Service time.Duration
	// Slots is how many requests the target runs at once; 0 counts as 1.
	Slots int
	// QueueLength is the queue length reported with the target's last answer.
	QueueLength int
	// InFlight is the number of this proxy's requests that are unanswered.
	InFlight int
	// Weight is the share of its usual reads that an outlier still gets; 0 counts as 1.
	Weight float64
}

// weightResolution is the resolution with which reads are drawn by a candidate's weight.
const weightResolution = 1000

// avoided draws whether a read avoids the target.
func (c *Candidate) avoided(random Random) bool {
	if c.Weight <= 0 || c.Weight >= 1 {
		return false
	}
	return random.IntN(weightResolution) >= int(c.Weight*weightResolution)
}

// ExpectedWait returns the expected time until the answer to a request sent now.
func (c *Candidate) ExpectedWait() time.Duration {
	ahead := time.Duration(c.QueueLength + c.InFlight)
	return c.Latency + c.Service*ahead/time.Duration(max(c.Slots, 1))
}

// Request describes the request to be routed.
type Request struct {
	Write bool
	// Staleness is the maximum age of the data; AnyAge means no bound.
	Staleness time.Duration
	// Floor is the session's floor, the position that a target must hold. The
	// caller determines it before it calls Choose.
	Floor position.Position
	// MaxCatchUp is the longest time to wait for a replica to catch up.
	MaxCatchUp time.Duration
}

// Random draws a number in [0, n). *rand.Rand of math/rand/v2 implements it.
type Random interface {
	IntN(n int) int
}

// Choose picks the target of a request and explains the choice. It fails with
// NoPrimary or AgeNotShown; the explanation is valid in that case too.
func Choose(now mono.Time, req Request, f *Freshness, targets []Candidate, random Random) (*Explanation, error) {
	e := &Explanation{Write: req.Write, Floor: req.Floor, Candidates: make([]Verdict, 0, len(targets))}
	ageShown := e.raiseFloor(now, req, f)
	for i := range targets {
		e.Candidates = append(e.Candidates, evaluate(now, req, f, &targets[i], e.Floor, ageShown))
		if v := &e.Candidates[i]; !req.Write && targets[i].avoided(random) {
			v.Avoided = true
			v.cost += OutlierCost
		}
	}
	chosen := e.pick(targets, req.MaxCatchUp, random)
	if chosen < 0 {
		return e, e.noTargetError(req)
	}
	v := &e.Candidates[chosen]
	invariant.Check(!req.Write || targets[chosen].Primary, "write routed to %s, which is not the primary", v.Target)
	e.Chosen = v.Target
	e.Unconfirmed = v.Reason == Unconfirmed
	e.CatchUp = v.CatchUp
	e.LowerPlace = !req.Write && targets[chosen].Primary
	return e, nil
}

// raiseFloor converts the staleness bound into a floor, so that the pooler's
// check of the floor also proves the age. It returns false when no sample is
// recent enough to prove the age.
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

func evaluate(now mono.Time, req Request, f *Freshness, c *Candidate, floor position.Position, ageShown bool) Verdict {
	v := Verdict{Target: c.Target, Primary: c.Primary, Wait: c.ExpectedWait()}
	applied, known := f.Applied(c.Target)
	v.Position = applied.Position
	v.Age, v.AgeShown = f.ShownAge(c.Target, now)
	v.Reason = reason(req, f, c, known && f.Holds(applied.Position, floor), ageShown)
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

func reason(req Request, f *Freshness, c *Candidate, holds, ageShown bool) Reason {
	switch {
	case c.State == Dead:
		return TargetDead
	case c.State == Leaving:
		return TargetLeaving
	case c.Primary:
		return Eligible
	case req.Write:
		return NotPrimary
	case !ageShown:
		return NoAgeShown
	case holds:
		return Eligible
	case f.Behind(c.Target):
		return KnownBehind
	}
	return Unconfirmed
}

// pick returns the index of the chosen target, or -1. A read goes to a replica in
// its own or another data centre, whichever costs less; the primary is the last
// choice, which keeps its slots for writes. A read waits for a replica that is
// behind while that is expected to be faster than the primary's answer and within
// maxCatchUp: the primary can't take the reads of all replicas that lag.
func (e *Explanation) pick(targets []Candidate, maxCatchUp time.Duration, random Random) int {
	local, remote, primary := make([]int, 0, len(targets)), []int(nil), -1
	for i := range targets {
		switch {
		case !e.Candidates[i].Reason.usable():
		case targets[i].Primary:
			primary = i
		case targets[i].SameDC:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	replica := e.cheaper(e.bestOfTwo(local, random), e.bestOfTwo(remote, random))
	if replica < 0 {
		return primary
	}
	if primary >= 0 && e.Candidates[replica].Avoided && e.Candidates[primary].cost < e.Candidates[replica].cost {
		return primary
	}
	if primary >= 0 && e.Candidates[replica].CatchUp > max(UnconfirmedCost, min(maxCatchUp, e.Candidates[primary].Wait)) {
		return primary
	}
	if primary >= 0 && e.spills(primary, local, remote) {
		e.Spilled = true
		return primary
	}
	return replica
}

// bestOfTwo returns the cheaper of two targets drawn at random, or -1 if there is
// none. If every proxy took the least loaded target by the same outdated figures,
// the load would oscillate between targets.
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
// It checks every replica, since the two drawn by bestOfTwo may be the only
// overloaded ones.
func (e *Explanation) spills(primary int, replicas ...[]int) bool {
	shortest := time.Duration(math.MaxInt64)
	for _, group := range replicas {
		for _, i := range group {
			shortest = min(shortest, e.Candidates[i].Wait)
		}
	}
	if e.Candidates[primary].Avoided {
		return false
	}
	return shortest >= SpillWait && e.Candidates[primary].Wait <= shortest/SpillWaitRatio
}

// noTargetError returns the error for a request for which no target was chosen.
func (e *Explanation) noTargetError(req Request) error {
	code := result.NoPrimary
	for i := range e.Candidates {
		if !req.Write && e.Candidates[i].Reason == NoAgeShown {
			code = result.AgeNotShown
		}
	}
	return result.New(code, "%s", e).After(RetryNoTarget)
}
