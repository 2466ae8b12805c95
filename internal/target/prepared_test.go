package target_test

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// collidingShapes have the same 64-bit FNV-1a hash.
var collidingShapes = [...]string{"8yn0iYCKYHlIj4-BwPqk", "GReLUrM4wMqfg9yzV3KQ"}

// Guards against a session that runs another session's prepared statement because a hash of both is the same.
func TestPreparedNamesOfShapesWithTheSameHashDiffer(t *testing.T) {
	f := &fakeTarget{}
	l := acquire(t, newPool(f, 1), nil)
	shapes := map[string]string{}
	for _, shape := range collidingShapes {
		name, err := l.EnsurePrepared(soon(), statement.Prepared{Shape: shape})
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range f.sent {
			if c.Kind == target.PrepareRead && c.Name == name {
				shapes[name] = c.Value
			}
		}
		if shapes[name] != shape {
			t.Errorf("the name of %q stands for %q", shape, shapes[name])
		}
	}
}

// Guards against a name that stands for another statement after a reset of its connection.
func TestANameIsNotUsedAgainAfterAReset(t *testing.T) {
	f := &fakeTarget{}
	l := acquire(t, newPool(f, 1), nil)
	seen := map[string]string{}
	for i := range 2*statement.MaxNames + 2 {
		shape := strings.Repeat("x", i+1)
		name, err := l.EnsurePrepared(soon(), statement.Prepared{Shape: shape})
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := seen[name]; ok && other != shape {
			t.Fatalf("%q stands for two statements", name)
		}
		seen[name] = shape
	}
	if n := countSent(f, target.Reset); n != 2 {
		t.Errorf("%d resets", n)
	}
}

// Guards against a connection that keeps the shapes of many sessions without a limit.
func TestLargeShapesResetTheirConnection(t *testing.T) {
	f := &fakeTarget{}
	l := acquire(t, newPool(f, 1), nil)
	if err := l.ApplyValues(soon(), map[string]string{"a": "1"}); err != nil {
		t.Fatal(err)
	}
	const large = statement.MaxNamesBytes / 2
	for i := range 6 {
		if _, err := l.EnsurePrepared(soon(), statement.Prepared{Shape: strings.Repeat("x", large+i)}); err != nil {
			t.Fatal(err)
		}
	}
	if resets, sets := countSent(f, target.Reset), countSent(f, target.Set); resets != 5 || sets != 6 {
		t.Errorf("%d resets, %d values set", resets, sets)
	}
}

// Guards against a transaction that prepares without a limit: its connection can't be reset.
func TestATransactionPreparesABoundedNumberOfStatements(t *testing.T) {
	f := &fakeTarget{}
	l := acquire(t, newPool(f, 1), nil)
	if err := l.Begin(soon(), false, position.Position{}); err != nil {
		t.Fatal(err)
	}
	var err error
	n := 0
	for ; err == nil && n < 10*statement.MaxPrepared; n++ {
		_, err = l.EnsurePrepared(soon(), statement.Prepared{Shape: strings.Repeat("x", n)})
	}
	if err == nil {
		t.Fatalf("%d statements were prepared", n)
	}
	if e := result.From(err); e.Code != result.BadOption || n <= statement.MaxPrepared || l.Broken() {
		t.Errorf("after %d statements: %v, broken %v", n, err, l.Broken())
	}
	if countSent(f, target.Reset) != 0 {
		t.Error("reset within a transaction")
	}
}

func countSent(f *fakeTarget, kind target.CommandKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.sent {
		if c.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a connection that stays in use though its target has forgotten what was prepared on it.
func TestAConnectionWithForgottenStatementsIsDiscarded(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 1)
	l := acquire(t, p, nil)
	name, err := l.EnsurePrepared(soon(), statement.Prepared{Shape: "x"})
	if err != nil {
		t.Fatal(err)
	}
	f.answer = func(target.Command) (statement.Answer, error) {
		return statement.Fail(result.New(result.UnknownStatement, ""), statement.Idle), nil
	}
	if a, err := l.Run(soon(), target.Command{Kind: target.Execute, Name: name}); err != nil || a.Failure == nil {
		t.Fatalf("%+v, %v", a, err)
	}
	f.mu.Lock()
	f.answer = nil
	f.mu.Unlock()
	l.Release()
	if again := acquire(t, p, nil); again == l {
		t.Fatal("the connection is used again")
	}
}
