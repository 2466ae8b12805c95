package lease

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// OrderLife bounds what a VM that has been succeeded may still have in flight: how long after the reading that shows its
	// authority an order may arrive. Its successor's change of the row comes after that reading, so the successor waits as long
	// from its change before it sends an order or relies on one not coming.
	OrderLife = 700 * time.Millisecond
	// MinOrderFlight is how much of OrderLife must be left as an order is sent. It is longer than the kernel's shortest
	// retransmission timeout of 200 ms, below which the kernel can't be kept from retransmitting.
	MinOrderFlight = 250 * time.Millisecond
)

// Order is the authority for one order, to a target or about one. It is refused if it is sent too late, and whoever sends it
// ensures that it arrives by its end or never.
type Order struct {
	// Evidence is when the reading began that showed the sender's authority.
	Evidence mono.Time
}

// LastSend returns the last moment at which the order may be sent.
func (o Order) LastSend() mono.Time { return o.Evidence.Add(OrderLife - MinOrderFlight) }

// End returns the moment from which the order can't arrive any more.
func (o Order) End() mono.Time { return o.Evidence.Add(OrderLife) }

// MaySend reports whether the order may still be sent.
func (o Order) MaySend(now mono.Time) bool { return o.Evidence != 0 && !now.After(o.LastSend()) }
