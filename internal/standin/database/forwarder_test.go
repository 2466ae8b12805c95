package database_test

import (
	"io"
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// forwarder forwards connections to an address. Silenced connections stay open
// but deliver nothing.
type forwarder struct {
	listener   net.Listener
	target     string
	generation atomic.Int64
}

func newForwarder(target string) *forwarder {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	f := &forwarder{listener: l, target: target}
	go f.run()
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

// silence stops delivery on the open connections; later ones work.
func (f *forwarder) silence() { f.generation.Add(1) }

func (f *forwarder) run() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.target)
		if err != nil {
			in.Close()
			continue
		}
		generation := f.generation.Load()
		go f.forward(in, out, generation)
		go f.forward(out, in, generation)
	}
}

func (f *forwarder) forward(from, to net.Conn, generation int64) {
	// After silence, a close of one side is not forwarded either.
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
