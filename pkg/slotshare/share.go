package slotshare

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// LoanLifetime is how long a share of at least the safe part is valid at most. It is counted from when the holder
	// sent the report that the share answers, so it ends at the holder before the coordinator counts on that.
	LoanLifetime = time.Second
	// CutLifetime is how long a share below the safe part is valid, counted in the same way. It is longer, since loans
	// to other holders rest on it and must be renewed meanwhile, even if a message is lost.
	CutLifetime = 1500 * time.Millisecond
	// answerLimit is the longest time from a report to its answer. A later answer is ignored, so the coordinator
	// knows that a holder that confirms a share counts its lifetime from at most that long before it was sent.
	answerLimit = 300 * time.Millisecond
	// reportFor is how long a holder reports after something last waited.
	reportFor = time.Second
)

// Demand is what a holder reports for one target.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	Target topology.TargetID
	// InFlight is the number of statements in flight.
	InFlight int
	// Applied is the sequence number of the report whose answer brought the share that the holder keeps to, or 0 if it
	// has no valid share of the coordinator that it reports to.
	Applied uint64
	// Waiting are the numbers of waiting requests, by ascending priority.
	Waiting []Waiting
}

// Waiting is the number of waiting requests of one priority.
type Waiting struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	Priority, Count int
}

// maxCount bounds the counts in a report, which come from another VM.
const maxCount = 1 << 20

// bounded returns the demand with counts within bounds, and without priorities of which nothing waits.
func (d Demand) bounded() Demand {
	d.InFlight = min(max(d.InFlight, 0), maxCount)
	var waiting []Waiting
	for _, w := range d.Waiting {
		if w.Count > 0 {
			waiting = append(waiting, Waiting{Priority: w.Priority, Count: min(w.Count, maxCount)})
		}
	}
	d.Waiting = waiting
	return d
}

// Share is a coordinator's answer for one target.
type Share struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	Target topology.TargetID
	// Allowance is how many statements the holder may have in flight.
	Allowance int
	// ValidMS is how long the share is valid from when the report was sent, in ms.
	ValidMS int
}

// heldShare is a share that a coordinator gave, and until when it is valid.
type heldShare struct {
	from      topology.VMID
	sequence  uint64
	allowance int
	until     mono.Time
}

func (s *heldShare) valid(now mono.Time) bool { return now.Before(s.until) }

// Give applies a coordinator's share. sequence is the number of the report that it answers, sent at the given time.
// It reports false if the share is ignored: it came too late, or a later one was applied before. The sequence numbers
// that a holder uses towards one coordinator only rise.
func (l *Limit) Give(from topology.VMID, sequence uint64, s Share, sent, now mono.Time) bool {
	switch {
	case s.Allowance < 1 || s.ValidMS <= 0 || now.Sub(sent) > answerLimit:
		return false
	case l.share.from != from:
		l.keepCeiling(now)
	case sequence <= l.share.sequence:
		return false
	}
	lifetime := min(time.Duration(s.ValidMS)*time.Millisecond, CutLifetime)
	l.share = heldShare{from: from, sequence: sequence, allowance: s.Allowance, until: sent.Add(lifetime)}
	return true
}

// keepCeiling keeps to the share of an earlier coordinator until it expires: that coordinator may have lent what this
// holder doesn't use.
func (l *Limit) keepCeiling(now mono.Time) {
	if !l.share.valid(now) {
		return
	}
	if !l.ceiling.valid(now) {
		l.ceiling = l.share
		return
	}
	l.ceiling.allowance = min(l.ceiling.allowance, l.share.allowance)
	l.ceiling.until = max(l.ceiling.until, l.share.until)
}

// Applied returns the sequence number of the valid share of a coordinator, or 0 if there is none. A share isn't confirmed
// while that of an earlier coordinator is valid: both would lend what this holder doesn't use.
func (l *Limit) Applied(from topology.VMID, now mono.Time) uint64 {
	if l.share.from != from || !l.share.valid(now) || l.ceiling.valid(now) {
		return 0
	}
	return l.share.sequence
}

// Shared reports whether a share is valid.
func (l *Limit) Shared(now mono.Time) bool { return l.share.valid(now) }

// MustReport reports whether a holder reports its demand: something waits or waited a short time ago, or it keeps to
// a share, which it confirms. waitedAt is when something last waited, 0 for never.
func (l *Limit) MustReport(waitedAt, now mono.Time) bool {
	return l.share.valid(now) || waitedAt != 0 && now.Sub(waitedAt) < reportFor
}
