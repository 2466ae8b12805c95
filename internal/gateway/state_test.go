package gateway_test

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// setState has the primary's connection be in the given state when the given statement runs on it.
func (f *fixture) setState(text string, s statement.State) {
	d := f.databases[primary]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states = map[string]statement.State{text: s}
}

// Guards against a transaction whose target has lost it: its next write is kept at once, and would be answered as a
// part of the transaction.
func TestAWriteOutsideItsTransactionHasUnknownOutcome(t *testing.T) {
	f := start(t)
	f.setState("write a 2", statement.Idle)
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("write a 1", "T ok d")
	c.expect("write a 2", "E OutcomeUnknown unknown")
	c.expect("read a", "E TransactionFailed not run")
	c.expect("commit", "I OutcomeUnknown unknown")
	c.expect("write a 3", "I ok d")
	if got := f.databases[primary].statements(); got != "write a 1, write a 2, write a 3" {
		t.Fatalf("ran %s", got)
	}
}

// Guards against a read outside its transaction that is passed on. Nothing was written, so the transaction is aborted.
func TestAReadOutsideItsTransactionAbortsIt(t *testing.T) {
	f := start(t)
	f.setState("read a", statement.Idle)
	c := f.open("newest")
	c.expect("begin", "T ok")
	c.expect("read a", "E TransactionAborted not run")
	c.expect("rollback", "I ok")
}

// Guards against a single write that is answered as kept though it ran in a transaction, which is rolled back.
func TestASingleWriteInATransactionHasUnknownOutcome(t *testing.T) {
	f := start(t)
	f.setState("write a 1", statement.Open)
	f.open("newest").expect("write a 1", "I OutcomeUnknown unknown")
}

// Guards against statements that run outside a transaction since its begin had no effect.
func TestNoStatementRunsAfterABeginWithoutEffect(t *testing.T) {
	f := start(t)
	d := f.databases[primary]
	d.mu.Lock()
	d.ignoresBegin = true
	d.mu.Unlock()
	c := f.open("newest")
	c.expect("begin", "T ok")
	if got := c.ask("write a 1"); !strings.HasPrefix(got, "E ") || !strings.HasSuffix(got, " not run") {
		t.Fatal(got)
	}
	if got := d.statements(); got != "" {
		t.Fatalf("ran %s", got)
	}
}
