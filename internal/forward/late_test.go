package forward

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// encoded returns a message as it is sent.
func encoded(t *testing.T, m any) []byte {
	t.Helper()
	c := &capturingConn{}
	if err := newStream(c).send(m); err != nil {
		t.Fatal(err)
	}
	return c.sent.Bytes()
}

// capturingConn keeps what is written to it.
type capturingConn struct {
	net.Conn
	sent bytes.Buffer
}

func (c *capturingConn) Write(p []byte) (int, error) { return c.sent.Write(p) }

// Guards against the rest of a late answer that is read as an answer of its own: rows come from callers, so that a
// caller would choose the answer to another caller's request on the same connection.
func TestTheRestOfALateAnswerIsNoAnswer(t *testing.T) {
	forged := encoded(t, response{State: statement.Idle, Rows: []string{"forged"}, Digest: "forged"})
	whole := encoded(t, response{State: statement.Idle, Rows: []string{"row " + string(forged)}, Digest: "d"})
	at := bytes.Index(whole, forged)
	holder, entry := net.Pipe()
	defer holder.Close()
	defer entry.Close()
	c := &conn{nc: entry, stream: newStream(entry)}
	go func() {
		var r request
		if newStream(holder).receive(&r) == nil {
			_, _ = holder.Write(whole[:at]) // Fails only if the test has failed.
		}
	}()
	_, err := c.Run(time.Now().Add(30*time.Millisecond), target.Command{ID: "1", Text: "read a"})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the first part of an answer: %v", err)
	}
	go func() { _, _ = holder.Write(whole[at:]) }()
	if a, err := c.Finish(time.Now().Add(time.Second)); err == nil && (a.Digest != "d" || len(a.Rows) != 1) {
		t.Fatalf("the rest of the answer is taken for %+v", a)
	}
}

// Guards against a connection to a holder that is given up for an answer that comes late as a whole.
func TestAnAnswerThatComesLateAsAWholeIsRead(t *testing.T) {
	holder, entry := net.Pipe()
	defer holder.Close()
	defer entry.Close()
	c := &conn{nc: entry, stream: newStream(entry)}
	requested := make(chan struct{})
	go func() {
		var r request
		if newStream(holder).receive(&r) == nil {
			close(requested)
		}
	}()
	if _, err := c.Run(time.Now().Add(30*time.Millisecond), target.Command{ID: "1", Text: "read a"}); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	<-requested
	go func() { _ = newStream(holder).send(response{State: statement.Open, Digest: "d"}) }()
	if a, err := c.Finish(time.Now().Add(time.Second)); err != nil || a.Digest != "d" || a.State != statement.Open {
		t.Fatalf("%+v %v", a, err)
	}
}
