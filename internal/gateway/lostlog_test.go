package gateway_test

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// forget has a database start again without its log, reachable under its name.
func (d *database) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.position = position.Position{Term: 1}
}

// A caller wrote, and its primary has started again without its log before anybody was told. A
// read there would show nothing of the write: it is refused as not run, also to other sessions,
// and a further write is not told as a success.
func TestAPrimaryThatLostItsLogAcknowledgesNothing(t *testing.T) {
	f := start(t)
	writer, reader := f.open("newest"), f.open("newest")
	for range 3 {
		writer.expect("write a 1", "I ok d")
	}
	f.databases[primary].forget()
	reader.expect("read a", "I NoRight not run")
	writer.expect("write a 2", "I OutcomeUnknown unknown")
}

// The same in a transaction: its first statement shows that the log is gone.
func TestATransactionAtAPrimaryThatLostItsLogIsAborted(t *testing.T) {
	f := start(t)
	c := f.open("newest")
	for range 3 {
		c.expect("write a 1", "I ok d")
	}
	f.databases[primary].forget()
	c.ask("begin")
	if got := c.ask("read a"); !strings.Contains(got, "TransactionAborted") {
		t.Fatalf("%q", got)
	}
}
