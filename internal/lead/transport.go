package lead

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"github.com/buckthornshore/buckthornshore/internal/contain"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
)

const (
	// maxDatagramBytes is the maximum size of a message.
	maxDatagramBytes = 60000
	// rowsPerMessage is the maximum number of rows in a message, with a margin for long rows.
	rowsPerMessage = 20
)

// Transport exchanges datagrams with other VMs. It uses datagrams because a connection may stop
// delivering without any error, and a late promise is of no use anyway.
type Transport struct {
	conn *net.UDPConn
	log  *slog.Logger
	// Metrics counts sent messages by kind; nil disables the counts.
	Metrics *metrics.Peers
}

// Listen opens the socket at address, in the form ip:port.
func Listen(address string, log *slog.Logger) (*Transport, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	return &Transport{conn: conn, log: log}, nil
}

// Send sends one message to each address. A failure is only logged, as the next renewal compensates
// for it. A message that no receiver would read in full is not sent.
func (t *Transport) Send(m *message, addresses ...string) {
	raw, err := encode(m)
	if err != nil {
		t.log.Error("event=message_not_encoded", "error", err)
		return
	}
	if len(raw) > maxDatagramBytes {
		t.log.Warn("event=message_too_large", "kind", m.Kind, "bytes", len(raw), "to", len(addresses))
		return
	}
	t.Metrics.Sent(m.Kind.String(), len(addresses), len(addresses)*len(raw))
	for _, address := range addresses {
		t.send(raw, address)
	}
}

func (t *Transport) send(raw []byte, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		t.log.Warn("event=peer_address_invalid", "address", address, "error", err)
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(raw, a); err != nil && !errors.Is(err, net.ErrClosed) {
		t.log.Debug("event=message_not_sent", "to", address, "error", err)
	}
}

// Serve passes each received message to handle until ctx ends.
func (t *Transport) Serve(ctx context.Context, handle func(from string, m *message)) {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Debug("event=message_not_received", "error", err)
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			t.log.Warn("event=message_malformed", "from", from, "error", err)
			continue
		}
		contain.Run(t.log, "peer_message", func() { handle(from.String(), m) })
	}
}
