package statement_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

func set(name, value string) *statement.Statement {
	return &statement.Statement{Kind: statement.Set, Name: name, Value: value}
}

func prepare(name, shape string) *statement.Statement {
	return &statement.Statement{Kind: statement.Prepare, Name: name, Shape: shape}
}

// Guards against a session whose values and shapes exhaust the memory, though their number is bounded.
func TestTheBytesOfASessionAreBounded(t *testing.T) {
	const part = 10
	large := strings.Repeat("x", statement.MaxBytes/part)
	for name, keep := range map[string]func(name, text string) *statement.Statement{"values": set, "shapes": prepare} {
		var c statement.Context
		kept := 0
		for i := range 2 * part {
			failure := c.Apply(keep(fmt.Sprint(i), large))
			if failure == nil {
				kept++
				continue
			}
			if failure.Code != result.BadOption || failure.Ran != result.NotRun {
				t.Fatalf("%s: %v", name, failure)
			}
		}
		if kept != part-1 {
			t.Errorf("%s: %d of %d are kept", name, kept, 2*part)
		}
	}
}

// Guards against a refused statement that changes the session, and against bytes that stay counted after their value
// was replaced or their statement was deallocated.
func TestReplacedAndDeallocatedBytesAreFree(t *testing.T) {
	large := strings.Repeat("x", statement.MaxBytes*3/4)
	var c statement.Context
	for i := range 5 {
		if failure := c.Apply(set("a", large[i:])); failure != nil {
			t.Fatalf("value %d: %v", i, failure)
		}
	}
	if c.Apply(prepare("p", large)) == nil {
		t.Fatal("values and shapes have bounds of their own")
	}
	if _, failure := c.Prepared("p"); failure == nil {
		t.Fatal("a refused statement is prepared")
	}
	_ = c.Apply(set("a", ""))
	for i := range 5 {
		if failure := c.Apply(prepare("p", large)); failure != nil {
			t.Fatalf("shape %d: %v", i, failure)
		}
		if failure := c.Apply(&statement.Statement{Kind: statement.Deallocate, Name: "p"}); failure != nil {
			t.Fatal(failure)
		}
	}
	if failure := c.Apply(set("b", large)); failure != nil {
		t.Fatal(failure)
	}
	if value, ok := c.Values()["a"]; !ok || value != "" {
		t.Fatalf("an empty value is kept as %q, %v", value, ok)
	}
}

// Guards against values of a byte that keep whole messages in memory, of which they were cut.
func TestASessionKeepsNoMessages(t *testing.T) {
	const messageBytes = 1 << 20
	var c statement.Context
	for i := range statement.MaxValues {
		message := fmt.Sprintf("%02dv%s", i, strings.Repeat("x", messageBytes))
		if failure := c.Apply(set(message[:2], message[2:3])); failure != nil {
			t.Fatal(failure)
		}
		if failure := c.Apply(prepare(message[:2], message[2:3])); failure != nil {
			t.Fatal(failure)
		}
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > 16*messageBytes {
		t.Errorf("%d MiB are in use", m.HeapAlloc/messageBytes)
	}
	runtime.KeepAlive(&c)
}

// A statement that is prepared again under its name replaces the other one, whatever their kinds.
func TestAStatementIsPreparedAgain(t *testing.T) {
	var c statement.Context
	_ = c.Apply(prepare("p", "x"))
	before, _ := c.Prepared("p")
	_ = c.Apply(&statement.Statement{Kind: statement.Prepare, Name: "p", Shape: "x ", Writes: true})
	after, _ := c.Prepared("p")
	if before != (statement.Prepared{Shape: "x"}) || after != (statement.Prepared{Shape: "x ", Writes: true}) {
		t.Fatalf("%+v, then %+v", before, after)
	}
}
