package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// translator gives each machine an address at which the others reach it, so that datagrams between two zones can be
// dropped. Machines see each other under these addresses only.
type translator struct {
	bed *bed
	mu  sync.Mutex
	// sockets holds the socket of each machine's address, and real the machine by its own address.
	sockets map[*gateway]*net.UDPConn
	real    map[string]*gateway
	cutZone string
}

// connect sets the translation up. It must be called before the gateways start.
func (b *bed) connect() error {
	t := &translator{bed: b, sockets: map[*gateway]*net.UDPConn{}, real: map[string]*gateway{}}
	b.translator, b.store.aliases = t, map[string]string{}
	b.group.mu.Lock()
	b.group.owner = b.zoneOf
	b.group.mu.Unlock()
	listeners := map[*gateway]net.Listener{}
	for i, g := range b.gateways {
		address, err := freeAddress(ip(translatedAddress, i+1))
		if err != nil {
			return err
		}
		at, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			return err
		}
		if t.sockets[g], err = net.ListenUDP("udp4", at); err != nil {
			return err
		}
		if listeners[g], err = net.Listen("tcp", address); err != nil {
			return err
		}
		t.real[g.peer], b.store.aliases[g.peer] = g, address
	}
	for g, l := range listeners {
		go t.forward(g)
		go t.serve(l, g)
	}
	return nil
}

// cut reports whether two zones can't reach each other.
func (t *translator) cut(a, b string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return (a == t.cutZone) != (b == t.cutZone)
}

// forward forwards the datagrams that the other machines send to a machine.
func (t *translator) forward(to *gateway) {
	buf := make([]byte, 1<<16)
	real, err := net.ResolveUDPAddr("udp4", to.peer)
	if err != nil {
		return
	}
	for {
		n, source, err := t.sockets[to].ReadFromUDP(buf)
		if err != nil {
			return
		}
		from := t.real[source.String()]
		if from == nil || t.cut(from.zone, to.zone) {
			continue
		}
		_, _ = t.sockets[from].WriteToUDP(buf[:n], real)
	}
}

// serve forwards the connections that other machines open to a machine. Those between two zones are refused during a cut.
func (t *translator) serve(l net.Listener, to *gateway) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			if t.cut(t.bed.zoneOf(nc), to.zone) {
				return
			}
			out, err := net.Dial("tcp", to.peer)
			if err != nil {
				return
			}
			defer out.Close()
			go func() {
				_, _ = bufio.NewReader(out).WriteTo(nc)
				nc.Close()
			}()
			_, _ = bufio.NewReader(nc).WriteTo(out)
		}()
	}
}

// cutZone cuts a zone off from the others, and from the platform. With "" the cut ends.
func (b *bed) cutZone(zone string) {
	b.translator.mu.Lock()
	b.translator.cutZone = zone
	b.translator.mu.Unlock()
	b.group.mu.Lock()
	b.group.cutZone = zone
	b.group.mu.Unlock()
	for _, g := range b.gateways {
		g.storeLink.setCut(g.zone == zone)
		g.promotion.setCut(g.zone == zone)
	}
}

// zoneOf returns the zone of the gateway that opened a connection.
func (b *bed) zoneOf(nc net.Conn) string {
	for range 20 {
		if inode := socketInode(nc.RemoteAddr().String(), nc.LocalAddr().String()); inode != "" {
			for _, g := range b.gateways {
				if g.owns(inode) {
					return g.zone
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// socketInode returns the inode of the socket with the given ends.
func socketInode(local, remote string) string {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	l, r := procAddress(local), procAddress(remote)
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == l && fields[2] == r {
			return fields[9]
		}
	}
	return ""
}

// procAddress returns an address as /proc/net/tcp shows it.
func procAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	return strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", number)
}

// owns reports whether the gateway's process has the socket.
func (g *gateway) owns(inode string) bool {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	if cmd == nil {
		return false
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", cmd.Process.Pid))
	for _, f := range files {
		if name, err := os.Readlink(f); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
