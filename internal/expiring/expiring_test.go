package expiring_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/expiring"
	"github.com/buckthornshore/buckthornshore/internal/standin/network"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

const (
	// life is how long a call of these tests may take, and silence how old an answered inquiry may be as it is sent.
	life    = time.Second
	silence = 100 * time.Millisecond
)

const greeting = "hello"

// receiver accepts one connection, greets the sender and reads when it is told to.
type receiver struct {
	listener net.Listener
	conn     chan net.Conn
}

func newReceiver(t *testing.T) *receiver {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &receiver{listener: l, conn: make(chan net.Conn, 1)}
	t.Cleanup(func() { l.Close() })
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = c.Write([]byte(greeting))
			r.conn <- c
		}
	}()
	return r
}

func (r *receiver) address() string { return r.listener.Addr().String() }

// greet sends another greeting.
func (r *receiver) greet(t *testing.T) {
	t.Helper()
	c := <-r.conn
	if _, err := c.Write([]byte(greeting)); err != nil {
		t.Fatal(err)
	}
	r.conn <- c
}

// read returns what has arrived until the connection ends.
func (r *receiver) read(t *testing.T) (int, error) {
	t.Helper()
	c := <-r.conn
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	raw, err := io.ReadAll(c)
	return len(raw), err
}

func dial(t *testing.T, ctx context.Context, clock mono.Clock, address string) *expiring.Conn {
	t.Helper()
	c, err := expiring.Dial(ctx, &net.Dialer{}, clock, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// within returns a context for a call that begins now.
func within(ctx context.Context, clock mono.Clock) context.Context {
	now := clock.Now()
	return expiring.With(ctx, lease.Limits{Send: now.Add(life / 2), End: now.Add(life), MaxInquiryAge: silence})
}

// hear reads the receiver's greeting.
func hear(t *testing.T, c *expiring.Conn) {
	t.Helper()
	if _, err := io.ReadFull(c, make([]byte, len(greeting))); err != nil {
		t.Fatal(err)
	}
}

// Guards against a call that is held up by a proxy on the path, which keeps it however the sender ends: nothing is sent unless
// the receiver has just been heard from.
func TestNothingIsSentToAReceiverThatIsNotHeard(t *testing.T) {
	r := newReceiver(t)
	clock := &mono.Manual{T: mono.System{}.Now()}
	ctx := within(t.Context(), clock)
	c := dial(t, ctx, clock, r.address())
	write := func(want error) {
		t.Helper()
		if err := c.Begin(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("order")); !errors.Is(err, want) {
			t.Fatalf("error %v, want %v", err, want)
		}
	}
	write(lease.ErrUnheard)
	if err := c.BeginInquiry(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("inquiry")); err != nil {
		t.Fatal(err)
	}
	hear(t, c)
	write(nil)
	clock.T = clock.T.Add(silence + 1)
	write(lease.ErrUnheard)
	if err := c.BeginInquiry(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("inquiry")); err != nil {
		t.Fatal(err)
	}
	clock.T = clock.T.Add(silence + 1) // The process is paused before it reads the answer.
	r.greet(t)
	hear(t, c)
	write(lease.ErrUnheard)
	c.Close()
	if n, _ := r.read(t); n > 2*len("inquiry")+len("order") {
		t.Fatalf("%d bytes arrived", n)
	}
}

// Guards against a call that is sent by a process that was paused between its last check and the write.
func TestNothingIsSentAfterTheLastMoment(t *testing.T) {
	r := newReceiver(t)
	clock := &mono.Manual{T: mono.System{}.Now()}
	ctx := within(t.Context(), clock)
	c := dial(t, ctx, clock, r.address())
	if err := c.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	clock.T = clock.T.Add(life/2 + 1)
	if _, err := c.Write([]byte("late")); !errors.Is(err, lease.ErrTooLate) {
		t.Fatalf("error %v", err)
	}
	if err := c.Begin(ctx); !errors.Is(err, lease.ErrTooLate) {
		t.Fatalf("a call that begins too late: error %v", err)
	}
	if _, err := expiring.Dial(ctx, &net.Dialer{}, clock, r.address()); !errors.Is(err, lease.ErrTooLate) {
		t.Fatalf("a connection for a call that begins too late: error %v", err)
	}
	c.Close()
	if n, _ := r.read(t); n != 0 {
		t.Fatalf("%d bytes arrived", n)
	}
}

// Guards against a call that was given up and is delivered when the path recovers.
func TestACallThatIsGivenUpIsNotDelivered(t *testing.T) {
	r := newReceiver(t)
	link, err := network.NewLink(r.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	clock := mono.System{}
	ctx := within(t.Context(), clock)
	c := dial(t, ctx, clock, link.Address())
	hear(t, c)
	link.SetHeld(true)
	if err := c.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("order")); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("an answer")
	}
	if took := time.Since(began); took > life+200*time.Millisecond {
		t.Fatalf("given up after %v", took)
	}
	c.Close()
	time.Sleep(50 * time.Millisecond)
	link.SetHeld(false)
	if n, _ := r.read(t); n != 0 {
		t.Fatalf("%d bytes arrived", n)
	}
}

// Guards against a paused process whose kernel goes on delivering: the receiver takes nothing until the call has ended.
func TestTheKernelGivesUpByTheEndOfACall(t *testing.T) {
	r := newReceiver(t)
	clock := mono.System{}
	ctx := within(t.Context(), clock)
	c := dial(t, ctx, clock, r.address())
	hear(t, c)
	if err := c.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Time{}); err != nil { // The process is paused, and its timers with it.
		t.Fatal(err)
	}
	const size = 32 << 20 // More than the buffers of both sides.
	go func() { _, _ = c.Write(make([]byte, size)) }()
	time.Sleep(2*life + 300*time.Millisecond)
	if n, err := r.read(t); err == nil || n == 0 || n == size {
		t.Fatalf("%d bytes arrived, error %v", n, err)
	}
}
