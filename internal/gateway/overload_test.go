package gateway_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// refuseStatements makes the primary refuse statements because of its load while the counter is above zero.
func (f *fixture) refuseStatements(n *atomic.Int64) {
	f.databases[primary].before = func(string) (*result.Error, error) {
		if n.Add(-1) >= 0 {
			return result.New(result.TargetBusy, ""), nil
		}
		return nil, nil
	}
}

// The target has just refused a statement because of its load. A new transaction is refused at
// once, before any of it has run: one of a transaction's six statements would be refused as
// well, and those that had run before it would have displaced other callers' statements for
// nothing. Single statements are still sent, and transactions are accepted again once the target
// stops refusing.
func TestSaturatedTargetAcceptsNoNewTransaction(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuseStatements(&refusals)
	refusals.Store(1)
	f.open("newest").expect("write a 1", "I ok d") // At its second attempt.
	c := f.open("newest")
	c.expect("begin", "T ok")
	begun := time.Now()
	c.expect("read a", "E TargetBusy not run")
	if took := time.Since(begun); took > statementTimeout/2 {
		t.Fatalf("refused after %v", took)
	}
	c.expect("rollback", "I ok")
	if got := f.databases[primary].statements(); got != "write a 1" {
		t.Fatalf("ran %s", got)
	}
	f.open("newest").expect("write a 2", "I ok d")
	time.Sleep(1100 * time.Millisecond)
	c.expect("begin", "T ok")
	c.expect("read a", "T ok d")
}

// The target becomes saturated when a transaction has already run a statement. The next statement
// is retried on the same connection: the caller gets a success, and what has run is not lost.
func TestRunningTransactionRetriesAtBusyTarget(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuseStatements(&refusals)
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "T ok d")
	refusals.Store(3)
	c.expect("write a 2", "T ok d")
	c.expect("commit", "I ok d")
	if got := f.databases[primary].statements(); got != "write a 1, write a 2, commit" {
		t.Fatalf("ran %s", got)
	}
}

// The target refuses everything because of its load. A request whose class has an objective of
// 100 ms is refused as not run after half of that, while its caller has time to go to another VM,
// and not after its statement's timeout of 400 ms.
func TestRequestStopsRetryingWhenLate(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuseStatements(&refusals)
	refusals.Store(1 << 40)
	begun := time.Now()
	f.open("hasty").expect("write a 1", "I TargetBusy not run")
	if took := time.Since(begun); took < objective/2 || took > statementTimeout/2 {
		t.Fatalf("refused after %v", took)
	}
}

// Guards against refusals that are missing from the target's metrics, or that are counted for requests that succeeded
// in the end or whose outcome is unknown.
func TestRefusalsAreCountedByTarget(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuseStatements(&refusals)
	refusals.Store(1)
	f.open("newest").expect("write a 1", "I ok d") // At its second attempt.
	refusals.Store(1 << 40)
	f.open("hasty").expect("write a 1", "I TargetBusy not run")
	refusals.Store(0)
	f.databases[primary].before = func(string) (*result.Error, error) {
		return result.New(result.TargetFailed, ""), nil
	}
	f.open("newest").expect("write a 1", "I TargetFailed unknown")
	if err := f.registry.Close(); err != nil {
		t.Fatal(err)
	}
	var counted []metrics.Counter
	for _, c := range f.registry.Snapshot().Counters {
		if c.Name == metrics.TargetRefusals {
			counted = append(counted, c)
		}
	}
	if len(counted) != 1 || counted[0].Value != 1 || counted[0].Tags[metrics.TagTarget] != string(primary) || counted[0].Tags[metrics.TagResult] != "TargetBusy" {
		t.Errorf("%+v", counted)
	}
}
