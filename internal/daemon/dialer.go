package daemon

import (
	"context"
	"net"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/peers"
)

// keepAlive finds connections whose other end has gone without a word.
const keepAlive = 2 * time.Second

// mappedDialer dials the address that the settings map the wanted one to.
type mappedDialer struct {
	addresses map[string]string
	dialer    net.Dialer
}

func newDialer(addresses map[string]string) *mappedDialer {
	return &mappedDialer{addresses: addresses, dialer: net.Dialer{KeepAlive: keepAlive}}
}

// DialContext opens a connection.
func (d *mappedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if mapped, ok := d.addresses[address]; ok {
		address = mapped
	}
	return d.dialer.DialContext(ctx, network, address)
}

// platformDialer dials the platform; a type of its own for fx to tell it from the
// peers' dialer.
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
