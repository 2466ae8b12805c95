package quota

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// minLevelPart is the least part of a VM's share that each of a customer's priorities gets.
const minLevelPart = 0.05

// level is the state of one of a customer's priorities on one VM.
type level struct {
	// priority is lower for more urgent classes.
	priority int
	// demand is the rate of offered operations per second, averaged over averagingTime, at demandAt.
	demand   float64
	demandAt mono.Time
	// tokens is how many operations may begin of what the more urgent priorities leave of the VM's share, and
	// reserve how many of the priority's least part of it.
	tokens, reserve float64
	lastFill        mono.Time
}

// level returns the state of a priority.
func (x *customerMeter) level(priority int) *level {
	i, known := slices.BinarySearchFunc(x.levels, priority, func(v *level, p int) int { return v.priority - p })
	if !known {
		x.levels = slices.Insert(x.levels, i, &level{priority: priority, tokens: 1})
	}
	return x.levels[i]
}

func (v *level) demandNow(now mono.Time) float64 {
	return decayed(v.demand, now.Sub(v.demandAt), averagingTime)
}

func (v *level) offer(now mono.Time) {
	v.demand = v.demandNow(now) + 1/averagingTime.Seconds()
	v.demandAt = now
}

func (v *level) fill(left, rate float64, now mono.Time) {
	if v.lastFill != 0 {
		passed := now.Sub(v.lastFill).Seconds()
		v.tokens += left * passed
		v.reserve += minLevelPart * rate * passed
	}
	v.lastFill = now
	v.tokens = min(v.tokens, depthOf(left))
	v.reserve = min(v.reserve, 1)
}

// demandAround returns the demand of the more urgent and of the less urgent priorities.
func (x *customerMeter) demandAround(v *level, now mono.Time) (above, below float64) {
	for _, o := range x.levels {
		switch {
		case o.priority < v.priority:
			above += o.demandNow(now)
		case o.priority > v.priority:
			below += o.demandNow(now)
		}
	}
	return above, below
}

// consumeNear uses up a token of a customer near its limit, and reports whether there was one. A priority leaves the
// tokens that the more urgent ones need within bucketTime, and may use one ahead of the share at the expense of the
// less urgent ones. An operation on a priority's least part is charged to the VM's share as well.
func (x *customerMeter) consumeNear(v *level, rate float64, now mono.Time) bool {
	above, below := x.demandAround(v, now)
	if above == 0 {
		if x.tokens < 1-min(1, below*bucketTime.Seconds()) {
			return false
		}
		x.tokens--
		return true
	}
	v.fill(max(rate-above, minLevelPart*rate), rate, now)
	left := min(above*bucketTime.Seconds(), depthOf(rate)-1)
	switch {
	case x.tokens >= 1+left && v.tokens >= 1:
		v.tokens--
	case v.reserve >= 1:
		v.reserve--
	default:
		return false
	}
	x.tokens--
	return true
}

// retryAfterNear returns in how long the share allows another operation of the priority.
func (x *customerMeter) retryAfterNear(v *level, rate float64, now mono.Time) time.Duration {
	wait := x.retryAfter(rate)
	above, _ := x.demandAround(v, now)
	if above == 0 || rate <= 0 || v.tokens >= 1 {
		return wait
	}
	return max(wait, retryTime(1-v.tokens, max(rate-above, minLevelPart*rate)))
}
