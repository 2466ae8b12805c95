package daemon

import (
	"context"
	"net"
	"time"
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
