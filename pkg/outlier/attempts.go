package outlier

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// MaxAttempts is the number of attempts of one request that targets may refuse or fail.
	MaxAttempts = 8
	// minBackoff and maxBackoff are the bounds of the longest pause after a failed attempt, which doubles from one
	// attempt to the next. The pause is drawn between 0 and that.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
	// saturatedRefusals is the number of refusals after which the primary counts as saturated for a request. A queue
	// that is full only for a moment accepts it at the next attempts.
	saturatedRefusals = 3
	// maxDoublings is how often minBackoff may double without an overflow.
	maxDoublings = 8
)

// Random draws a number in [0, n). *rand.Rand of math/rand/v2 implements it.
type Random interface {
	Int64N(n int64) int64
}

// Attempts decides whether one request is tried again, and for how long it waits before. The zero value is that of
// a new request.
type Attempts struct {
	// refused is the number of attempts that a target refused or failed, or that a full queue refused, and lost the
	// number of those whose connection broke.
	refused, lost int
	// waited is set once the request has waited for a replica to catch up.
	waited bool
	// primaryBusy is the number of times that the primary refused the request for its load. replicaBusy is set once a
	// replica has.
	primaryBusy int
	replicaBusy bool
	// behind is the shortest time that a replica was expected to need to catch up when the request could not
	// wait for it; 0 if there was none.
	behind time.Duration
}

// kind is what a failure means for further attempts.
type kind int

const (
	// refused counts as one of MaxAttempts.
	refused kind = iota
	// lost doesn't count: the connections to a target that has died break one after another, which would use up
	// all attempts before the failover is over.
	lost
	// unavailable doesn't count: a wait for a right, a primary, a holder or a target that can be reached lasts as long
	// as a failover, or until the target drops the connections of a VM that was lost, and puts no load on a target.
	unavailable
)

func kindOf(code result.Code) kind {
	switch code {
	case result.TargetBusy, result.QueueFull, result.DeadlineInQueue, result.ReplicaBehind, result.TargetFailed:
		return refused
	case result.OutcomeUnknown:
		return lost
	}
	return unavailable
}

// Failed records a failed attempt, and reports whether another one is allowed.
func (a *Attempts) Failed(code result.Code) bool {
	switch kindOf(code) {
	case refused:
		a.refused++
	case lost:
		a.lost++
	case unavailable:
	}
	return a.Left()
}

// Left reports whether another attempt is allowed.
func (a *Attempts) Left() bool { return a.refused < MaxAttempts }

// Backoff returns the pause after a failure that was recorded. unavailablePause is the pause after a failure that put
// no load on a target.
func (a *Attempts) Backoff(code result.Code, unavailablePause time.Duration, random Random) time.Duration {
	n := a.refused
	switch kindOf(code) {
	case unavailable:
		return unavailablePause
	case lost:
		n = a.lost
	case refused:
	}
	longest := min(maxBackoff, minBackoff<<min(max(n-1, 0), maxDoublings))
	return time.Duration(random.Int64N(int64(longest)))
}

// Busy records that the primary, or a replica, refused the request for its load.
func (a *Attempts) Busy(primary bool) {
	if primary {
		a.primaryBusy++
		return
	}
	a.replicaBusy = true
}

// LongestWait returns for how long a request that has the given time left may wait for a replica. It waits once.
// After that it only waits for as long as between two attempts, since the expectation is then known to be inaccurate.
func (a *Attempts) LongestWait(left time.Duration) time.Duration {
	if a.waited {
		left = min(left, maxBackoff)
	}
	return max(0, left)
}

// Wait reports whether the request is sent to a replica that is not known to hold its floor, after waiting for the
// time in which it is expected to catch up. left is the time that the request has left. The last attempt is kept for
// a target that holds the floor: while the primary is being replaced, replicas may not catch up at all.
func (a *Attempts) Wait(catchUp, left time.Duration) bool {
	if a.refused < MaxAttempts-1 && catchUp <= a.LongestWait(left) {
		a.waited = a.waited || catchUp > 0
		return true
	}
	if a.behind == 0 || catchUp < a.behind {
		a.behind = max(catchUp, minBackoff)
	}
	return false
}

// Behind reports whether the request is better refused now: the primary is saturated, and no replica will hold the
// position that it needs in time. retryAfter is when the first replica is expected to hold it.
func (a *Attempts) Behind() (retryAfter time.Duration, refuse bool) {
	return a.behind, a.behind > 0 && a.primaryBusy >= saturatedRefusals && !a.replicaBusy
}
