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

// Guards against a connection that keeps shapes without a limit. One statement is always accepted after a reset.
func TestStatementsOfAConnectionAreBounded(t *testing.T) {
	large := strings.Repeat("x", statement.MaxNamesBytes)
	var n statement.Names
	if n.IsFull(statement.Prepared{Shape: large + large}, false) {
		t.Error("an empty connection takes no large statement")
	}
	n.Add(statement.Prepared{Shape: "y"}, n.Next())
	if !n.IsFull(statement.Prepared{Shape: large}, false) || n.IsFull(statement.Prepared{Shape: large[:1000]}, false) {
		t.Error("the bound in bytes doesn't hold")
	}
	for i := range statement.MaxNames - 1 {
		n.Add(statement.Prepared{Shape: strings.Repeat("z", i)}, n.Next())
	}
	if !n.IsFull(statement.Prepared{Shape: "q"}, false) {
		t.Error("the bound in number doesn't hold")
	}
}

// Guards against a session whose statements don't all fit into one transaction, in which a connection can't be reset,
// and against a transaction that prepares without a limit.
func TestASessionsStatementsFitIntoOneTransaction(t *testing.T) {
	var n statement.Names
	n.Add(statement.Prepared{Shape: strings.Repeat("x", statement.MaxNamesBytes)}, n.Next())
	half := statement.MaxBytes / 2
	for _, c := range "ab" {
		p := statement.Prepared{Shape: strings.Repeat(string(c), half)}
		if n.IsFull(p, true) {
			t.Fatal("a statement of the session is refused")
		}
		n.Add(p, n.Next())
	}
	if !n.IsFull(statement.Prepared{Shape: "more"}, true) {
		t.Error("no bound in bytes in a transaction")
	}
	n.Clear()
	for i := range statement.MaxNames + statement.MaxPrepared {
		p := statement.Prepared{Shape: strings.Repeat("z", i)}
		if n.IsFull(p, true) {
			t.Fatalf("statement %d is refused", i)
		}
		n.Add(p, n.Next())
	}
	if !n.IsFull(statement.Prepared{Shape: "more"}, true) {
		t.Error("no bound in number in a transaction")
	}
}
