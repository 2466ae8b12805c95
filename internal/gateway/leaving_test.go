package gateway_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// markLeaving marks a target as leaving since the given time ago.
func (f *fixture) markLeaving(id topology.TargetID, ago time.Duration) {
	t, _ := f.directory.Target(id)
	t.Leaving, t.LeavingSince = true, mono.System{}.Now().Add(-ago)
	f.directory.SetTarget(t)
	time.Sleep(3 * poolsUpdateTime)
}

const (
	// poolsUpdateTime is how long it takes until the pools have applied a change of the directory.
	poolsUpdateTime = 50 * time.Millisecond
	// longAgo is longer than a leaving target serves.
	longAgo = time.Minute
)

// Guards against requests that are held until their deadline although all targets of their group have left.
func TestGroupWhoseTargetsHaveAllLeftRefusesAtOnce(t *testing.T) {
	f := start(t)
	f.markLeaving(replica, longAgo)
	f.markLeaving(primary, longAgo)
	c := f.open("newest")
	for _, text := range []string{"write a 1", "read a"} {
		began := time.Now()
		c.expect(text, "I TargetLeaving not run")
		if waited := time.Since(began); waited > statementTimeout/4 {
			t.Fatalf("%s was held for %v", text, waited)
		}
	}
	c.expect("begin", "T ok")
	began := time.Now()
	c.expect("write a 1", "E TargetLeaving not run")
	if waited := time.Since(began); waited > statementTimeout/4 {
		t.Fatalf("a transaction was held for %v", waited)
	}
	if ran := f.databases[primary].statements(); ran != "" {
		t.Fatalf("at the primary: %s", ran)
	}
}

// Guards against reads that are held until their deadline although all targets of their group have left.
func TestReadsOfAGroupWhoseTargetsHaveAllLeftAreRefusedAtOnce(t *testing.T) {
	f := start(t)
	f.markLeaving(replica, time.Second)
	f.markLeaving(primary, longAgo)
	for _, class := range []string{"own", "bounded"} {
		c := f.open(class)
		began := time.Now()
		c.expect("read a", "I TargetLeaving not run")
		c.expect("begin_read_only", "T ok")
		c.expect("read a", "E TargetLeaving not run")
		if waited := time.Since(began); waited > statementTimeout/4 {
			t.Fatalf("%s was held for %v", class, waited)
		}
	}
}

// Guards against requests that are held until their deadline as long as their group has no database. At
// first they must be held, since a database may be about to return.
func TestGroupWithoutTargetsRefusesAtOnceAfterLongOutage(t *testing.T) {
	f := start(t)
	registered := f.directory.Targets()
	f.directory.KeepRegistrations(map[string]bool{})
	time.Sleep(3 * poolsUpdateTime)
	newest, bounded := f.open("newest"), f.open("bounded")
	timeToRefusal := func(c *client, text string) time.Duration {
		t.Helper()
		began := time.Now()
		c.expect(text, "I NoPrimary not run")
		return time.Since(began)
	}
	began := time.Now()
	for time.Since(began) < 3200*time.Millisecond {
		write, read := timeToRefusal(newest, "write a 1"), timeToRefusal(bounded, "read a")
		if time.Since(began) < 2*time.Second && min(write, read) < statementTimeout/2 {
			t.Fatalf("refused after %v and %v, though a database may have been about to come back", write, read)
		}
	}
	if write, read := timeToRefusal(newest, "write a 1"), timeToRefusal(bounded, "read a"); max(write, read) > statementTimeout/4 {
		t.Fatalf("held for %v and %v", write, read)
	}
	for _, target := range registered {
		f.directory.SetTarget(target)
	}
	time.Sleep(3 * poolsUpdateTime)
	newest.expect("write a 1", "I ok d")
	bounded.expect("read a", "I ok d")
}

// Guards against writes that are refused while the leaving primary is about to be replaced.
func TestWriteWaitsForSuccessorOfPrimaryThatHasLeft(t *testing.T) {
	f := start(t)
	f.markLeaving(primary, longAgo)
	time.AfterFunc(statementTimeout/4, func() {
		f.rights.mu.Lock()
		f.rights.row.Primary, f.rights.row.Term = replica, 2
		f.rights.mu.Unlock()
		f.rights.set(true)
	})
	f.open("newest").expect("write a 1", "I ok d")
	if ran := f.databases[replica].statements(); ran != "write a 1" {
		t.Fatalf("at the successor: %s", ran)
	}
}

// Guards against reads that are refused although the leaving primary still serves and no replica is left.
func TestLeavingPrimaryServesReadsWithoutReplica(t *testing.T) {
	f := start(t)
	f.markLeaving(replica, time.Second)
	f.markLeaving(primary, time.Second)
	for _, class := range []string{"own", "bounded"} {
		c := f.open(class)
		c.expect("read a", "I ok d")
		c.expect("begin_read_only", "T ok")
		c.expect("read b", "T ok d")
		c.expect("commit", "I ok d")
	}
	if ran := f.databases[replica].statements(); ran != "" {
		t.Fatalf("at the replica that leaves: %s", ran)
	}
}

// Guards against reads that go to a leaving primary although a replica stays.
func TestReadsAvoidLeavingPrimary(t *testing.T) {
	f := start(t)
	f.markLeaving(primary, time.Second)
	c := f.open("bounded")
	for range 20 {
		c.expect("read a", "I ok d")
	}
	if ran := f.databases[primary].statements(); ran != "" {
		t.Fatalf("at the primary: %s", ran)
	}
}

// Guards against writes that are held until their deadline as long as a primary that has left is not replaced.
func TestPrimaryThatLeftLongAgoIsNotWaitedFor(t *testing.T) {
	f := start(t)
	f.markLeaving(primary, longAgo)
	newest, bounded := f.open("newest"), f.open("bounded")
	for began := time.Now(); time.Since(began) < 3200*time.Millisecond; {
		newest.expect("write a 1", "I TargetLeaving not run")
		bounded.expect("read a", "I ok d")
	}
	began := time.Now()
	newest.expect("write a 1", "I TargetLeaving not run")
	if waited := time.Since(began); waited > statementTimeout/4 {
		t.Fatalf("held for %v", waited)
	}
}

// Guards against a leaving primary without a successor that is given no work before its drain time is over.
func TestLeavingPrimaryServesUntilDrainTimeIsOver(t *testing.T) {
	f := start(t)
	f.markLeaving(replica, longAgo)
	f.markLeaving(primary, time.Second)
	f.open("newest").expect("write a 1", "I ok d")
}
