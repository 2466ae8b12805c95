package gateway_test

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// loseLog simulates a restart of the database without its log, under the same ID.
func (d *database) loseLog() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.position = position.Position{Term: 1}
}

// The primary has restarted without its log after a caller's write, and no VM knows of the restart yet. A
// read there would not show the write, so it is refused as not run, in other sessions as well, and a
// further write must not be reported as a success.
func TestPrimaryThatLostItsLogAcknowledgesNothing(t *testing.T) {
	f := start(t)
	writer, reader := f.open("newest"), f.open("newest")
	for range 3 {
		writer.expect("write a 1", "I ok d")
	}
	f.databases[primary].loseLog()
	reader.expect("read a", "I NoRight not run")
	writer.expect("write a 2", "I OutcomeUnknown unknown")
}

// The same in a transaction, whose first statement shows that the log is lost.
func TestTransactionAtPrimaryThatLostItsLogIsAborted(t *testing.T) {
	f := start(t)
	c := f.open("newest")
	for range 3 {
		c.expect("write a 1", "I ok d")
	}
	f.databases[primary].loseLog()
	c.ask("begin")
	if got := c.ask("read a"); !strings.Contains(got, "TransactionAborted") {
		t.Fatalf("%q", got)
	}
}
