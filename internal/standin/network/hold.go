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

// SetHeld makes the link hold what is sent on its connections, also on new ones, until it is released. Then what was
// held is delivered, also if the sender has closed the connection or its process has ended. It is lost only if the
// sender has reset the connection.
func (l *Link) SetHeld(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.heldBytes = 0
}

// HeldBytes returns how much data was held since SetHeld, lost or not.
func (l *Link) HeldBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldBytes
}

func (l *Link) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Link) noteHeld(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldBytes += n
}

// hold returns what arrives on a connection until the link is released, after the data that arrived first. Its error is
// io.EOF if the sender has closed the connection, and another one if the data is lost.
func (l *Link) hold(from net.Conn, first []byte) ([]byte, error) {
	all := slices.Clone(first)
	l.noteHeld(len(first))
	buf := make([]byte, 32<<10)
	var ended error
	for l.isHeld() {
		if ended != nil {
			time.Sleep(holdPollPeriod)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(holdPollPeriod))
		n, err := from.Read(buf)
		l.noteHeld(n)
		all = append(all, buf[:n]...)
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			return nil, err
		case errors.Is(err, io.EOF):
			ended = err
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
	_ = from.SetReadDeadline(time.Time{})
	return all, ended
}
