package quota

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
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
	// allocator is the VM to which reports are sent. It is introduced until it has answered: the reports to it
	// include what the allocators before it have computed.
	allocator   topology.VMID
	introducing bool
	customers   map[Tag]*customerMeter
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
	extra int
	// maxExtra is how many extra operations an answer allows.
	maxExtra int
	lastFill mono.Time
	offered  uint32
	admitted uint32
	// unanswered is how many operations reports without an answer have contained.
	unanswered uint32
	// fraction is this VM's fraction of the customer's demand at fractionAt. It decays from then on.
	fraction   float64
	fractionAt mono.Time
	// demand is the rate of offered operations per second, averaged over fractionTime, at demandAt.
	demand   float64
	demandAt mono.Time
	// levels are the customer's priorities, the most urgent first.
	levels []*level
}

// fractionNow returns this VM's fraction of the customer's demand.
func (x *customerMeter) fractionNow(now mono.Time) float64 {
	return decayed(x.fraction, now.Sub(x.fractionAt), fractionTime)
}

// demandNow returns the rate of the customer's operations that are offered to this VM, per second.
func (x *customerMeter) demandNow(now mono.Time) float64 {
	return decayed(x.demand, now.Sub(x.demandAt), fractionTime)
}

func (x *customerMeter) offer(now mono.Time) {
	x.offered++
	x.demand = x.demandNow(now) + 1/fractionTime.Seconds()
	x.demandAt = now
}

// carriedFraction returns the fraction that this VM carries over to another allocator, or an equal part if it has been
// without an allocator for too long: others may have got its fraction.
func (m *Meter) carriedFraction(x *customerMeter, now mono.Time) float64 {
	fraction := min(1, x.fractionNow(now))
	if !m.answeredWithin(fractionLifetime, now) {
		fraction = min(fraction, 1/float64(m.vms))
	}
	return fraction
}

// SetAllocator sets the VM to which the reports are sent from now on, and reports whether it is another one. Until it
// has answered, the reports include what the allocator before it may not have heard of.
func (m *Meter) SetAllocator(vm topology.VMID) bool {
	if vm == m.allocator {
		return false
	}
	m.allocator, m.introducing = vm, true
	return true
}

// CountNear returns how many customers are known to be near their limits.
func (m *Meter) CountNear() int {
	n := 0
	for _, x := range m.customers {
		if x.near {
			n++
		}
	}
	return n
}

// unansweredFor returns for how many milliseconds no report has been answered: at least 1, since 0 stands for a report
// to an allocator that has answered.
func (m *Meter) unansweredFor(now mono.Time) uint32 {
	if m.answeredReport == 0 {
		return 1
	}
	return uint32(max(1, min(now.Sub(m.answeredReport), time.Hour)/time.Millisecond))
}

// NewMeter returns a meter for a VM that has just started.
func NewMeter() *Meter { return &Meter{vms: 1, customers: map[Tag]*customerMeter{}} }

// SetVMs sets the number of VMs.
func (m *Meter) SetVMs(n int) { m.vms = max(1, n) }

func (m *Meter) customer(c Tag) *customerMeter {
	x := m.customers[c]
	if x == nil {
		x = &customerMeter{tokens: 1, extra: minExtra, maxExtra: minExtra}
		m.customers[c] = x
	}
	return x
}

// Admit reports whether an operation of a class with the priority may begin, and if not, in how long the next one
// may. A lower priority is more urgent.
func (m *Meter) Admit(c Tag, l Limit, priority int, now mono.Time) (time.Duration, bool) {
	x := m.customer(c)
	v := x.level(priority)
	v.offer(now)
	x.offer(now)
	x.maxExtra = m.extraOf(l)
	rate := m.rateOf(x, l, now)
	x.fill(rate, now)
	if x.near && !x.consumeNear(v, rate, now) {
		return x.retryAfterNear(v, rate, now), false
	}
	if !x.near && !m.consume(x, l, now) {
		return x.retryAfter(rate), false
	}
	x.admitted++
	m.urgent = m.urgent || !x.near && float64(x.admitted) >= max(urgentFrom, rate*urgentTime.Seconds())
	return 0, true
}

// consume uses up an extra operation if the customer is known to be far from its limit, or a token, and reports
// whether there was one. The extra operations go first, so that the tokens are left if the allocator is lost.
func (m *Meter) consume(x *customerMeter, l Limit, now mono.Time) bool {
	switch {
	case x.extra > 0 && !x.near && m.answeredWithin(shareLifetime, now):
		x.extra--
	case x.tokens >= 1-m.credit(x, l, now):
		x.tokens--
	default:
		return false
	}
	return true
}

// credit returns how many operations of a customer that was not near its limit may be admitted ahead of the share
// while the allocator is being replaced.
func (m *Meter) credit(x *customerMeter, l Limit, now mono.Time) float64 {
	if x.near || !m.answeredWithin(shareLifetime, now) {
		return 0
	}
	return min(creditPart*l.Room, l.Rate*creditTime.Seconds()) * min(1, x.fractionNow(now))
}

const (
	// creditPart is the part of a limit's room that the credits of all VMs add up to at most.
	creditPart = 0.7
	// creditTime bounds the credits to what the limit's rate allows in that time.
	creditTime = 500 * time.Millisecond
)

const (
	// urgentFrom is how many admitted operations of a customer since the last report make the next report
	// urgent, unless the share allows more than that in urgentTime.
	urgentFrom = 2
	urgentTime = 500 * time.Millisecond
)

// Urgent reports whether the next report should be sent at once.
func (m *Meter) Urgent() bool { return m.urgent }

// answeredWithin reports whether the allocator has answered a report sent within d.
func (m *Meter) answeredWithin(d time.Duration, now mono.Time) bool {
	return m.answeredReport != 0 && now.Sub(m.answeredReport) < d
}

// rateOf returns the rate of a customer's share: the valid share, or without one the VM's fraction of the limit. A VM
// that has had no allocator for shareLifetime, as when all VMs have just started, takes an equal part.
func (m *Meter) rateOf(x *customerMeter, l Limit, now mono.Time) float64 {
	fraction := min(1, x.fractionNow(now)) * l.Rate
	switch answered := m.answeredWithin(answerTimeout, now); {
	case !x.near && !answered && m.answeredWithin(shareLifetime, now) && fraction > 0:
		return fraction // It is steadier than a share, which follows the demand of the last second.
	case now.Before(x.rateUntil):
		return min(x.rate, l.Rate)
	case x.near && m.answeredWithin(shareLifetime, now):
		return fraction
	}
	return l.Rate / float64(m.vms)
}

// bucketTime is for how long an unused share accumulates.
const bucketTime = 300 * time.Millisecond

// The bounds of how many operations of a customer that is not near its limit are admitted beyond the share until the
// allocator's next answer.
const (
	minExtra = 1
	maxExtra = 2
)

// extraOf returns how many operations may be admitted beyond the share: fewer if the limit's room is small, since all
// VMs may use them before the allocator hears of it.
func (m *Meter) extraOf(l Limit) int {
	return min(max(int(2*l.Room/float64(m.vms)), minExtra), maxExtra)
}

func (x *customerMeter) fill(rate float64, now mono.Time) {
	if x.lastFill != 0 {
		x.tokens += rate * now.Sub(x.lastFill).Seconds()
	}
	x.lastFill = now
	x.tokens = min(x.tokens, depthOf(rate))
}

// depthOf returns how many operations a share of a rate accumulates.
func depthOf(rate float64) float64 { return max(1, rate*bucketTime.Seconds()) }

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
	return retryTime(1-x.tokens, rate)
}

// retryTime returns the time after which a refused caller is asked to retry, if tokens are missing and rate of them
// are added per second.
func retryTime(missing, rate float64) time.Duration {
	wait := time.Duration(missing / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Return gives back an operation that was admitted and is known not to have run.
func (m *Meter) Return(c Tag, priority int) {
	x := m.customer(c)
	if x.admitted > 0 {
		x.admitted--
	}
	x.tokens++
	x.level(priority).tokens++
}

// Report returns the usage since the last report. A report to an allocator that has not answered yet covers all
// customers of which this VM has a fraction or recent demand.
func (m *Meter) Report(now mono.Time) []Usage {
	m.urgent = false
	var all []Usage
	for c, x := range m.customers {
		u := Usage{Customer: c, Offered: x.offered, Admitted: x.admitted, Near: x.near}
		x.unanswered += x.admitted
		if m.introducing {
			u.Fraction = uint16(m.carriedFraction(x, now) * fractionUnits)
			u.Demand = uint32(x.demandNow(now) * time.Minute.Seconds())
			u.Admitted = x.unanswered
			u.Since = m.unansweredFor(now)
		}
		x.offered, x.admitted = 0, 0
		if u.Offered > 0 || u.Fraction > 0 || u.Demand > 0 {
			all = append(all, u)
		}
	}
	return all
}

// ApplyAnswer applies the allocator's answer to a report that was sent at sent.
func (m *Meter) ApplyAnswer(a *Answer, sent mono.Time) {
	if sent < m.answeredReport {
		return // A later report has been answered already.
	}
	started := m.answeredReport == 0
	m.answeredReport, m.introducing = sent, false
	near := make(map[Tag]bool, len(a.Near))
	for _, c := range a.Near {
		near[c] = true
		m.customer(c).setNear()
	}
	for c, x := range m.customers {
		x.near = near[c]
		x.extra, x.unanswered = x.maxExtra, 0
		if started {
			x.extra = 0 // The allocator may have just started as well and know of no flood yet.
		}
	}
	for _, s := range a.Shares {
		x := m.customer(s.Customer)
		x.rate, x.rateUntil = float64(s.Rate)/time.Minute.Seconds(), sent.Add(shareLifetime)
		if s.Fraction > 0 {
			x.fraction, x.fractionAt = float64(s.Fraction)/fractionUnits, sent
		}
	}
}

// Near marks customers that have just come near their limits.
func (m *Meter) Near(customers []Tag) {
	for _, c := range customers {
		m.customer(c).setNear()
	}
}

// setNear marks the customer as near its limit. The extra operations since the allocator's last answer are then
// charged to the share.
func (x *customerMeter) setNear() {
	if x.near {
		return
	}
	x.near = true
	x.tokens -= float64(max(0, x.maxExtra-x.extra))
}

// Forget drops customers that no longer have a limit.
func (m *Meter) Forget(declared Limits) {
	for c := range m.customers {
		if _, ok := declared[c]; !ok {
			delete(m.customers, c)
		}
	}
}
