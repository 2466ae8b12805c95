package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The model plays one order in every course: what becomes of its sender, at which moment of the call, and on which path. The
// sender reads its authority, asks the receiver something harmless, and writes the order if the package allows it. A successor
// takes over, and another target leads by the time the path recovers.

// courseEnd is what becomes of the sender.
type courseEnd int

const (
	goesOn courseEnd = iota
	endsAndResets
	wakesBeforeRecovery
	wakesAfterRecovery
	losesPower
	courseEnds
)

// courseStep is a step of the call. The sender ends, and the cut begins, after one of them.
type courseStep int

const (
	authorityRead courseStep = iota
	inquirySent
	receiverHeard
	orderChecked
	orderWritten
	orderAnswered
	courseSteps
)

// coursePath is how the path behaves during the cut.
type coursePath int

const (
	// drops loses what is sent and opens no connection.
	drops coursePath = iota
	// holds accepts connections and delivers what was sent when it recovers, unless the sender has reset the connection.
	holds
	// keeps does so whatever the sender does.
	keeps
	coursePaths
)

// orderModel is one course.
type orderModel struct {
	end     courseEnd
	endStep courseStep
	path    coursePath
	cutStep courseStep
	bug     orderBug

	now, heard, wrote mono.Time
}

// orderBug is a safeguard that is left out.
type orderBug struct{ sendsUnheard, forgetsOrders bool }

const (
	stepTime = mono.Time(2 * time.Millisecond)
	courseAt = mono.Time(time.Hour)
	// recovers is when the path recovers, long after the successor's first order.
	recovers    = courseAt + mono.Time(12*time.Second)
	takeoverAt  = courseAt + mono.Time(600*time.Millisecond)
	pauseMargin = mono.Time(time.Second)
)

func (m *orderModel) String() string {
	return fmt.Sprintf("end %d after step %d, path %d cut after step %d", m.end, m.endStep, m.path, m.cutStep)
}

// isCut reports whether the path is cut during a step.
func (m *orderModel) isCut(step courseStep) bool { return step > m.cutStep && m.now < recovers }

// after ends the sender if it ends after the step, and reports whether it goes on, perhaps after a pause.
func (m *orderModel) after(step courseStep) bool {
	m.now += stepTime
	if step != m.endStep {
		return true
	}
	switch m.end {
	case wakesBeforeRecovery:
		m.now = recovers - pauseMargin
	case wakesAfterRecovery:
		m.now = recovers + pauseMargin
	case endsAndResets, losesPower:
		return false
	}
	return true
}

// arrival returns when the order takes effect, or 0 if it never does.
func (m *orderModel) arrival() mono.Time {
	order := lease.Order{Evidence: courseAt}
	limits := order.Limits()
	if m.bug.sendsUnheard {
		limits.MaxInquiryAge = time.Hour
		m.heard = courseAt
	}
	m.now = courseAt
	if !m.after(authorityRead) || m.path == drops && m.isCut(inquirySent) || m.now > limits.Send {
		return 0
	}
	asked := m.now
	if !m.after(inquirySent) {
		return 0
	}
	// The answer waits in the socket while the sender is paused.
	if !m.isCut(inquirySent) && !m.isCut(receiverHeard) {
		m.heard = asked
	}
	if m.heard == 0 || !m.after(receiverHeard) {
		return 0
	}
	if limits.Check(m.heard, m.now) != nil || !m.after(orderChecked) {
		return 0
	}
	m.wrote = m.now
	isCut := m.isCut(orderWritten)
	goesOn := m.after(orderWritten)
	switch {
	case !isCut:
		return m.wrote + stepTime
	case m.path == keeps:
		return recovers
	case m.path == drops || m.end == losesPower && !goesOn:
		return 0 // The kernel retransmits until the call's end at the latest.
	case !goesOn, m.now < recovers:
		return 0 // The connection is reset, by the end of the process or of the call.
	}
	return recovers
}

// isLate reports whether an order takes effect after the successor may have sent one.
func isLate(arrival mono.Time) bool { return arrival > takeoverAt.Add(lease.OrderLife) }

// acknowledgesLost reports whether a caller is told that a commit is kept which the late order rolls back. The successor has
// taken over and promoted the order's target, and later another one, which commits after the late order has promoted the first
// again, and just before it.
func (m *orderModel) acknowledgesLost() bool {
	const ordered, next = topology.TargetID("b"), topology.TargetID("c")
	chosen := (&lease.Row{Group: "g", Version: 1, Term: 1, Primary: "a", Coordinator: "vm-1", Incarnation: 1, Fence: 1}).
		Closed("model").WithCandidate(ordered, position.Position{Term: 1}, true)
	row := chosen.TakenBy("vm-2", 1, "vm-2", nil)
	if m.bug.forgetsOrders {
		row = row.WithoutUnsettled(ordered)
	}
	row = row.Opened(2).Closed("model").WithCandidate(next, position.Position{Term: 2}, true).Opened(3)
	right := lease.Right{Group: "g", Term: 3, Primary: next}
	commit := position.Position{Term: 3, Index: 10}
	received := []lease.LogState{
		{Term: 4, Received: position.Position{Term: 3, Index: 10}}, // It has been promoted.
		{Term: 3, Received: position.Position{Term: 3, Index: 9}},  // It is promoted without the commit.
	}
	for _, log := range received {
		isKept := true
		for range row.Keepers() {
			isKept = right.CustodyOf(commit, log) == lease.Held
		}
		if isKept {
			return true
		}
	}
	return false
}

// isBeyondSender reports whether only the receiver could refuse the order: the path failed between its answer to the inquiry and
// the order, and keeps the order whatever the sender does or while it is paused; or the sender was paused between its last check
// and the write.
func (m *orderModel) isBeyondSender() bool {
	pausedAtWrite := m.endStep == orderChecked && (m.end == wakesBeforeRecovery || m.end == wakesAfterRecovery)
	failedBetween := m.cutStep == receiverHeard || m.cutStep == orderChecked
	isKept := m.path == keeps || m.path == holds && m.end == wakesAfterRecovery
	return pausedAtWrite || failedBetween && isKept
}

// forEachCourse plays every course with a bug and returns how many there are.
func forEachCourse(bug orderBug, check func(m *orderModel, arrival mono.Time)) (courses int) {
	for end := range courseEnds {
		for endStep := range courseSteps {
			for path := range coursePaths {
				for cutStep := range courseSteps {
					m := &orderModel{end: end, endStep: endStep, path: path, cutStep: cutStep, bug: bug}
					check(m, m.arrival())
					courses++
				}
			}
		}
	}
	return courses
}

// Guards against an order that takes effect after its sender was succeeded where the sender can keep it from that, and against
// callers who are told that a commit is kept which a late order rolls back, in every course.
func TestModelOrdersInEveryCourse(t *testing.T) {
	late, arrived := 0, 0
	courses := forEachCourse(orderBug{}, func(m *orderModel, arrival mono.Time) {
		if arrival != 0 {
			arrived++
		}
		if !isLate(arrival) {
			return
		}
		late++
		if !m.isBeyondSender() {
			t.Errorf("%v: arrives %v late", m, arrival.Sub(takeoverAt.Add(lease.OrderLife)))
		}
		if m.acknowledgesLost() {
			t.Errorf("%v: a commit is acknowledged and rolled back", m)
		}
	})
	if late == 0 || arrived == late {
		t.Fatalf("%d of %d orders arrive, %d late: the model plays nothing", arrived, courses, late)
	}
	t.Logf("%d courses, %d orders arrive, %d of them late", courses, arrived, late)
}

// The model must detect each safeguard that is left out.
func TestModelDetectsInjectedBugsOfOrders(t *testing.T) {
	sent, told := 0, 0
	forEachCourse(orderBug{sendsUnheard: true}, func(m *orderModel, arrival mono.Time) {
		if isLate(arrival) && !m.isBeyondSender() {
			sent++
		}
	})
	forEachCourse(orderBug{forgetsOrders: true}, func(m *orderModel, arrival mono.Time) {
		if isLate(arrival) && m.acknowledgesLost() {
			told++
		}
	})
	if sent == 0 || told == 0 {
		t.Errorf("an order to a receiver that was not heard: %d courses; an order that is forgotten: %d", sent, told)
	}
}
