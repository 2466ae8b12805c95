package gateway_test

import (
	"strings"
	"testing"
)

// withoutDigest has the primary answer the given statement, whose work it has done, without a digest.
func (f *fixture) withoutDigest(text string) {
	d := f.databases[primary]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noDigest = text
}

// Guards against a success that no database has proved, which may be the answer to another request: a write may have
// run, and a read is repeated on another connection.
func TestASuccessWithoutADigestIsNotPassedOn(t *testing.T) {
	f := start(t)
	f.withoutDigest("write a 1")
	c := f.open("newest")
	c.expect("write a 1", "I OutcomeUnknown unknown")
	if got := f.databases[primary].statements(); got != "write a 1" {
		t.Fatalf("ran %s", got)
	}
	c.expect("read a", "I ok d")
	f.withoutDigest("read b")
	if got := c.ask("read b"); strings.Contains(got, "ok") {
		t.Fatal(got)
	}
}

// Guards against a commit of unknown outcome that is answered as a success or as not kept.
func TestACommitWithoutADigestHasUnknownOutcome(t *testing.T) {
	f := start(t)
	f.withoutDigest("commit")
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "T ok d")
	c.expect("commit", "I OutcomeUnknown unknown")
	c.expect("read a", "I ok d")
}

// Guards against a transaction that goes on after a statement of it may not have run. Its connection is closed, which
// rolls it back.
func TestAStatementWithoutADigestAbortsItsTransaction(t *testing.T) {
	f := start(t)
	f.withoutDigest("write a 1")
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "E TransactionAborted not run")
	c.expect("commit", "I TransactionAborted not run")
	if got := f.databases[primary].statements(); got != "write a 1" {
		t.Fatalf("ran %s", got)
	}
}

// Guards against reads that end at the first database that proves no success.
func TestAReadWithoutADigestIsRepeatedElsewhere(t *testing.T) {
	f := start(t)
	d := f.databases[replica]
	d.mu.Lock()
	d.noDigest = "read a"
	d.mu.Unlock()
	c := f.open("bounded")
	for range 5 {
		c.expect("read a", "I ok d")
	}
}
