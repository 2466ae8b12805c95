package statement_test

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// Guards against a name that stands for two statements of one connection, also after the connection was cleared.
func TestANameIsNeverAssignedTwice(t *testing.T) {
	var n statement.Names
	seen := map[string]bool{}
	for i := range 3000 {
		p := statement.Prepared{Shape: "s", Writes: i%2 == 0}
		name := n.Next()
		n.Add(p, name)
		if seen[name] || name == "" || len(name) > 3 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz") != "" {
			t.Fatalf("name %d is %q, seen before %v", i, name, seen[name])
		}
		seen[name] = true
		if i%700 == 0 {
			n.Clear()
		}
	}
}

func TestANameIsFoundByItsWholeStatement(t *testing.T) {
	var n statement.Names
	p := statement.Prepared{Shape: "x "}
	n.Add(p, n.Next())
	if name, ok := n.Lookup(p); !ok || name != "a" {
		t.Fatalf("%q, %v", name, ok)
	}
	for _, other := range []statement.Prepared{{Shape: "x"}, {Shape: "x "[:1] + "\t"}, {Shape: "x ", Writes: true}, {}} {
		if name, ok := n.Lookup(other); ok {
			t.Errorf("%+v is found as %q", other, name)
		}
	}
	n.Clear()
	if name, ok := n.Lookup(p); ok {
		t.Fatalf("found as %q after a reset", name)
	}
}
