package network

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// holdPollPeriod is how often a link that holds data looks whether it was released.
const holdPollPeriod = 5 * time.Millisecond

// holding is how a link holds what is sent to its target.
type holding struct {
	// on is set while the link holds data, and from is the number of messages of each connection that it passes before.
	on   bool
	from int
	// ignoresResets is set if the link delivers what it holds although the sender has reset the connection.
	ignoresResets bool
	// bytes counts the data that was held.
	bytes int
}

// SetHeld makes the link hold what is sent on its connections, also on new ones, until it is released. Then what was
// held is delivered, also if the sender has closed the connection or its process has ended. It is lost only if the
// sender has reset the connection.
func (l *Link) SetHeld(held bool) { l.setHolding(holding{on: held}) }

// HoldFrom is like SetHeld, but passes the first messages of each connection: what arrives until the link reads is a message.
func (l *Link) HoldFrom(message int) { l.setHolding(holding{on: true, from: message}) }

func (l *Link) setHolding(h holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.ignoresResets = l.holding.ignoresResets
	l.holding = h
}

// SetIgnoresResets sets whether the link delivers what it holds although the sender has reset the connection, as a proxy
// does that has already passed it on.
func (l *Link) SetIgnoresResets(ignores bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding.ignoresResets = ignores
}

// HeldBytes returns how much data was held since SetHeld, lost or not.
func (l *Link) HeldBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.bytes
}

// holds reports whether the link holds a message of a connection, the first of which is number 0.
func (l *Link) holds(message int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.on && message >= l.holding.from
}

func (l *Link) ignoresResets() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.ignoresResets
}

func (l *Link) noteHeld(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding.bytes += n
}

// hold returns what arrives on a connection until the link is released, after the message that arrived first. Its error is
// io.EOF if the sender has closed the connection, and another one if the data is lost.
func (l *Link) hold(from net.Conn, message int, first []byte) ([]byte, error) {
	all := slices.Clone(first)
	l.noteHeld(len(first))
	buf := make([]byte, 32<<10)
	var ended error
	for l.holds(message) {
		if ended != nil {
			time.Sleep(holdPollPeriod)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(holdPollPeriod))
		n, err := from.Read(buf)
		l.noteHeld(n)
		all = append(all, buf[:n]...)
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET) && l.ignoresResets():
			ended = io.EOF
		case errors.Is(err, syscall.ECONNRESET):
			return nil, err
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
	_ = from.SetReadDeadline(time.Time{})
	return all, ended
}
