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

	// ServicePeers, ServicePlatform and ServiceTargets are who a daemon speaks to.
	// Requests and control share the connections to peers and targets, so only
	// the figures of a daemon at rest are control alone.
	ServicePeers    = "peers"
	ServicePlatform = "platform"
	ServiceTargets  = "targets"
)

// Traffic counts the bytes of connections. A nil Traffic counts nothing.
type Traffic struct{ root tally.Scope }

// NewTraffic returns a recorder of the registry.
func NewTraffic(r *Registry) *Traffic { return &Traffic{root: r.scope} }

// Conn counts what passes over a connection to a service.
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

// Listener counts what passes over the connections that a listener accepts.
func (t *Traffic) Listener(service string, l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t, service: service}
}

// countedConn counts bytes as the socket takes and gives them, headers of HTTP
// included and those of TCP and IP not.
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
