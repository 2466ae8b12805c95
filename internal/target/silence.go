package target

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the kernel ends
	// the connection. A request on a connection whose peer went silent would otherwise
	// hang forever.
	userTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect idle connections whose peer
	// went silent before a request is lost on one.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Dialer returns a dialer with TCP keep-alives that detect a silent peer within about two seconds.
func Dialer() net.Dialer {
	return net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
}

// LimitSilence sets TCP_USER_TIMEOUT, so that the kernel ends the connection when its peer
// acknowledges nothing. Errors are ignored: without the option each request still ends at its
// deadline, only later.
func LimitSilence(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
