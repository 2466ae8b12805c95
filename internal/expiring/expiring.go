// Package expiring opens TCP connections for calls that must not take effect late.
//
// A caller that gives up on a call does not recall what it has sent: the kernel goes on delivering it, for minutes
// behind a cut, even after the process has ended. If another VM has taken the caller's place meanwhile, the late call
// takes effect beside those of its successor. On a connection of this package nothing is written after the call's last
// moment to send; closing the connection in any way, also by the end of the process, discards what has not been
// delivered; and the kernel gives up delivering by the end of the call, also while the process is paused.
//
// None of this reaches what a proxy on the path has acknowledged. A call is therefore written only if the receiver has been
// heard from on its connection just before: a path that holds data up does not carry the answer either.
package expiring

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// kernelGranularity is how much earlier than the end of a call the kernel gives up, since its timers fire late.
const kernelGranularity = 10 * time.Millisecond

type limitsKey struct{}

// With returns a context with the limits of the calls that are made with it.
func With(ctx context.Context, l lease.Limits) context.Context {
	return context.WithValue(ctx, limitsKey{}, l)
}

// Conn is a connection on which calls expire. It is not safe for concurrent use, except for Close.
type Conn struct {
	*net.TCPConn
	clock mono.Clock
	// limits are those of the call in progress; zero means none.
	limits lease.Limits
	// asked is when the sender last wrote something, at first when the connection began to open. heard is when it had asked what
	// the receiver has answered last, or 0: the answer may have waited to be read while the process was paused.
	asked, heard mono.Time
}

// Dial connects to an address. The time until the connection is open counts towards the limits of the context's call.
func Dial(ctx context.Context, dialer *net.Dialer, clock mono.Clock, address string) (*Conn, error) {
	if l, ok := ctx.Value(limitsKey{}).(lease.Limits); ok {
		left := l.Send.Sub(clock.Now())
		if left <= 0 {
			return nil, lease.ErrTooLate
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	begun := clock.Now()
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		nc.Close()
		return nil, errors.Newf("expiring: %T is not a TCP connection", nc)
	}
	if err := tcp.SetLinger(0); err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "expiring")
	}
	return &Conn{TCPConn: tcp, clock: clock, asked: begun}, nil
}

// BeginInquiry starts a call that changes nothing and shows that the receiver is reached. It ends with the context's
// deadline or limits, like the call that follows it.
func (c *Conn) BeginInquiry(ctx context.Context) error {
	if err := c.Begin(ctx); err != nil {
		return err
	}
	c.limits = lease.Limits{}
	return nil
}

// Begin starts a call: the context's deadline and limits apply until the next one begins. It fails if the call's last
// moment to send has passed.
func (c *Conn) Begin(ctx context.Context) error {
	deadline, _ := ctx.Deadline() // The zero time sets no deadline.
	l, ok := ctx.Value(limitsKey{}).(lease.Limits)
	c.limits = l
	if !ok {
		return c.SetDeadline(deadline)
	}
	now := c.clock.Now()
	if now.After(l.Send) {
		return lease.ErrTooLate
	}
	left := l.End.Sub(now)
	if end := time.Now().Add(left); deadline.IsZero() || end.Before(deadline) {
		deadline = end
	}
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	return c.SetUserTimeout(left - kernelGranularity)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.heard = c.asked
	}
	return n, err
}

// Write implements net.Conn. It sends nothing after the call's last moment to send, nor if the receiver has not been heard
// from just before: the process may have been paused since Begin.
func (c *Conn) Write(b []byte) (int, error) {
	now := c.clock.Now()
	if c.limits != (lease.Limits{}) {
		if err := c.limits.Check(c.heard, now); err != nil {
			return 0, err
		}
	}
	c.asked = now
	return c.TCPConn.Write(b)
}

// HeardOn counts what was heard from the receiver on another connection, which it closes after each answer.
func (c *Conn) HeardOn(other *Conn) { c.heard = max(c.heard, other.heard) }

// SetUserTimeout sets how long sent data may stay unacknowledged before the kernel ends the connection.
func (c *Conn) SetUserTimeout(d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(d, time.Millisecond).Milliseconds()))
	})
	return errors.CombineErrors(err, failure)
}
