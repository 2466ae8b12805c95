// Package retry decides whether and when a failed request is retried, and
// determines the final answer if it is not.
//
// It does no I/O, reads no clock and has no random source of its own. It is not
// safe for concurrent use.
package retry

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Class holds the properties of a request class that decide whether a request may
// run twice.
type Class struct {
	Name string
	// Read is set if the class changes no data.
	Read bool
	// Repeatable is set if a request may be sent again after an unknown outcome,
	// provided that Ledger is set too.
	Repeatable bool
	// Ledger is set if each request has an id that is written in the request's own
	// transaction, so that a second run fails with AlreadyRan.
	Ledger bool
}

// idempotent reports whether the class may be sent again after an unknown outcome.
func (c *Class) idempotent() bool { return c.Read || c.Repeatable && c.Ledger }

// FailedAttempt describes a failed attempt of a request.
type FailedAttempt struct {
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	Err     *result.Error
	// InTransaction is set if earlier statements of the transaction ran on the
	// failed connection, so that only the caller can restart the transaction.
	InTransaction bool
	// Member is the member whose budget the retry is taken from.
	Member string
}

// Policy limits the number of attempts and sets the delay between them.
type Policy struct {
	// Base is the maximum delay before the second attempt. The maximum doubles with
	// each further attempt, up to Cap.
	Base time.Duration
	Cap  time.Duration
	// Attempts is the maximum number of attempts.
	Attempts int
	// Expected is the expected duration of an attempt.
	Expected time.Duration
}

// DefaultPolicy returns a policy for data centres that are 1 ms apart and a
// failover that takes one or two seconds. Its Attempts last for a failover of ten
// seconds.
func DefaultPolicy() Policy {
	return Policy{Base: 5 * time.Millisecond, Cap: 100 * time.Millisecond, Attempts: 200, Expected: 10 * time.Millisecond}
}

// Random is a source of random numbers in [0, n). *rand.Rand of math/rand/v2
// implements it.
type Random interface {
	Int64N(n int64) int64
}

// Decision is either a retry or the final answer.
type Decision struct {
	// After is the delay before the next attempt; valid if Err is nil.
	After time.Duration
	// Err is the final answer, or nil for a retry.
	Err *result.Error
}

// Next decides how to proceed after a failed attempt. A retry is only chosen if it
// is expected to end by the deadline; otherwise the caller gets the final answer
// immediately rather than at the deadline.
func (p Policy) Next(o FailedAttempt, class Class, budgets *Budgets, now, deadline mono.Time, random Random) Decision {
	if o.Err.Ran == result.Unknown && !class.idempotent() {
		return Decision{Err: unknownOutcome(o.Err)}
	}
	if o.InTransaction || !retryable(o.Err, &class) {
		return Decision{Err: o.Err}
	}
	maxDelay := p.maxDelay(o.Attempt)
	delay := max(jitter(maxDelay, random), o.Err.RetryAfter)
	retryAfter := max(maxDelay, o.Err.RetryAfter)
	if o.Attempt >= p.Attempts || now.Add(delay+p.Expected) > deadline {
		return Decision{Err: o.Err.After(retryAfter)}
	}
	if costsBudget(o.Err) && !budgets.take(o.Member, class.Name, now) {
		return Decision{Err: budgetExhausted(o.Err, max(retryAfter, budgets.refillTime()))}
	}
	invariant.Check(o.Err.Ran == result.NotRun || class.idempotent(), "class %s is tried again after %s", class.Name, o.Err.Ran)
	return Decision{After: delay}
}

// unknownOutcome returns the final answer for a request that may have run and must not
// run twice. It has no RetryAfter, since sending the same request again would risk
// a second run; the caller looks up the outcome by its request id.
func unknownOutcome(err *result.Error) *result.Error {
	if err.Code == result.NotReplicated {
		return err // The write is committed, which is more precise than "unknown".
	}
	// err.Error() would include a time after which to retry.
	return result.New(result.OutcomeUnknown, "%s: %s", err.Code.Name(), err.Detail)
}

// budgetExhausted returns the final answer when the budget is exhausted. A failure that
// may have had an effect keeps its own code, since BudgetExhausted means "not run".
func budgetExhausted(err *result.Error, retryAfter time.Duration) *result.Error {
	if err.Ran != result.NotRun {
		return err.After(retryAfter)
	}
	return result.New(result.BudgetExhausted, "%s", err.Error()).After(retryAfter)
}

// maxDelay returns the maximum delay before the attempt that follows the given one.
func (p Policy) maxDelay(attempt int) time.Duration {
	d := p.Base
	for i := 1; i < attempt && d < p.Cap; i++ {
		d *= 2
	}
	return min(d, p.Cap)
}

// jitter returns a random delay between zero and maxDelay. Without it, requests that
// fail together, as in a failover, would be retried at the same time.
func jitter(maxDelay time.Duration, random Random) time.Duration {
	return time.Duration(random.Int64N(int64(maxDelay) + 1))
}
