package metrics

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// Names of the traffic metrics.
const (
	ControlBytesSent     = "control_bytes_sent"
	ControlBytesReceived = "control_bytes_received"
	ControlConnections   = "control_connections"

	TagService = "service"

	// ServicePeers, ServicePlatform and ServiceTargets are the services that a daemon
	// connects to. Requests and control traffic share the connections to peers and
	// targets, so the metrics show control traffic alone only while a daemon serves
	// no requests.
	ServicePeers    = "peers"
	ServicePlatform = "platform"
	ServiceTargets  = "targets"
)

// Traffic counts the bytes of connections. A nil Traffic counts nothing.
type Traffic struct{ root tally.Scope }

// NewTraffic returns a recorder that reports to the registry.
func NewTraffic(r *Registry) *Traffic { return &Traffic{root: r.scope} }

// Conn wraps a connection to a service and counts the bytes that pass over it.
func (t *Traffic) Conn(service string, c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	scope := t.root.Tagged(map[string]string{TagService: service})
	scope.Counter(ControlConnections).Inc(1)
	return &countedConn{
		Conn:     c,
		sent:     scope.Counter(ControlBytesSent),
		received: scope.Counter(ControlBytesReceived),
	}
}

// Listener wraps a listener and counts the bytes that pass over the connections that
// it accepts.
func (t *Traffic) Listener(service string, l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t, service: service}
}

// countedConn counts bytes at the socket: HTTP headers are included, TCP and IP
// headers are not.
type countedConn struct {
	net.Conn
	sent     tally.Counter
	received tally.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Inc(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
	service string
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(l.service, c), nil
}
