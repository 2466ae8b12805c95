package lease

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// OrderLife bounds what the kernel of a VM that has been succeeded may still send: how long after the reading that shows its
	// authority an order may be in flight. Its successor's change of the row comes after that reading, so the successor waits as
	// long from its change before it sends an order or relies on one not coming. What a path that fails during this time keeps
	// for longer is covered by Row.Unsettled.
	OrderLife = 700 * time.Millisecond
	// MinOrderFlight is how much of OrderLife must be left as an order is sent. It is longer than the kernel's shortest
	// retransmission timeout of 200 ms, below which the kernel can't be kept from retransmitting.
	MinOrderFlight = 250 * time.Millisecond
	// MaxInquiryAge is how long before an order is sent its receiver must have been asked at most what it has answered, on the
	// order's own connection. A path that holds the order up is one that fails within this time.
	MaxInquiryAge = 150 * time.Millisecond
)

var (
	// ErrTooLate is returned for a call whose last moment to send has passed. Nothing of it was sent.
	ErrTooLate = errors.New("lease: the call's last moment to send has passed")
	// ErrUnheard is returned for a call on a connection whose receiver has not been heard from just before. Nothing of it
	// was sent.
	ErrUnheard = errors.New("lease: the receiver has not been heard from on the connection")
)

// Limits are the limits of a call that must not take effect late.
type Limits struct {
	// Send is the last moment at which the call may be written.
	Send mono.Time
	// End is the moment by which the sender gives the call up.
	End mono.Time
	// MaxInquiryAge is how long before the write the receiver must have been asked at most what it has answered, on the call's
	// connection.
	MaxInquiryAge time.Duration
}

// Check returns nil if the call may be written now. heard is when the receiver was asked what it has answered last on the call's
// connection, or 0.
func (l Limits) Check(heard, now mono.Time) error {
	switch {
	case now.After(l.Send):
		return ErrTooLate
	case heard == 0 || now.Sub(heard) > l.MaxInquiryAge:
		return ErrUnheard
	}
	return nil
}

// Order is the authority for one order, to a target or about one. It is refused if it is sent too late, and whoever sends it
// stops sending by its end.
type Order struct {
	// Evidence is when the reading began that showed the sender's authority.
	Evidence mono.Time
}

// LastSend returns the last moment at which the order may be sent.
func (o Order) LastSend() mono.Time { return o.Evidence.Add(OrderLife - MinOrderFlight) }

// End returns the moment from which the order is not in flight any more.
func (o Order) End() mono.Time { return o.Evidence.Add(OrderLife) }

// MaySend reports whether the order may still be sent.
func (o Order) MaySend(now mono.Time) bool { return o.Evidence != 0 && !now.After(o.LastSend()) }

// Limits returns the limits of the call that carries the order.
func (o Order) Limits() Limits {
	return Limits{Send: o.LastSend(), End: o.End(), MaxInquiryAge: MaxInquiryAge}
}
