package fairqueue_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/fairqueue"
)

type count int

func (c *count) Len() int { return int(*c) }

// Guards against requests that are charged with the expected cost for ever, and against flows that accumulate.
func TestGrantsAreSettledAndIdleFlowsDropped(t *testing.T) {
	var s fairqueue.Flows[string, *count]
	for _, key := range []string{"a", "b"} {
		f := s.Get(key, func() *count { return new(count) })
		s.Enter(f, 0)
		*f.Queue = 1
	}
	a, b := s.Find("a"), s.Find("b")
	*a.Queue = 0
	s.Grant(a, 50*time.Millisecond, 2)
	s.Settle(a, 10*time.Millisecond, 2)
	if got := a.Start(); got < 0.00499 || got > 0.00501 {
		t.Errorf("10ms at weight 2 advance a flow by %v", got)
	}
	*b.Queue = 0
	s.Serve(b, time.Second, 1)
	s.Enter(s.Get("c", func() *count { return new(count) }), 0)
	s.Serve(b, time.Second, 1) // The virtual time passes the start of a and of c.
	if n := len(s.All()); n != 1 {
		t.Errorf("%d flows are left", n)
	}
}

// Guards against a less urgent priority that starves, or that takes all once it can be served after a long wait.
func TestCreditIsEarnedAndBounded(t *testing.T) {
	credits := fairqueue.Credits[time.Duration]{Most: 2 * time.Second}
	next := func(int) (time.Duration, bool) { return time.Second, true }
	for range 100 {
		credits.Earn(5, time.Second)
	}
	var order []int
	for range 3 {
		p, _ := credits.Pick([]int{1, 5}, next)
		credits.Spend(p, time.Second)
		order = append(order, p)
	}
	if order[0] != 5 || order[1] != 5 || order[2] != 1 {
		t.Errorf("%v", order)
	}
}
