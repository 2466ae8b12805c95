package gateway_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// refuse has the primary refuse statements for its load while the counter is above zero.
func (f *fixture) refuse(n *atomic.Int64) {
	f.databases[primary].before = func(string) (*result.Error, error) {
		if n.Add(-1) >= 0 {
			return result.New(result.TargetBusy, ""), nil
		}
		return nil, nil
	}
}

// The target has refused a statement for its load just before. A caller's new transaction is
// refused at once, before any of it has run: of its six statements one would be refused, too,
// and what ran before it would have taken the place of other callers for nothing. Single
// statements go on, and transactions are taken again once the target refuses no more.
func TestASaturatedTargetTakesNoNewTransaction(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuse(&refusals)
	refusals.Store(1)
	f.open("newest").expect("write a 1", "I ok d") // Its second try.
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

// A transaction has run a statement when the target becomes saturated. Its next statement is
// tried again in place: the caller notices nothing, and what has run is not lost.
func TestATransactionUnderWayInsists(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuse(&refusals)
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

// The target refuses everything for its load. A caller that wants its answer within 100 ms is
// told that nothing has run when half of that is over, with the time to go elsewhere, and not
// when its statement's 400 ms are over.
func TestARequestStopsTryingWhenItIsLate(t *testing.T) {
	f := start(t)
	var refusals atomic.Int64
	f.refuse(&refusals)
	refusals.Store(1 << 40)
	begun := time.Now()
	f.open("hasty").expect("write a 1", "I TargetBusy not run")
	if took := time.Since(begun); took < objective/2 || took > statementTimeout/2 {
		t.Fatalf("refused after %v", took)
	}
}
