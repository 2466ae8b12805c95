package retention

import (
	"math"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// averagingTime is the time constant of the moving averages. It is longer than MaxIdle, so that customers are
	// ranked down to those that use a connection once in that time.
	averagingTime = 30 * time.Second
	// forgetAfter is how long after its last use a customer is forgotten; its averages are negligible by then.
	forgetAfter = 10 * averagingTime
	// maxBusy is the greatest number of busy connections of a customer that the averages distinguish.
	maxBusy = 8
)

// demand holds the moving averages of the customers' uses of connections.
type demand struct {
	customers map[topology.CustomerID]*uses
}

// uses holds one customer's uses per second.
type uses struct {
	// byBusy is indexed by the number of the customer's connections that were busy when another was needed.
	byBusy [maxBusy + 1]float64
	// at is when the averages were last brought up to date, and last when the customer last used a connection.
	at, last mono.Time
}

func (u *uses) decay(now mono.Time) {
	factor := math.Exp(-now.Sub(u.at).Seconds() / averagingTime.Seconds())
	for i := range u.byBusy {
		u.byBusy[i] *= factor
	}
	u.at = now
}

func (d *demand) record(customer topology.CustomerID, busy int, now mono.Time) {
	u := d.customers[customer]
	if u == nil {
		d.forget(now)
		u = &uses{at: now}
		d.customers[customer] = u
	}
	u.decay(now)
	u.byBusy[min(busy, maxBusy)] += 1 / averagingTime.Seconds()
	u.last = now
}

// forget removes the customers that have not used a connection for forgetAfter.
func (d *demand) forget(now mono.Time) {
	if d.customers == nil {
		d.customers = map[topology.CustomerID]*uses{}
	}
	for id, u := range d.customers {
		if now.Sub(u.last) > forgetAfter {
			delete(d.customers, id)
		}
	}
}

// rate returns how often per second a customer needs its n-th connection: while n-1 or more of them are busy.
func (d *demand) rate(customer topology.CustomerID, n int, now mono.Time) float64 {
	u := d.customers[customer]
	if u == nil {
		return 0
	}
	u.decay(now)
	sum := 0.0
	for _, rate := range u.byBusy[min(max(n-1, 0), maxBusy):] {
		sum += rate
	}
	return sum
}

// highest returns the eligible customer that needs a first connection most often, and its rate. The rate is 0 if there
// is none.
func (d *demand) highest(eligible func(topology.CustomerID) bool, now mono.Time) (topology.CustomerID, float64) {
	best, highest := topology.CustomerID(""), 0.0
	for id := range d.customers {
		if rate := d.rate(id, 1, now); rate > highest && eligible(id) {
			best, highest = id, rate
		}
	}
	return best, highest
}
