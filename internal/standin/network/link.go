// Package network simulates the network between processes on one machine. Its links forward
// connections and datagrams and can be cut in one or both directions, delayed, silenced or reset.
package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link forwards TCP connections to a target unless it is cut. A cut link behaves like a network
// that drops packets: connections open, but no data arrives. It is safe for concurrent use.
type Link struct {
	faults
	target   string
	listener net.Listener
	// silent holds the connections that Silence stopped; new connections still deliver.
	silent  map[net.Conn]bool
	conns   map[net.Conn]net.Conn
	holding holding
}

// faults holds the active faults of a link.
type faults struct {
	mu  sync.Mutex
	cut bool
	// answersCut is set when only data from the target is dropped.
	answersCut bool
	delay      time.Duration
}

// NewLink listens on a free loopback port.
func NewLink(target string) (*Link, error) { return NewLinkAt(target, "127.0.0.1:0") }

// NewLinkAt listens on the address, ip:port.
func NewLinkAt(target, address string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, conns: map[net.Conn]net.Conn{}, silent: map[net.Conn]bool{}}
	go l.serve()
	return l, nil
}

// Address returns the address on which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

func (l *Link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serveConn(c)
	}
}

func (l *Link) serveConn(c net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c] = out
	l.mu.Unlock()
	go l.copy(out, c, func() bool { return l.drops(c, false) }, l.holds)
	l.copy(c, out, func() bool { return l.drops(c, true) }, func(int) bool { return false })
	c.Close()
	out.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.silent, c)
	l.mu.Unlock()
}

// drops reports whether data on connection c is dropped: data from the target if answers is
// set, otherwise data to it.
func (l *Link) drops(c net.Conn, answers bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || l.silent[c] || answers && l.answersCut
}

// copy forwards data until the connection ends, discards it while drops returns true, and holds it while holds does.
func (l *Link) copy(to io.WriteCloser, from net.Conn, drops func() bool, holds func(message int) bool) {
	buf := make([]byte, 32<<10)
	for message := 0; ; message++ {
		n, err := from.Read(buf)
		data := buf[:n]
		if err == nil && holds(message) {
			data, err = l.hold(from, message, data)
		}
		if drops() {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(l.currentDelay())
		if _, failed := to.Write(data); failed != nil {
			return
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// currentDelay returns the delay in each direction.
func (f *faults) currentDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// SetDelay sets the delay in each direction.
func (f *faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// SetCut cuts or restores the link. Bytes dropped while it was cut are missing
// from their streams, so restoring it closes the open connections.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && !cut {
		l.closeAll()
	}
	l.cut = cut
}

// SetAnswersCut cuts or restores the direction from the target only. Restoring it closes the
// open connections, as in SetCut.
func (l *Link) SetAnswersCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answersCut && !cut {
		l.closeAll()
	}
	l.answersCut = cut
}

// Silence makes the open connections drop all data without closing them.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.silent[c] = true
	}
}

// Reset closes the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeAll()
}

// closeAll closes the open connections. The caller must hold l.mu.
func (l *Link) closeAll() {
	for in, out := range l.conns {
		in.Close()
		out.Close()
	}
}

// Close closes the listener and the open connections.
func (l *Link) Close() {
	l.listener.Close()
	l.Reset()
}
