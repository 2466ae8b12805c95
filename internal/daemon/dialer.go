package daemon

import (
	"context"
	"net"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
)

// keepAlivePeriod is the interval of TCP keep-alive probes, which detect connections whose
// peer has gone without closing them.
const keepAlivePeriod = 2 * time.Second

// mappedDialer replaces addresses as the settings' address_map says and dials the
// result.
type mappedDialer struct {
	addresses map[string]string
	dialer    net.Dialer
}

func newDialer(addresses map[string]string) *mappedDialer {
	return &mappedDialer{addresses: addresses, dialer: net.Dialer{KeepAlive: keepAlivePeriod}}
}

// DialContext opens a connection.
func (d *mappedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if mapped, ok := d.addresses[address]; ok {
		address = mapped
	}
	return d.dialer.DialContext(ctx, network, address)
}

// platformDialer dials the platform. It is a distinct type so that fx can tell it
// from the peers' dialer.
type platformDialer peers.Dialer

// countedDialer counts the bytes of the connections that it opens.
type countedDialer struct {
	next    *mappedDialer
	traffic *metrics.Traffic
	service string
}

// DialContext opens a connection.
func (d *countedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.next.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.traffic.Conn(d.service, c), nil
}
