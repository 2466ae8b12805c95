package integration_test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay forwards TCP connections. stall stops forwarding on the open connections
// without closing them, as a firewall or NAT device does that has lost their state;
// cut closes them. New connections work in both cases.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	ends    [2]net.Conn
	stalled chan struct{}
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, target: target}
	go r.serve()
	DeferCleanup(func() { l.Close(); r.cut() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		c := &relayedConn{ends: [2]net.Conn{in, out}, stalled: make(chan struct{})}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.forward(in, out)
		go c.forward(out, in)
	}
}

func (c *relayedConn) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.stalled:
			_, _ = io.Copy(io.Discard, from) // Accept the bytes and drop them.
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

func (r *relay) takeConns() []*relayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns := r.conns
	r.conns = nil
	return conns
}

func (r *relay) stall() {
	for _, c := range r.takeConns() {
		close(c.stalled)
	}
}

func (r *relay) cut() {
	for _, c := range r.takeConns() {
		c.ends[0].Close()
		c.ends[1].Close()
	}
}
