package slotshare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
)

const ms = mono.Time(time.Millisecond)

func newLimit(slots, holders int) *slotshare.Limit {
	l := &slotshare.Limit{}
	l.Configure(slots, holders)
	return l
}

// Guards against an allowance that doesn't fall while a target refuses, that falls once for each of many refusals of one
// round trip, or that doesn't rise again with full use.
func TestTheAllowanceFallsOncePerRoundTripAndRises(t *testing.T) {
	l := newLimit(6, 2)
	if l.Allowance(0) != 6 {
		t.Fatalf("starts with %d", l.Allowance(0))
	}
	for range 20 { // All were sent before the first refusal.
		l.Refused(0, 20*ms)
	}
	if got := l.Allowance(20 * ms); got != 4 {
		t.Fatalf("%d after the refusals of one round trip", got)
	}
	l.Refused(25*ms, 40*ms)
	l.Refused(45*ms, 60*ms)
	l.Refused(65*ms, 80*ms)
	l.Refused(85*ms, 99*ms)
	l.Refused(100*ms, 110*ms)
	if got := l.Allowance(110 * ms); got != 1 {
		t.Fatalf("%d after six round trips of refusals", got)
	}
	now := 110 * ms
	for ; now < 2110*ms; now += 50 * ms {
		l.Observe(0, now)
	}
	if got := l.Allowance(now); got != 1 {
		t.Fatalf("rose to %d without use", got)
	}
	for ; l.Allowance(now) < 6 && now < 20_000*ms; now += 50 * ms {
		l.Observe(6, now)
	}
	if took := now - 2110*ms; took < 4_000*ms || took > 6_000*ms {
		t.Fatalf("rose from 1 to 6 in %v", time.Duration(took))
	}
}

// Guards against a holder that keeps sending as much to a target that has become several times slower, and against
// one that takes an ordinary queue, or another mix of classes, for a slow target.
func TestASlowTargetLowersTheAllowance(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l, now := newLimit(4, 2), mono.Time(0)
	answer := func(priority int, mean float64) bool {
		now += 25 * ms
		took := mono.Time((0.5 + random.Float64()) * mean * float64(ms))
		return l.Answered(priority, now-took, now)
	}
	for i := range 400 { // Ten seconds of urgent statements, then ten of all classes, with a queue at the target.
		lowered := answer(1, 6)
		if i >= 200 {
			lowered = answer(1, 12) || answer(2, 36) || answer(3, 60) || lowered
		}
		if lowered {
			t.Fatalf("lowered by an ordinary load after %v", time.Duration(now))
		}
	}
	slowSince := now
	for !answer(2, 360) {
		if now-slowSince > 500*ms {
			t.Fatalf("not lowered within %v of a target ten times as slow", time.Duration(now-slowSince))
		}
	}
}
