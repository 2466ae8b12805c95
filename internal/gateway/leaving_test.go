package gateway_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// leave has a target say that it leaves, a while after it was last known to stay.
func (f *fixture) leave(id topology.TargetID, ago time.Duration) {
	t, _ := f.directory.Target(id)
	t.Leaving, t.LeavingSince = true, mono.System{}.Now().Add(-ago)
	f.directory.SetTarget(t)
	time.Sleep(3 * poolsFollow)
}

const (
	// poolsFollow is how long it takes until the pools know what the directory does.
	poolsFollow = 50 * time.Millisecond
	// longAgo is longer than a target that leaves serves.
	longAgo = time.Minute
)

// Guards against requests that are held until their deadline though all targets of their group have left.
func TestAGroupWhoseTargetsHaveAllLeftRefusesAtOnce(t *testing.T) {
	f := start(t)
	f.leave(replica, longAgo)
	f.leave(primary, longAgo)
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

// Guards against reads that are held until their deadline though all targets of their group have left.
func TestReadsOfAGroupWhoseTargetsHaveAllLeftAreRefusedAtOnce(t *testing.T) {
	f := start(t)
	f.leave(replica, time.Second)
	f.leave(primary, longAgo)
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

// Guards against requests that are held until their deadline for as long as their group has no database.
func TestAGroupWithoutTargetsIsToldAtOnceAfterAWhile(t *testing.T) {
	f := start(t)
	registered := f.directory.Targets()
	f.directory.KeepRegistrations(map[string]bool{})
	time.Sleep(3 * poolsFollow)
	newest, bounded := f.open("newest"), f.open("bounded")
	held := func(c *client, text string) time.Duration {
		t.Helper()
		began := time.Now()
		c.expect(text, "I NoPrimary not run")
		return time.Since(began)
	}
	began := time.Now()
	for time.Since(began) < 3200*time.Millisecond {
		write, read := held(newest, "write a 1"), held(bounded, "read a")
		if time.Since(began) < 2*time.Second && min(write, read) < statementTimeout/2 {
			t.Fatalf("refused after %v and %v, though a database may have been about to come back", write, read)
		}
	}
	if write, read := held(newest, "write a 1"), held(bounded, "read a"); max(write, read) > statementTimeout/4 {
		t.Fatalf("held for %v and %v", write, read)
	}
	for _, target := range registered {
		f.directory.SetTarget(target)
	}
	time.Sleep(3 * poolsFollow)
	newest.expect("write a 1", "I ok d")
	bounded.expect("read a", "I ok d")
}

// Guards against writes that are refused while the primary that leaves is about to be replaced.
func TestAWriteWaitsForTheSuccessorOfAPrimaryThatHasLeft(t *testing.T) {
	f := start(t)
	f.leave(primary, longAgo)
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

// Guards against reads that are refused though the primary that leaves still serves, and no replica is left.
func TestReadsAreServedByThePrimaryThatLeavesLast(t *testing.T) {
	f := start(t)
	f.leave(replica, time.Second)
	f.leave(primary, time.Second)
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

// Guards against reads that go to a primary that leaves though a replica stays.
func TestReadsAvoidAPrimaryThatLeaves(t *testing.T) {
	f := start(t)
	f.leave(primary, time.Second)
	c := f.open("bounded")
	for range 20 {
		c.expect("read a", "I ok d")
	}
	if ran := f.databases[primary].statements(); ran != "" {
		t.Fatalf("at the primary: %s", ran)
	}
}

// Guards against writes that are held until their deadline for as long as a primary that has left is not replaced.
func TestAPrimaryThatHasLeftForLongIsNotWaitedFor(t *testing.T) {
	f := start(t)
	f.leave(primary, longAgo)
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

// Guards against a primary without a successor that is given up before its time is over.
func TestAPrimaryThatLeavesServesUntilItsTimeIsOver(t *testing.T) {
	f := start(t)
	f.leave(replica, longAgo)
	f.leave(primary, time.Second)
	f.open("newest").expect("write a 1", "I ok d")
}
