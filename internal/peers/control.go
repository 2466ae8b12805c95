package peers

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Times after which a connection of the failover messages counts as silent: no
// frame for quietBeforePing, then no answer to a ping for pingTimeout.
//
// Failure: something between two VMs has lost track of the connection. Its
// heartbeats stay unanswered, and a promoter that is well would leave the list
// after 700 ms. The connection is given up after 450, so the third heartbeat goes
// out on a new one in time.
const (
	quietBeforePing = 300 * time.Millisecond
	pingTimeout     = 150 * time.Millisecond
)

// Protocols are what a peers' server speaks: HTTP/2 for the failover messages.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// controlTransport carries the failover messages over HTTP/2: each goes four
// times a second to every VM that shares a group, and HTTP/1 would repeat the
// same headers, four fifths of the bytes, each time.
func controlTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        dial,
		IdleConnTimeout:    idleConnTimeout,
		DisableCompression: true,
		Protocols:          p,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: quietBeforePing, PingTimeout: pingTimeout},
	}
}
