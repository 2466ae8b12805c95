package authority

import "time"

// Defaults of Options; docs/design/0002 justifies each.
const (
	DefaultLease           = 1500 * time.Millisecond
	DefaultHeartbeat       = 250 * time.Millisecond
	DefaultMarginPerMille  = 10
	DefaultMaxOutage       = time.Hour
	DefaultReplaceAfter    = 700 * time.Millisecond
	DefaultRetryEvery      = 200 * time.Millisecond
	DefaultExchangeWait    = 100 * time.Millisecond
	DefaultStagger         = 150 * time.Millisecond
	DefaultGiveUpRead      = 1 * time.Second
	DefaultConfirmRowEvery = time.Minute
	DefaultFlapWindow      = time.Minute
	DefaultFlapBase        = 2 * time.Second
	DefaultFlapMax         = 30 * time.Second
)

// maxUnsettled bounds the row's size: a change that would add one more list
// waits until some are settled.
const maxUnsettled = 8

// Options are the durations of the protocol. All VMs must use the same Lease,
// MarginPerMille and MaxOutage.
type Options struct {
	// Lease is how long a promise lasts from the sending of its request.
	Lease time.Duration
	// Heartbeat is the interval of promise requests.
	Heartbeat time.Duration
	// MarginPerMille stretches what a promoter waits. It must exceed twice the
	// greatest error of a VM's clock rate.
	MarginPerMille int64
	// MaxOutage is how long a holder goes on without a platform read that shows
	// its row as current.
	MaxOutage time.Duration
	// ReplaceAfter is how long a promoter may refuse or be silent before the
	// holder proposes a list without it. Below Lease, so that the right goes on.
	ReplaceAfter time.Duration
	// RetryEvery spaces the repeats of requests and commits.
	RetryEvery time.Duration
	// ExchangeWait bounds the wait for the positions of other candidates.
	ExchangeWait time.Duration
	// Stagger delays a candidate by its rank.
	Stagger time.Duration
	// GiveUpRead ends an attempt whose read of the row brought no answer.
	GiveUpRead time.Duration
	// ConfirmRowEvery spaces the reads that keep MaxOutage away.
	ConfirmRowEvery time.Duration
	// FlapWindow, FlapBase and FlapMax space promotions of a flapping group.
	FlapWindow, FlapBase, FlapMax time.Duration
	// CheckInvariants makes a broken invariant panic with code InvariantBroken;
	// on in tests and by a daemon's flag.
	CheckInvariants bool

	faults mutations
}

// mutations are planted mistakes. Only tests of this package can set them: the
// model check must catch each one.
type mutations struct {
	skipLapse           bool
	countFromReceipt    bool
	noRecheck           bool
	anyVersion          bool
	promoteUnsynced     bool
	ignoreUnsettled     bool
	keepOldIncarnation  bool
	ignoreMargin        bool
	confirmWithoutWaits bool
	stalePosition       bool
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Lease:           DefaultLease,
		Heartbeat:       DefaultHeartbeat,
		MarginPerMille:  DefaultMarginPerMille,
		MaxOutage:       DefaultMaxOutage,
		ReplaceAfter:    DefaultReplaceAfter,
		RetryEvery:      DefaultRetryEvery,
		ExchangeWait:    DefaultExchangeWait,
		Stagger:         DefaultStagger,
		GiveUpRead:      DefaultGiveUpRead,
		ConfirmRowEvery: DefaultConfirmRowEvery,
		FlapWindow:      DefaultFlapWindow,
		FlapBase:        DefaultFlapBase,
		FlapMax:         DefaultFlapMax,
	}
}

// stretched is d as a waiting side counts it. Failure: its clock runs faster
// than the holder's, and it promotes while the holder's right still stands. Two
// clocks that err by less than half the margin each cannot get there.
func (o *Options) stretched(d time.Duration) time.Duration {
	if o.faults.ignoreMargin {
		return d
	}
	return d + d*time.Duration(o.MarginPerMille)/1000
}
