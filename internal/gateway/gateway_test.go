package gateway_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/gateway"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

func TestStatementsAreRoutedByClass(t *testing.T) {
	f := start(t)
	f.open("newest").expect("read a", "I ok d")
	f.open("newest").expect("write a 1", "I ok d")
	f.databases[replica].mu.Lock()
	f.databases[replica].position.Index++ // The replica has received the write.
	f.databases[replica].mu.Unlock()
	f.open("bounded").expect("read b", "I ok d")
	if got := f.databases[primary].statements(); got != "read a, write a 1" {
		t.Fatalf("at the primary: %s", got)
	}
	if got := f.databases[replica].statements(); got != "read b" {
		t.Fatalf("at the replica: %s", got)
	}
}

// A session writes, and reads before the replica has received the write. The replica
// refuses the read because of its position, and the primary serves it.
func TestSessionReadsItsOwnWriteWhileReplicaLags(t *testing.T) {
	f := start(t)
	c := f.open("own")
	c.expect("write a 1", "I ok d")
	c.expect("read a", "I ok d")
	if got := f.databases[replica].statements(); got != "" {
		t.Fatalf("at the replica, which lacks the write: %s", got)
	}
}

// The right ends while a write is under way, for example because the VM was paused. There
// may be another primary by now, so the write must be answered neither as a success nor as
// not run.
func TestWriteWhoseRightEndsHasUnknownOutcome(t *testing.T) {
	f := start(t)
	f.databases[primary].before = func(string) (*result.Error, error) {
		f.rights.set(false)
		return nil, nil
	}
	f.open("newest").expect("write a 1", "I OutcomeUnknown unknown")
}

// Guards against a caller who is told that a commit is kept which an order that arrives late may roll back.
func TestACommitThatMayBeRolledBackHasUnknownOutcome(t *testing.T) {
	f := start(t)
	f.rights.mu.Lock()
	f.rights.notKept = true
	f.rights.mu.Unlock()
	f.open("newest").expect("write a 1", "I OutcomeUnknown unknown")
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 2", "T ok d")
	c.expect("commit", "I OutcomeUnknown unknown")
	c.expect("read a", "I ok d")
}

// No VM has the right for a while, as in a failover. A write waits for the right, and is
// refused as not run if there is none within the statement's timeout.
func TestWriteWaitsForRight(t *testing.T) {
	f := start(t)
	f.rights.set(false)
	c := f.open("newest")
	time.AfterFunc(statementTimeout/4, func() { f.rights.set(true) })
	c.expect("write a 1", "I ok d")
	f.rights.set(false)
	c.expect("write a 2", "I NoRight not run")
	if got := f.databases[primary].statements(); got != "write a 1" {
		t.Fatalf("ran %s", got)
	}
}

// The connection breakAt after a write was sent. It is unknown whether the write ran, so it
// must neither be sent again nor be refused as not run.
func TestWriteWithLostAnswerHasUnknownOutcome(t *testing.T) {
	f := start(t)
	sent := 0
	f.databases[primary].before = func(string) (*result.Error, error) {
		sent++
		return nil, errors.New("reset")
	}
	f.open("newest").expect("write a 1", "I OutcomeUnknown unknown")
	if sent != 1 {
		t.Fatalf("sent %d times", sent)
	}
}

// The connection breakAt during a transaction. The database rolls it back, so the answer is
// that nothing has run. After the commit was sent the outcome is unknown.
func TestLostConnectionAbortsTransaction(t *testing.T) {
	f := start(t)
	breakAt := "write a 1"
	f.databases[primary].before = func(text string) (*result.Error, error) {
		if text == breakAt {
			return nil, errors.New("reset")
		}
		return nil, nil
	}
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "E TransactionAborted not run")
	c.expect("read a", "E TransactionFailed not run")
	c.expect("rollback", "I ok")
	breakAt = "commit"
	c.expect("begin", "T ok")
	c.expect("write a 2", "T ok d")
	c.expect("commit", "I OutcomeUnknown unknown")
}

// A target refuses a statement because of its load, before it runs, and accepts it later.
// The caller must get a success.
func TestBusyTargetIsRetried(t *testing.T) {
	f := start(t)
	refusals := 2
	f.databases[primary].before = func(string) (*result.Error, error) {
		if refusals > 0 {
			refusals--
			return result.New(result.TargetBusy, ""), nil
		}
		return nil, nil
	}
	f.open("newest").expect("write a 1", "I ok d")
}

// The daemon leaves. A session that has sent nothing yet may send its first request at any
// moment until it is closed, and the end of the process would cut that request off. So
// sessions are closed well before the process ends, and requests accepted until then are
// answered.
func TestLeavingAnswersAcceptedRequests(t *testing.T) {
	f := start(t)
	f.databases[primary].before = func(string) (*result.Error, error) {
		time.Sleep(statementTimeout / 2)
		return nil, nil
	}
	idle, active := f.open("newest"), f.open("newest")
	now := time.Now()
	plan := gateway.LeavePlan{Idle: now.Add(20 * time.Millisecond), Transactions: now.Add(50 * time.Millisecond), All: now.Add(100 * time.Millisecond)}
	f.server.Leave(plan)
	time.Sleep(time.Until(plan.All.Add(-10 * time.Millisecond)))
	active.expect("write a 1", "I ok d")
	if got := idle.readLine(); got != "closed" {
		t.Fatalf("an idle session: %q", got)
	}
	if got := active.readLine(); got != "closed" {
		t.Fatalf("after its answer: %q", got)
	}
	if got := f.opening("newest"); !strings.HasPrefix(got, "refused Leaving") {
		t.Fatalf("a new session after all were closed: %q", got)
	}
}

// The VM is cut off, and the balancer sends it no new sessions. Each request of an open session
// would be refused for as long as the VM is cut off, so the session is closed between two
// requests and the caller opens another one at another VM. A session that is opened meanwhile
// is closed after its first answer. After the VM is no longer cut off, sessions stay open.
func TestSheddingClosesSessionsBetweenRequests(t *testing.T) {
	f := start(t)
	idle, inTransaction := f.open("newest"), f.open("newest")
	idle.expect("write a 1", "I ok d")
	inTransaction.expect("begin", "T ok")
	f.server.Shed()
	if got := idle.readLine(); got != "closed" {
		t.Fatalf("an idle session: %q", got)
	}
	inTransaction.expect("write a 2", "T ok d")
	inTransaction.expect("commit", "I ok d")
	if got := inTransaction.readLine(); got != "closed" {
		t.Fatalf("after its transaction: %q", got)
	}
	late := f.open("newest")
	late.expect("write a 3", "I ok d")
	if got := late.readLine(); got != "closed" {
		t.Fatalf("a new session after its answer: %q", got)
	}
	f.server.StopShedding()
	kept := f.open("newest")
	kept.expect("write a 4", "I ok d")
	kept.expect("write a 5", "I ok d")
}

// The daemon leaves while a transaction is idle. The transaction is rolled back at the time
// that the plan sets, and the caller's next statement is answered with this failure.
func TestLeavingRollsBackIdleTransactions(t *testing.T) {
	f := start(t)
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "T ok d")
	now := time.Now()
	f.server.Leave(gateway.LeavePlan{Idle: now, Transactions: now.Add(30 * time.Millisecond), All: now.Add(time.Minute)})
	time.Sleep(60 * time.Millisecond)
	c.expect("write a 2", "E TransactionAborted not run")
	c.expect("rollback", "I ok")
}

// The primary is being replaced, so no target can be asked for the newest position. The
// position is known not to change, so reads with a bounded staleness must continue at the
// replica.
func TestBoundedReadsContinueWhilePrimaryIsReplaced(t *testing.T) {
	f := start(t)
	f.rights.set(false)
	f.rights.mu.Lock()
	f.rights.row = *f.rights.row.Closed("failed").WithCandidate(replica, position.Position{Term: 1, Index: 1}, true)
	f.rights.mu.Unlock()
	f.open("bounded").expect("read a", "I ok d")
}

// A replica lags, and its reads go to the primary. Once the replica has caught up, reads must
// return to it without any intervention, or the primary carries the group's whole load forever.
func TestReadsReturnToReplicaThatCaughtUp(t *testing.T) {
	f := start(t)
	c := f.open("own")
	c.expect("write a 1", "I ok d")
	c.expect("read a", "I ok d")
	f.databases[replica].mu.Lock()
	f.databases[replica].position.Index++
	f.databases[replica].mu.Unlock()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.expect("read b", "I ok d")
		if f.databases[replica].statements() != "" {
			return
		}
	}
	t.Fatal("all reads stay at the primary")
}

// The VM is cut off from its coordinator and the store. Requests must be refused at once, while
// their callers have time to go to another VM, and not only when the statement's timeout is over.
func TestCutOffVMRefusesAtOnce(t *testing.T) {
	f := start(t)
	f.rights.mu.Lock()
	f.rights.held, f.rights.cut = false, true
	f.rights.mu.Unlock()
	begun := time.Now()
	f.open("newest").expect("write a 1", "I NoRight not run")
	f.open("bounded").expect("read a", "I AgeNotShown not run")
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("read a", "E NoRight not run")
	if took := time.Since(begun); took > statementTimeout {
		t.Fatalf("three refusals took %v", took)
	}
}
