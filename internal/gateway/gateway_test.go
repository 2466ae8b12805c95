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

func TestStatementsGoWhereTheirClassSays(t *testing.T) {
	f := start(t)
	f.open("newest").expect("read a", "I ok d")
	f.open("newest").expect("write a 1", "I ok d")
	f.databases[replica].mu.Lock()
	f.databases[replica].position.Index++ // It has received the write.
	f.databases[replica].mu.Unlock()
	f.open("bounded").expect("read b", "I ok d")
	if got := f.databases[primary].statements(); got != "read a, write a 1" {
		t.Fatalf("at the primary: %s", got)
	}
	if got := f.databases[replica].statements(); got != "read b" {
		t.Fatalf("at the replica: %s", got)
	}
}

// A session writes and reads at once, while the replica has not received the write.
// The replica refuses by the position, and the read is served by the primary.
func TestASessionSeesItsOwnWriteThoughTheReplicaLags(t *testing.T) {
	f := start(t)
	c := f.open("own")
	c.expect("write a 1", "I ok d")
	c.expect("read a", "I ok d")
	if got := f.databases[replica].statements(); got != "" {
		t.Fatalf("at the replica, which lacks the write: %s", got)
	}
}

// The right ends while a write is under way, as when the VM was paused: another primary
// may lead by now, so the caller must not be told that the write stands, nor that it
// has not run.
func TestAWriteWhoseRightEndsIsInDoubt(t *testing.T) {
	f := start(t)
	f.databases[primary].before = func(string) (*result.Error, error) {
		f.rights.set(false)
		return nil, nil
	}
	f.open("newest").expect("write a 1", "I OutcomeUnknown unknown")
}

// Nobody has the right for a while, as in a failover: the write waits for it, and is
// refused as not run when it does not come within the statement's time.
func TestAWriteWaitsForTheRight(t *testing.T) {
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

// The connection breaks after a write was sent. Whether it ran is not known, so it is
// neither sent again nor refused as not run.
func TestALostAnswerOfAWrite(t *testing.T) {
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

// The connection breaks in mid-transaction: it is rolled back, and the caller may be
// told that nothing is kept. After its commit was sent that is not known.
func TestALostConnectionInATransaction(t *testing.T) {
	f := start(t)
	breaks := "write a 1"
	f.databases[primary].before = func(text string) (*result.Error, error) {
		if text == breaks {
			return nil, errors.New("reset")
		}
		return nil, nil
	}
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "E TransactionAborted not run")
	c.expect("read a", "E TransactionFailed not run")
	c.expect("rollback", "I ok")
	breaks = "commit"
	c.expect("begin", "T ok")
	c.expect("write a 2", "T ok d")
	c.expect("commit", "I OutcomeUnknown unknown")
}

// A target refuses for its load, before the run, and takes the statement the next time:
// the caller notices nothing.
func TestABusyTargetIsTriedAgain(t *testing.T) {
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

// The daemon leaves. A session that was opened but has sent nothing may send its first
// request at any moment until it is closed; a process that ends with the request under
// way would cut it off. So sessions are closed well before the process ends, and what
// was taken until then is answered.
func TestLeavingAnswersWhatItTook(t *testing.T) {
	f := start(t)
	f.databases[primary].before = func(string) (*result.Error, error) {
		time.Sleep(statementTimeout / 2)
		return nil, nil
	}
	rests, asks := f.open("newest"), f.open("newest")
	now := time.Now()
	plan := gateway.LeavePlan{Idle: now.Add(20 * time.Millisecond), Transactions: now.Add(50 * time.Millisecond), All: now.Add(100 * time.Millisecond)}
	f.server.Leave(plan)
	time.Sleep(time.Until(plan.All.Add(-10 * time.Millisecond)))
	asks.expect("write a 1", "I ok d")
	if got := rests.hear(); got != "closed" {
		t.Fatalf("a session that rests: %q", got)
	}
	if got := asks.hear(); got != "closed" {
		t.Fatalf("after its answer: %q", got)
	}
	if got := f.opening("newest"); !strings.HasPrefix(got, "refused Leaving") {
		t.Fatalf("a new session after all were closed: %q", got)
	}
}

// The VM is cut off, and no new sessions come to it. A caller whose session is open would
// have each request refused for as long as the cut lasts: its session is closed between two
// requests, so that it opens another one elsewhere. One that came just now may ask once, and
// after the cut sessions stay.
func TestSheddingClosesSessionsBetweenRequests(t *testing.T) {
	f := start(t)
	rests, resting := f.open("newest"), f.open("newest")
	rests.expect("write a 1", "I ok d")
	resting.expect("begin", "T ok")
	f.server.Shed()
	if got := rests.hear(); got != "closed" {
		t.Fatalf("a session that rests: %q", got)
	}
	resting.expect("write a 2", "T ok d")
	resting.expect("commit", "I ok d")
	if got := resting.hear(); got != "closed" {
		t.Fatalf("after its transaction: %q", got)
	}
	late := f.open("newest")
	late.expect("write a 3", "I ok d")
	if got := late.hear(); got != "closed" {
		t.Fatalf("a new session after its answer: %q", got)
	}
	f.server.Keep()
	kept := f.open("newest")
	kept.expect("write a 4", "I ok d")
	kept.expect("write a 5", "I ok d")
}

// The daemon leaves while a transaction rests: it is rolled back when its time is over,
// and the caller learns so with its next statement.
func TestLeavingEndsTransactionsThatRest(t *testing.T) {
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

// The primary is being replaced, so nobody can be asked for the newest position. It is
// known to stand still: reads of a stated age go on at the replica.
func TestBoundedReadsGoOnWhileThePrimaryIsReplaced(t *testing.T) {
	f := start(t)
	f.rights.set(false)
	f.rights.mu.Lock()
	f.rights.row = *f.rights.row.Closed("failed").WithCandidate(replica, position.Position{Term: 1, Index: 1}, true)
	f.rights.mu.Unlock()
	f.open("bounded").expect("read a", "I ok d")
}

// A replica lags, and the reads go to the primary. When it has caught up they must come
// back to it by themselves, or the primary carries the group's whole load for good.
func TestReadsComeBackToAReplicaThatCaughtUp(t *testing.T) {
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

// The VM is cut off from its coordinator and the store. Its callers are told so at once,
// while they have time to go to another VM, and not when their statement's time is over.
func TestACutOffVMRefusesAtOnce(t *testing.T) {
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
