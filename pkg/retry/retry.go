// Package retry decides whether and when a failed request is tried again, and
// what the final answer is if not.
//
// It does no I/O, reads no clock and draws no random numbers of its own. Not safe
// for concurrent use.
package retry

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Class is what decides whether a request may run twice.
type Class struct {
	Name string
	// Read: the class changes nothing.
	Read bool
	// Repeatable: the class may run twice if its request id is in the ledger.
	Repeatable bool
	// Ledger: each request has an id that is written in its own transaction, so
	// that a second run fails as AlreadyRan.
	Ledger bool
}

// repeats reports whether the class may be sent again after an unknown outcome.
func (c *Class) repeats() bool { return c.Read || c.Repeatable && c.Ledger }

// Outcome is a failed attempt.
type Outcome struct {
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	Err     *result.Error
	// InTransaction: earlier statements of the transaction ran on the connection
	// that failed, so only the caller can begin anew.
	InTransaction bool
	// Member pays for the retry.
	Member string
}

// Policy bounds the tries.
type Policy struct {
	// Base is the back-off's bound before the second attempt; it doubles with
	// each one, up to Cap.
	Base time.Duration
	Cap  time.Duration
	// Attempts is the greatest number of attempts.
	Attempts int
	// Expected is how long an attempt takes.
	Expected time.Duration
}

// DefaultPolicy suits the brief's places: 1 ms between data centres, and a
// failover that takes a second or two. Attempts suffice for ten seconds of it.
func DefaultPolicy() Policy {
	return Policy{Base: 5 * time.Millisecond, Cap: 100 * time.Millisecond, Attempts: 200, Expected: 10 * time.Millisecond}
}

// Random draws a number in [0, n); *rand.Rand of math/rand/v2 does.
type Random interface {
	Int64N(n int64) int64
}

// Decision is either to try again or the final answer.
type Decision struct {
	// After is how long to wait before the next attempt, when Err is nil.
	After time.Duration
	// Err is the final answer.
	Err *result.Error
}

// Next decides what follows a failed attempt. The next attempt is only made if it
// is expected to end by the deadline: else the caller gets its final answer now
// rather than at the deadline.
func (p Policy) Next(o Outcome, class Class, budgets *Budgets, now, deadline mono.Time, random Random) Decision {
	if o.Err.Ran == result.Unknown && !class.repeats() {
		return Decision{Err: unknown(o.Err)}
	}
	if o.InTransaction || !mends(o.Err, &class) {
		return Decision{Err: o.Err}
	}
	bound := p.bound(o.Attempt)
	after := max(jitter(bound, random), o.Err.RetryAfter)
	comeBack := max(bound, o.Err.RetryAfter)
	if o.Attempt >= p.Attempts || now.Add(after+p.Expected) > deadline {
		return Decision{Err: o.Err.After(comeBack)}
	}
	if costs(o.Err) && !budgets.take(o.Member, class.Name, now) {
		return Decision{Err: exhausted(o.Err, max(comeBack, budgets.refill()))}
	}
	invariant.Check(o.Err.Ran == result.NotRun || class.repeats(), "class %s is tried again after %s", class.Name, o.Err.Ran)
	return Decision{After: after}
}

// unknown is the final answer when a request may have run and may not run twice.
// Coming back with the same request would risk a second run, so it has no
// RetryAfter; the caller asks by its request id.
func unknown(err *result.Error) *result.Error {
	if err.Code == result.NotReplicated {
		return err // Committed for certain: the caller is told more than "unknown".
	}
	// Without err's own text, which names a time to come back.
	return result.New(result.OutcomeUnknown, "%s: %s", err.Code.Name(), err.Detail)
}

// exhausted is the final answer when the budget is spent. What is not known to be
// without effect keeps its own code, since BudgetExhausted says "not run".
func exhausted(err *result.Error, after time.Duration) *result.Error {
	if err.Ran != result.NotRun {
		return err.After(after)
	}
	return result.New(result.BudgetExhausted, "%s", err.Error()).After(after)
}

// bound returns the longest wait before the attempt after the given one.
func (p Policy) bound(attempt int) time.Duration {
	d := p.Base
	for i := 1; i < attempt && d < p.Cap; i++ {
		d *= 2
	}
	return min(d, p.Cap)
}

// jitter draws from the whole range up to bound: requests that failed together,
// as at a failover, would otherwise come back together.
func jitter(bound time.Duration, random Random) time.Duration {
	return time.Duration(random.Int64N(int64(bound) + 1))
}
