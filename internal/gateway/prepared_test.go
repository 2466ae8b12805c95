package gateway_test

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/target"
)

// forget has the primary forget all prepared statements.
func (f *fixture) forget() {
	d := f.databases[primary]
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.prepared)
}

// Guards against a session whose prepared statement is unknown, though its preparing was acknowledged, since the target
// has forgotten it. The statement is prepared on another connection.
func TestAForgottenStatementIsPreparedAgain(t *testing.T) {
	f := start(t)
	c := f.open("newest")
	c.expect("prepare p x", "I ok")
	c.expect("execute p 1", "I ok d")
	f.forget()
	c.expect("execute p 2", "I ok d")
	c.expect("execute p 3", "I ok d")
	if n := f.databases[primary].commandsOf(target.PrepareWrite); n != 2 {
		t.Errorf("prepared %d times", n)
	}
	if got := f.databases[primary].statements(); got != "execute p 1, execute p 2, execute p 3" {
		t.Fatalf("ran %s", got)
	}
	c.expect("execute q 1", "I UnknownStatement not run")
}

// Guards against a transaction that goes on at a target that has forgotten its statements.
func TestAForgottenStatementAbortsItsTransaction(t *testing.T) {
	f := start(t)
	c := f.open("newest")
	c.expect("prepare p x", "I ok")
	c.expect("begin", "T ok")
	c.expect("execute p 1", "T ok d")
	f.forget()
	c.expect("execute p 2", "E TransactionAborted not run")
	c.expect("rollback", "I ok")
	c.expect("execute p 3", "I ok d")
}
