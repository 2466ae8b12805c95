package slotshare

import (
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// loweredBy is the part of its allowance that a holder gives up when the target refuses or slows down.
	loweredBy = 1.0 / 3
	// risePerSecond is how many statements a lowered allowance rises by in a second of full use.
	risePerSecond = 1
	// slowFactor is how many times the expected answer time counts as slow.
	slowFactor = 2
)

// Limit is one holder's allowance at one target: how many statements it may have in flight. It is the share that the
// coordinator gave, or the safe part while there is no valid one, and less while the target is overloaded.
type Limit struct {
	total, safe int
	share       heldShare
	// ceiling is a share of an earlier coordinator, which may rest on less than the safe part being used.
	ceiling heldShare
	// lowered is the holder's own limit, 0 if it isn't lowered; loweredAt is when it was lowered last.
	lowered   float64
	loweredAt mono.Time
	// full is set while the whole allowance is used; checked is when that was last observed.
	full        bool
	checked     mono.Time
	answerTimes map[int]*answerTime
}

// Configure sets the slots of the target and the number of its holders.
func (l *Limit) Configure(slots, holders int) {
	l.total, l.safe = Total(slots), SafePart(slots, holders)
}

// Allowance returns how many statements may be in flight; at least 1.
func (l *Limit) Allowance(now mono.Time) int {
	given := l.Given(now)
	if l.lowered == 0 {
		return given
	}
	return max(1, min(given, int(l.lowered)))
}

// Given returns the allowance before this holder lowers it: the coordinator's share, or the safe part.
func (l *Limit) Given(now mono.Time) int {
	given := l.safe
	if l.share.valid(now) {
		given = l.share.allowance
	}
	if l.ceiling.valid(now) {
		given = min(given, l.ceiling.allowance)
	}
	return max(1, given)
}

// Refused records that the target refused a statement because of its load, and reports whether this lowered the
// allowance. sent is when the statement was sent.
func (l *Limit) Refused(sent, now mono.Time) bool { return l.lower(sent, now) }

// Answered records an answer to a statement of a priority, and reports whether it lowered the allowance because the
// target has slowed down.
func (l *Limit) Answered(priority int, sent, now mono.Time) bool {
	if l.answerTimes == nil {
		l.answerTimes = map[int]*answerTime{}
	}
	p := l.answerTimes[priority]
	if p == nil {
		p = &answerTime{}
		l.answerTimes[priority] = p
	}
	p.add(now.Sub(sent), now)
	if !p.slow() || !l.lower(sent, now) {
		return false
	}
	p.answers = 0 // The average still holds answers from before, which would lower the allowance again.
	return true
}

// lower lowers the allowance unless the statement was sent before it was last lowered, so that it falls once in a
// round trip.
func (l *Limit) lower(sent, now mono.Time) bool {
	if sent.Before(l.loweredAt) {
		return false
	}
	before := float64(l.Allowance(now))
	if l.lowered != 0 {
		before = min(before, l.lowered)
	}
	l.lowered, l.loweredAt, l.full = max(1, before*(1-loweredBy)), now, false
	return true
}

// Observe records the number of statements in flight. A lowered allowance rises by the time for which it was fully
// used, until it reaches what the coordinator gave.
func (l *Limit) Observe(inFlight int, now mono.Time) {
	if l.full && l.lowered > 0 {
		l.lowered += risePerSecond * now.Sub(l.checked).Seconds()
		if int(l.lowered) >= l.Given(now) {
			l.lowered = 0
		}
	}
	l.full, l.checked = inFlight >= l.Allowance(now), now
}
