package integration_test

import (
	"io"
	"net"
	"net/url"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// platformDC stands for the platform's place, which is in no data centre.
const platformDC topology.DataCentre = "platform"

// link forwards TCP between two data centres until it is cut. A cut link is
// silent, as a network that drops packets: connections open and nothing comes.
type link struct {
	from, to topology.DataCentre
	target   string
	listener net.Listener

	mu  sync.Mutex
	cut bool
	// answersCut: only what comes back is swallowed.
	answersCut bool
	// silent are connections that deliver nothing any more, though new ones do.
	silent map[net.Conn]bool
	delay  time.Duration
	conns  map[net.Conn]net.Conn
}

func newLink(from, to topology.DataCentre, target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := &link{from: from, to: to, target: target, listener: listener, conns: map[net.Conn]net.Conn{}, silent: map[net.Conn]bool{}}
	go l.serve()
	DeferCleanup(l.close)
	return l
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(c)
	}
}

func (l *link) join(c net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c] = out
	l.mu.Unlock()
	go l.copy(out, c, func() bool { return l.swallows(c, false) })
	l.copy(c, out, func() bool { return l.swallows(c, true) })
	c.Close()
	out.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.silent, c)
	l.mu.Unlock()
}

// swallows reports whether what a connection carries, or what is answered on it, is lost.
func (l *link) swallows(c net.Conn, answers bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || l.silent[c] || answers && l.answersCut
}

// copy forwards until the end, but for what is to be swallowed.
func (l *link) copy(to io.WriteCloser, from io.Reader, swallows func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !swallows() {
				to.Close()
			}
			return
		}
		if swallows() {
			continue
		}
		time.Sleep(l.delayed())
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// delayed is how long what comes is held back, one way.
func (l *link) delayed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// setCut cuts or heals the link. Bytes swallowed while it was cut are missing
// from their streams, so healing ends the connections of that time.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && !cut {
		l.closeAll()
	}
	l.cut = cut
}

// setAnswersCut cuts or heals the way back only.
func (l *link) setAnswersCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answersCut && !cut {
		l.closeAll()
	}
	l.answersCut = cut
}

// silence has the open connections deliver nothing any more, without a reset.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.silent[c] = true
	}
}

// reset breaks the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeAll()
}

// closeAll closes the open connections; the caller holds the lock.
func (l *link) closeAll() {
	for in, out := range l.conns {
		in.Close()
		out.Close()
	}
}

func (l *link) close() {
	l.listener.Close()
	l.reset()
}

// linkAll puts a link between each proxy and everything outside its data centre.
func (d *deployment) linkAll() {
	places := map[string]topology.DataCentre{}
	for _, p := range d.plans {
		places[p.PeerAddress] = p.DataCentre
	}
	for _, g := range d.doc.Groups {
		for _, t := range g.Targets {
			places[t.Address] = t.DataCentre
		}
	}
	u, err := url.Parse(d.url)
	Expect(err).NotTo(HaveOccurred())
	places[u.Host] = platformDC
	byPair := map[[2]string]*link{}
	for i := range d.plans {
		p := &d.plans[i]
		p.AddressMap = map[string]string{}
		for address, dc := range places {
			if dc == p.DataCentre {
				continue
			}
			key := [2]string{string(p.DataCentre), address}
			if byPair[key] == nil {
				byPair[key] = newLink(p.DataCentre, dc, address)
				d.links = append(d.links, byPair[key])
			}
			p.AddressMap[address] = byPair[key].listener.Addr().String()
		}
	}
}

// cutBetween cuts or heals what goes between a data centre and the others that
// match, in both directions.
func (d *deployment) cutBetween(dc topology.DataCentre, other func(topology.DataCentre) bool, cut bool) {
	for _, l := range d.links {
		if (l.from == dc && other(l.to)) || (l.to == dc && other(l.from)) {
			l.setCut(cut)
		}
	}
}

// delayLinks holds back everything between data centres, one way.
func (d *deployment) delayLinks(delay time.Duration) {
	for _, l := range d.links {
		l.setDelay(delay)
	}
}

func isPlatform(dc topology.DataCentre) bool  { return dc == platformDC }
func notPlatform(dc topology.DataCentre) bool { return dc != platformDC }
func anywhere(topology.DataCentre) bool       { return true }
