package database_test

import (
	"io"
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// forwarder carries connections to an address until they are silenced; then
// they stay open and carry nothing.
type forwarder struct {
	listener   net.Listener
	to         string
	generation atomic.Int64
}

func newForwarder(to string) *forwarder {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	f := &forwarder{listener: l, to: to}
	go f.run()
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

// silence mutes the connections of now; later ones work.
func (f *forwarder) silence() { f.generation.Add(1) }

func (f *forwarder) run() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.to)
		if err != nil {
			in.Close()
			continue
		}
		generation := f.generation.Load()
		go f.carry(in, out, generation)
		go f.carry(out, in, generation)
	}
}

func (f *forwarder) carry(from, to net.Conn, generation int64) {
	// The end of one side is not passed on after the silence began.
	defer func() {
		if f.generation.Load() == generation {
			to.Close()
		}
	}()
	muted := writerFunc(func(p []byte) (int, error) {
		if f.generation.Load() != generation {
			return len(p), nil
		}
		return to.Write(p)
	})
	_, _ = io.Copy(muted, from)
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
