package target_test

import (
	"errors"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// Guards against a connection that stays in use though its answers may belong to other commands.
func TestAConnectionIsDiscardedAfterASuccessWithoutADigest(t *testing.T) {
	for _, kind := range []target.CommandKind{target.Caller, target.Execute} {
		f := &fakeTarget{answer: func(target.Command) (statement.Answer, error) { return statement.Done(statement.Idle), nil }}
		p := newPool(f, 1)
		l := acquire(t, p, nil)
		if _, err := l.Run(soon(), target.Command{Kind: kind}); !errors.Is(err, target.ErrNoDigest) {
			t.Fatalf("kind %d: %v", kind, err)
		}
		l.Release()
		if again := acquire(t, p, nil); again == l {
			t.Fatalf("kind %d: the connection is used again", kind)
		}
	}
}

// Guards against connections that are closed for answers that have no digest.
func TestFailuresAndOwnCommandsNeedNoDigest(t *testing.T) {
	f := &fakeTarget{}
	p := newPool(f, 1)
	l := acquire(t, p, nil)
	if err := l.ApplyValues(soon(), map[string]string{"a": ""}); err != nil {
		t.Fatal(err)
	}
	f.answer = func(target.Command) (statement.Answer, error) {
		return statement.Fail(result.New(result.TargetBusy, ""), statement.Idle), nil
	}
	if a, err := l.Run(soon(), target.Command{}); err != nil || a.Failure == nil || l.Broken() {
		t.Fatalf("%+v, %v", a, err)
	}
}
