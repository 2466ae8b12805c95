package authority

import "time"

// Defaults of Options; docs/design/0002 gives the reason for each.
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

// maxUnsettled is the maximum number of unsettled lists, which bounds the size of
// the row. A change that would add one more waits until some are settled.
const maxUnsettled = 8

// Options holds the timing parameters of the protocol. All VMs must use the same
// Lease, MarginPerMille and MaxOutage.
type Options struct {
	// Lease is how long a promise lasts from the sending of its request.
	Lease time.Duration
	// Heartbeat is the interval of promise requests.
	Heartbeat time.Duration
	// MarginPerMille is added to the durations that a promoter waits for. It must
	// exceed twice the greatest error of a VM's clock rate.
	MarginPerMille int64
	// MaxOutage is how long a holder keeps its right without a platform read that
	// shows its row as current.
	MaxOutage time.Duration
	// ReplaceAfter is how long a promoter may refuse or be silent before the holder
	// proposes a list without it. It must be below Lease, so that the right does not
	// end before the list is replaced.
	ReplaceAfter time.Duration
	// RetryEvery is the interval at which requests and commits are repeated.
	RetryEvery time.Duration
	// ExchangeWait is the maximum wait for the positions of other candidates.
	ExchangeWait time.Duration
	// Stagger is the delay of a candidate for each candidate that ranks before it.
	Stagger time.Duration
	// GiveUpRead is how long an attempt waits for its read of the row before it is
	// given up.
	GiveUpRead time.Duration
	// ConfirmRowEvery is the interval of the platform reads that show the row as
	// current, so that MaxOutage does not end the right.
	ConfirmRowEvery time.Duration
	// FlapWindow, FlapBase and FlapMax limit the promotions of a flapping group: from
	// the second promotion within FlapWindow, the next one waits for FlapBase,
	// doubled with each further promotion up to FlapMax.
	FlapWindow, FlapBase, FlapMax time.Duration
	// CheckInvariants makes a broken invariant panic with code InvariantBroken. It is
	// set in tests and by a flag of the daemon.
	CheckInvariants bool

	faults mutations
}

// mutations are planted mistakes, each of which the model check must catch. Only
// tests of this package can set them.
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

// stretched returns d plus the margin, for a VM that waits for another VM's right to
// end. Failure: the clock of the waiting VM runs faster than the holder's, and it
// promotes while the holder's right is still valid. This can't happen while the rate
// error of each clock is below half the margin.
func (o *Options) stretched(d time.Duration) time.Duration {
	if o.faults.ignoreMargin {
		return d
	}
	return d + d*time.Duration(o.MarginPerMille)/1000
}
