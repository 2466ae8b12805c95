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
)

// Random draws a number in [0, n). *rand.Rand of math/rand/v2 implements it.
type Random interface {
	Int64N(n int64) int64
}

// Attempts decides whether one request is tried again, and for how long it waits before. The zero value is that of
// a new request.
type Attempts struct {
	failed int
	// waited is set once the request has waited for a replica to catch up.
	waited bool
	// primaryBusy and replicaBusy are set once the primary, or a replica, has refused the request for its load.
	primaryBusy, replicaBusy bool
	// behind is the shortest time that a replica was expected to need to catch up when the request could not
	// wait for it; 0 if there was none.
	behind time.Duration
}

// Failed records a failed attempt, and reports whether another one is allowed.
func (a *Attempts) Failed(code result.Code) bool {
	if countsAsAttempt(code) {
		a.failed++
	}
	return a.Left()
}

// Left reports whether another attempt is allowed.
func (a *Attempts) Left() bool { return a.failed < MaxAttempts }

// countsAsAttempt reports whether a failure is that of an attempt that reached a target, or was refused by a full
// queue. Waits for a right, a primary or a target that can be reached are as long as a failover may take, and put no
// load on a target.
func countsAsAttempt(code result.Code) bool {
	switch code {
	case result.NoRight, result.NoPrimary, result.TermRefused, result.AgeNotShown, result.TargetUnreachable,
		result.TargetLeaving, result.WrongTarget:
		return false
	}
	return true
}

// Backoff returns the pause after a failure. uncounted is the pause if the failure does not count as an attempt.
func (a *Attempts) Backoff(code result.Code, uncounted time.Duration, random Random) time.Duration {
	if !countsAsAttempt(code) || a.failed == 0 {
		return uncounted
	}
	longest := min(maxBackoff, minBackoff<<min(a.failed-1, MaxAttempts))
	return time.Duration(random.Int64N(int64(longest)))
}

// Busy records that the primary, or a replica, refused the request for its load.
func (a *Attempts) Busy(primary bool) {
	a.primaryBusy = a.primaryBusy || primary
	a.replicaBusy = a.replicaBusy || !primary
}

// LongestWait returns for how long a request that has the given time left may wait for a replica. It waits once.
// After that it only waits for as long as between two attempts, since the expectation is then known to be inaccurate.
func (a *Attempts) LongestWait(left time.Duration) time.Duration {
	if a.waited {
		left = min(left, maxBackoff)
	}
	return max(0, left)
}

// Wait reports whether the request waits for a replica that is expected to catch up after the given time, if it has
// the given time left.
func (a *Attempts) Wait(catchUp, left time.Duration) bool {
	if catchUp <= a.LongestWait(left) {
		a.waited = true
		return true
	}
	if a.behind == 0 || catchUp < a.behind {
		a.behind = catchUp
	}
	return false
}

// Behind reports whether the request is better refused now: the primary refused it for its load, and no replica
// will hold the position that it needs in time. retryAfter is when the first replica is expected to hold it.
func (a *Attempts) Behind() (retryAfter time.Duration, refuse bool) {
	return a.behind, a.behind > 0 && a.primaryBusy && !a.replicaBusy
}
