package quota

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// Meter decides on one VM whether an operation of a customer may begin.
type Meter struct {
	// vms is how many VMs there are, as far as known.
	vms int
	// urgent is set when the next report should be sent at once.
	urgent bool
	// answeredReport is when the newest report that the allocator has answered was sent, or 0 if it has
	// answered none.
	answeredReport mono.Time
	customers      map[Tag]*customerMeter
}

// customerMeter is the state of one customer on one VM.
type customerMeter struct {
	near bool
	// rate is the share in operations per second, which is valid until rateUntil.
	rate      float64
	rateUntil mono.Time
	// tokens is how many operations the share allows now.
	tokens float64
	// extra is how many operations may still be admitted beyond the share until the allocator's next answer.
	extra    int
	lastFill mono.Time
	offered  uint32
	admitted uint32
}

// NewMeter returns a meter for a VM that has just started.
func NewMeter() *Meter { return &Meter{vms: 1, customers: map[Tag]*customerMeter{}} }

// SetVMs sets the number of VMs.
func (m *Meter) SetVMs(n int) { m.vms = max(1, n) }

func (m *Meter) customer(c Tag) *customerMeter {
	x := m.customers[c]
	if x == nil {
		x = &customerMeter{tokens: 1, extra: maxExtra}
		m.customers[c] = x
	}
	return x
}

// Admit reports whether an operation may begin, and if not, in how long the next one may.
func (m *Meter) Admit(c Tag, l Limit, now mono.Time) (time.Duration, bool) {
	x := m.customer(c)
	x.offered++
	rate := m.rateOf(x, l, now)
	x.fill(rate, now)
	if !m.consume(x, now) {
		return x.retryAfter(rate), false
	}
	x.admitted++
	m.urgent = m.urgent || !x.near && float64(x.admitted) >= max(urgentFrom, rate*urgentTime.Seconds())
	return 0, true
}

// consume uses up a token, or an extra operation if the customer is known to be far from its limit, and
// reports whether there was one.
func (m *Meter) consume(x *customerMeter, now mono.Time) bool {
	switch {
	case x.tokens >= 1:
		x.tokens--
	case x.extra > 0 && m.knownFar(x, now):
		x.extra--
	default:
		return false
	}
	return true
}

// knownFar reports whether the customer is known not to be near its limit.
func (m *Meter) knownFar(x *customerMeter, now mono.Time) bool {
	return !x.near && m.answeredReport != 0 && now.Sub(m.answeredReport) < answerTimeout
}

const (
	// urgentFrom is how many admitted operations of a customer since the last report make the next report
	// urgent, unless the share allows more than that in urgentTime.
	urgentFrom = 2
	urgentTime = 500 * time.Millisecond
)

// Urgent reports whether the next report should be sent at once.
func (m *Meter) Urgent() bool { return m.urgent }

// rateOf returns the rate of a customer's share. Without a valid share of a customer near its limit it is 0 while
// the allocator answers, until an answer brings the share. Otherwise, as when all VMs have just started and no
// allocator answers, it is an equal part of the limit.
func (m *Meter) rateOf(x *customerMeter, l Limit, now mono.Time) float64 {
	if now.Before(x.rateUntil) {
		return min(x.rate, l.Rate)
	}
	if x.near && m.answeredReport != 0 && now.Sub(m.answeredReport) < answerTimeout {
		return 0
	}
	return l.Rate / float64(m.vms)
}

// bucketTime is for how long an unused share accumulates.
const bucketTime = 300 * time.Millisecond

// maxExtra is how many operations of a customer that is not near its limit are admitted beyond the share until the
// allocator's next answer.
const maxExtra = 2

func (x *customerMeter) fill(rate float64, now mono.Time) {
	if x.lastFill != 0 {
		x.tokens += rate * now.Sub(x.lastFill).Seconds()
	}
	x.lastFill = now
	x.tokens = min(x.tokens, max(1, rate*bucketTime.Seconds()))
}

// The bounds of the time after which a refused caller is asked to retry.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter returns in how long the share allows another operation.
func (x *customerMeter) retryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((1 - x.tokens) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Return gives back an operation that was admitted and is known not to have run.
func (m *Meter) Return(c Tag) {
	x := m.customer(c)
	if x.admitted > 0 {
		x.admitted--
	}
	x.tokens++
}

// Report returns the usage since the last report.
func (m *Meter) Report() []Usage {
	m.urgent = false
	var all []Usage
	for c, x := range m.customers {
		if x.offered == 0 {
			continue
		}
		all = append(all, Usage{Customer: c, Offered: x.offered, Admitted: x.admitted, Near: x.near})
		x.offered, x.admitted = 0, 0
	}
	return all
}

// ApplyAnswer applies the allocator's answer to a report that was sent at sent.
func (m *Meter) ApplyAnswer(a *Answer, sent mono.Time) {
	if sent < m.answeredReport {
		return // A later report has been answered already.
	}
	m.answeredReport = sent
	near := make(map[Tag]bool, len(a.Near))
	for _, c := range a.Near {
		near[c] = true
		m.customer(c).near = true
	}
	for c, x := range m.customers {
		x.near = near[c]
		x.extra = maxExtra
	}
	for _, s := range a.Shares {
		x := m.customer(s.Customer)
		x.rate, x.rateUntil = float64(s.Rate)/time.Minute.Seconds(), sent.Add(shareLifetime)
	}
}

// Near marks customers that have just come near their limits.
func (m *Meter) Near(customers []Tag) {
	for _, c := range customers {
		m.customer(c).near = true
	}
}

// Forget drops customers that no longer have a limit.
func (m *Meter) Forget(declared Limits) {
	for c := range m.customers {
		if _, ok := declared[c]; !ok {
			delete(m.customers, c)
		}
	}
}
