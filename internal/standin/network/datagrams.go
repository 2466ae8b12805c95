package network

import (
	"net"
	"time"
)

// Datagrams forwards UDP datagrams from one sender to a target, and the answers back, unless
// it is cut. It is safe for concurrent use.
type Datagrams struct {
	faults
	in, out *net.UDPConn
	// sender is the source of the last datagram; answers are sent to it.
	sender *net.UDPAddr
	done   chan struct{}
}

// maxDatagram is the size of the read buffer in bytes, larger than any UDP datagram.
const maxDatagram = 1 << 16

// NewDatagrams listens on a free loopback port.
func NewDatagrams(target string) (*Datagrams, error) { return NewDatagramsAt(target, "127.0.0.1:0") }

// NewDatagramsAt listens on the address, ip:port.
func NewDatagramsAt(target, address string) (*Datagrams, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	in, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	out, err := net.DialUDP("udp4", nil, to)
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	d := &Datagrams{in: in, out: out, done: make(chan struct{})}
	go d.forward()
	go d.forwardAnswers()
	return d, nil
}

// Address returns the address on which the link receives datagrams.
func (d *Datagrams) Address() string { return d.in.LocalAddr().String() }

func (d *Datagrams) forward() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.sender = from
		d.mu.Unlock()
		d.sendDelayed(buf[:n], false, func(b []byte) { _, _ = d.out.Write(b) }) // An error means loss, which UDP allows.
	}
}

func (d *Datagrams) forwardAnswers() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := d.out.Read(buf)
		select {
		case <-d.done:
			return
		default:
		}
		if err != nil {
			time.Sleep(time.Millisecond) // No process listens on the target at present.
			continue
		}
		d.sendDelayed(buf[:n], true, func(b []byte) {
			d.mu.Lock()
			to := d.sender
			d.mu.Unlock()
			_, _ = d.in.WriteToUDP(b, to)
		})
	}
}

// sendDelayed sends a copy of a datagram after the delay, unless the link drops it.
func (d *Datagrams) sendDelayed(raw []byte, answer bool, send func([]byte)) {
	d.mu.Lock()
	dropped, delay := d.cut || answer && d.answersCut, d.delay
	d.mu.Unlock()
	if dropped {
		return
	}
	b := append([]byte(nil), raw...)
	if delay == 0 {
		send(b)
		return
	}
	time.AfterFunc(delay, func() { send(b) })
}

// SetCut cuts or restores the link.
func (d *Datagrams) SetCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
}

// SetAnswersCut cuts or restores the direction from the target only.
func (d *Datagrams) SetAnswersCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answersCut = cut
}

// Close closes the sockets of the link.
func (d *Datagrams) Close() {
	close(d.done)
	_ = d.in.Close()
	_ = d.out.Close()
}
