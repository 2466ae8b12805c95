package retry

import "github.com/buckthornshore/buckthornshore/pkg/result"

// retryScope is the kind of requests for which a failure is retryable.
type retryScope int

const (
	// never is for failures in which the request is wrong or the answer is final.
	never retryScope = iota
	// always is for failures after which the request takes a different route
	// (another primary, pooler or replica) or the missing resource becomes free.
	always
	// readsOnly is for failures where another target may have capacity for a read. A
	// write has only the primary, and retrying on a full queue would worsen the
	// overload, so its caller gets the refusal and its RetryAfter at once.
	readsOnly
)

var retryScopes = map[result.Code]retryScope{
	result.NoPrimary:         always,
	result.NoRight:           always,
	result.TermRefused:       always,
	result.TargetUnreachable: always,
	result.TargetSilent:      always,
	result.OutcomeUnknown:    always,
	result.ReplicaBehind:     always,
	result.PoolerUnreachable: always,
	result.WrongPooler:       always,
	// For a short time after a failover no replica is synced.
	result.NoReplicaForClass: always,
	result.ConnectionsInUse:  always,
	result.Leaving:           always,
	result.QueueFull:         readsOnly,
	result.DeadlineInQueue:   readsOnly,
	result.MemberLimit:       readsOnly,
	result.Overloaded:        readsOnly,
	result.TooManyInFlight:   readsOnly,
	result.AgeNotShown:       readsOnly,
}

// retryable reports whether another attempt may succeed. A request that ran is never
// retried.
func retryable(err *result.Error, class *Class) bool {
	if err.Ran == result.Done {
		return false
	}
	switch retryScopes[err.Code] {
	case always:
		return true
	case readsOnly:
		return class.Read
	case never:
	}
	return false
}

// costsBudget reports whether a retry after the failure is taken from the budget, which
// it is unless the attempt put no load on a target. Attempts without a reachable
// primary, pooler or replica put no load on a target; if their retries counted, a
// failover would exhaust the budget at its very start and every write would fail.
func costsBudget(err *result.Error) bool {
	switch err.Code {
	case result.NoPrimary, result.NoRight, result.TermRefused, result.PoolerUnreachable, result.WrongPooler,
		result.TargetUnreachable, result.NoReplicaForClass, result.Leaving:
		return false
	}
	return true
}
