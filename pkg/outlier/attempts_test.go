package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/outlier"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Guards against requests that multiply the load of saturated targets by retrying without a limit.
func TestAttemptsAreLimited(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, code := range []result.Code{result.TargetBusy, result.QueueFull, result.ReplicaBehind, result.TargetFailed} {
		var a outlier.Attempts
		n := 1
		for longest := 10 * time.Millisecond; a.Failed(code); longest = min(2*longest, 80*time.Millisecond) {
			if pause := a.Backoff(code, time.Hour, random); pause < 0 || pause >= longest {
				t.Fatalf("%s: a pause of %v after attempt %d", code.Name(), pause, n)
			}
			n++
		}
		if n != outlier.MaxAttempts {
			t.Fatalf("%s: %d attempts", code.Name(), n)
		}
	}
}

// Guards against requests that give up during a failover because of their waits for the new primary.
func TestWaitsForPrimaryAreNoAttempts(t *testing.T) {
	const pause = 10 * time.Millisecond
	var a outlier.Attempts
	for range 300 {
		for _, code := range []result.Code{result.NoRight, result.NoPrimary, result.TargetUnreachable, result.AgeNotShown, result.TargetLeaving} {
			if !a.Failed(code) || a.Backoff(code, pause, nil) != pause {
				t.Fatalf("%s counts as an attempt", code.Name())
			}
		}
	}
}

// Guards against requests that use up their attempts on the broken connections to a primary that has died.
func TestBrokenConnectionsAreNoAttempts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var a outlier.Attempts
	paused := time.Duration(0)
	n := 0
	for ; paused < 1500*time.Millisecond; n++ {
		if !a.Failed(result.OutcomeUnknown) {
			t.Fatalf("gave up after %v", paused)
		}
		paused += a.Backoff(result.OutcomeUnknown, 0, random)
	}
	if n > 100 {
		t.Fatalf("%d attempts during a failover", n)
	}
}

// Guards against requests that use up their attempts on replicas that don't catch up while the primary is replaced.
func TestLastAttemptIsNotForReplicaThatIsBehind(t *testing.T) {
	var a outlier.Attempts
	for a.Wait(0, time.Second) {
		if !a.Failed(result.ReplicaBehind) {
			t.Fatal("no attempt left for the new primary")
		}
	}
	if _, refuse := a.Behind(); refuse {
		t.Fatal("refused although the primary was not asked")
	}
}

// Guards against reads that ask lagging replicas again and again, and against refusals while a target may serve them.
func TestReadWaitsOnceForReplica(t *testing.T) {
	const left = 300 * time.Millisecond
	var a outlier.Attempts
	if a.Wait(2*time.Second, left) {
		t.Fatal("waits beyond its deadline")
	}
	if _, refuse := a.Behind(); refuse {
		t.Fatal("refused before the primary was asked")
	}
	if !a.Wait(200*time.Millisecond, left) || a.Wait(200*time.Millisecond, left) || !a.Wait(20*time.Millisecond, left) {
		t.Fatal("does not wait once")
	}
	for range 3 {
		if _, refuse := a.Behind(); refuse {
			t.Fatal("refused although the primary may only be busy for a moment")
		}
		a.Busy(true)
	}
	if after, refuse := a.Behind(); !refuse || after != 200*time.Millisecond {
		t.Fatalf("refused %t after %v", refuse, after)
	}
	a.Busy(false)
	if _, refuse := a.Behind(); refuse {
		t.Fatal("refused although a replica that holds the position is only busy")
	}
}
