package gateway_test

import (
	"bufio"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// starvedConn simulates a connection of a process that is short of processor time: while it is held, a
// read deadline passes before the process has read the bytes that have arrived.
type starvedConn struct {
	*net.TCPConn
	received chan []byte

	mu       sync.Mutex
	held     chan struct{} // closed while the connection is not held
	deadline *time.Timer
	passed   chan struct{}
}

func newStarvedConn(nc *net.TCPConn) *starvedConn {
	c := &starvedConn{TCPConn: nc, received: make(chan []byte, 16), passed: make(chan struct{}), held: make(chan struct{})}
	close(c.held)
	go func() {
		for {
			b := make([]byte, 4096)
			n, err := nc.Read(b)
			if err != nil {
				close(c.received)
				return
			}
			<-c.released()
			c.received <- b[:n]
		}
	}()
	return c
}

// hold withholds the bytes that arrive until a deadline has passed.
func (c *starvedConn) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = make(chan struct{})
}

func (c *starvedConn) released() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

func (c *starvedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.held:
	default:
		close(c.held)
	}
}

func (c *starvedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	passed := c.passed
	c.mu.Unlock()
	select {
	case data, ok := <-c.received:
		if !ok {
			return 0, net.ErrClosed
		}
		return copy(b, data), nil
	case <-passed:
		c.release()
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *starvedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline != nil && c.deadline.Stop() || c.deadline == nil {
		c.deadline = nil
	} else {
		c.passed = make(chan struct{})
	}
	if t.IsZero() {
		c.deadline = nil
		return nil
	}
	passed := c.passed
	c.deadline = time.AfterFunc(time.Until(t), func() { close(passed) })
	return nil
}

// starvedListener accepts starvedConns.
type starvedListener struct {
	net.Listener
	conns chan *starvedConn
}

func (l *starvedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newStarvedConn(nc.(*net.TCPConn))
	l.conns <- c
	return c, nil
}

// starved opens a session whose connection the test can hold.
func (f *fixture) starved(name string) (*client, *starvedConn) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	starving := &starvedListener{Listener: l, conns: make(chan *starvedConn, 1)}
	go f.server.Serve(f.t.Context(), starving)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		conn.Close()
		l.Close()
	})
	c := &client{t: f.t, conn: conn, r: bufio.NewReader(conn)}
	c.expect(name, "welcome")
	return c, <-starving.conns
}

// Guards against a request without an answer, which arrived just before its session was to be closed.
func TestRequestReceivedBeforeSessionClosesIsAnswered(t *testing.T) {
	f := start(t)
	c, conn := f.starved("newest")
	c.expect("write a 1", "I ok d")
	time.Sleep(20 * time.Millisecond) // The session waits for its caller.
	conn.hold()
	if _, err := c.conn.Write([]byte("write a 2\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // The request has arrived.
	f.server.Shed()
	if got := c.readLine(); got != "I ok d" {
		t.Fatalf("the request got %q", got)
	}
	if got := c.readLine(); got != "closed" {
		t.Fatalf("the session goes on with %q", got)
	}
}
