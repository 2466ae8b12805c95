package target_test

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// lateConn answers its first command late, and each command with the command's ID as the digest.
type lateConn struct {
	late chan struct{}
	// pending is the ID of the command whose answer has not been read.
	pending string
	failed  error
}

func (c *lateConn) Dial(context.Context, topology.Target, topology.CustomerID) (target.Conn, error) {
	return c, nil
}

func (c *lateConn) Close() {}

func (c *lateConn) Run(_ time.Time, cmd target.Command) (statement.Answer, error) {
	if c.pending != "" {
		return statement.Answer{Digest: c.pending, State: statement.Idle}, nil
	}
	if cmd.ID == "late" {
		c.pending = cmd.ID
		return statement.Answer{}, os.ErrDeadlineExceeded
	}
	return statement.Answer{Digest: cmd.ID, State: statement.Idle}, nil
}

func (c *lateConn) Finish(time.Time) (statement.Answer, error) {
	<-c.late
	if c.failed != nil {
		return statement.Answer{}, c.failed
	}
	a := statement.Answer{Digest: c.pending, State: statement.Idle}
	c.pending = ""
	return a, nil
}

// Guards against a late answer that is taken for the answer to the next request on its connection.
func TestALateAnswerIsNotTheNextRequests(t *testing.T) {
	c := &lateConn{late: make(chan struct{})}
	p := target.NewPool(topology.Target{ID: "t"}, 1, c, mono.System{}, slog.New(slog.DiscardHandler))
	l := acquire(t, p, nil)
	if _, err := l.Run(soon(), target.Command{ID: "late"}); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	l.Release()
	_, failure := p.Acquire(context.Background(), until(mono.System{}.Now().Add(50*time.Millisecond)), nil)
	if failure == nil || failure.Ran != result.NotRun {
		t.Fatalf("the connection is used before the answer has come: %v", failure)
	}
	close(c.late)
	next := acquire(t, p, nil)
	if a, err := next.Run(soon(), target.Command{ID: "next"}); err != nil || a.Digest != "next" {
		t.Fatalf("%+v, %v", a, err)
	}
}

// Guards against a connection that is used again though a late answer may still come on it.
func TestAConnectionWhoseLateAnswerDoesNotComeIsDiscarded(t *testing.T) {
	c := &lateConn{late: make(chan struct{}), failed: os.ErrDeadlineExceeded}
	close(c.late)
	p := target.NewPool(topology.Target{ID: "t"}, 1, c, mono.System{}, slog.New(slog.DiscardHandler))
	l := acquire(t, p, nil)
	_, _ = l.Run(soon(), target.Command{ID: "late"})
	l.Release()
	if again := acquire(t, p, nil); again == l {
		t.Fatal("the connection is used again")
	}
}
