package retry

import "github.com/buckthornshore/buckthornshore/pkg/result"

// mend says which failures another attempt can mend.
type mend int

const (
	// never: the request is wrong, or the answer is final.
	never mend = iota
	// always: the route changes (another primary, pooler or replica), or what
	// was lacking comes free.
	always
	// reads: another target may have room. A write has only the primary, and
	// trying a full queue again would make an overload worse: its caller gets the
	// refusal and its RetryAfter at once.
	reads
)

var codes = map[result.Code]mend{
	result.NoPrimary:         always,
	result.NoRight:           always,
	result.TermRefused:       always,
	result.TargetUnreachable: always,
	result.TargetSilent:      always,
	result.OutcomeUnknown:    always,
	result.ReplicaBehind:     always,
	result.PoolerUnreachable: always,
	result.WrongPooler:       always,
	// After a failover no replica is synced for a moment.
	result.NoReplicaForClass: always,
	result.ConnectionsInUse:  always,
	result.Leaving:           always,
	result.QueueFull:         reads,
	result.DeadlineInQueue:   reads,
	result.MemberLimit:       reads,
	result.Overloaded:        reads,
	result.TooManyInFlight:   reads,
	result.AgeNotShown:       reads,
}

// mends reports whether another attempt can mend the failure. A request that ran
// is never tried again.
func mends(err *result.Error, class *Class) bool {
	if err.Ran == result.Done {
		return false
	}
	switch codes[err.Code] {
	case always:
		return true
	case reads:
		return class.Read
	case never:
	}
	return false
}

// costs reports whether the attempt loaded anything, so that another one is paid
// for by the budget. Attempts that found nobody to run them reached no target; if
// they cost, a failover would spend the budget in its first moment and fail every
// write.
func costs(err *result.Error) bool {
	switch err.Code {
	case result.NoPrimary, result.NoRight, result.TermRefused, result.PoolerUnreachable, result.WrongPooler,
		result.TargetUnreachable, result.NoReplicaForClass, result.Leaving:
		return false
	}
	return true
}
