package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/stall"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// Limits of the connections to one VM.
const (
	// idleConnTimeout is short so that a connection that goes silent while idle is
	// closed before a request can be lost on it.
	idleConnTimeout     = 2 * time.Second
	maxIdleConnsPerPeer = 256
	dialTimeout         = 500 * time.Millisecond
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client holds the clients of the services of one VM.
type Client struct {
	peerpb.Pooler
	peerpb.Relay
	peerpb.Failover
	peerpb.Admin
	// Fresh opens a connection for each call, which distinguishes a silent
	// connection from a VM that does not answer.
	Fresh     peerpb.Pooler
	transport *http.Transport
}

// CloseIdle closes the idle connections. It is called after one of them has gone
// silent.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Table creates and caches clients by address. It is safe for concurrent use.
type Table struct {
	dialer   Dialer
	observer Observer
	clock    mono.Clock

	mu      sync.Mutex
	clients map[string]*Client
	// local is this VM's own pooler, which serves localAddress. If it is nil, calls to
	// localAddress use the network, too.
	local        peerpb.Pooler
	localAddress string
}

// NewTable returns an empty table.
func NewTable(d Dialer, o Observer, clock mono.Clock) *Table {
	return &Table{dialer: d, observer: o, clock: clock, clients: map[string]*Client{}}
}

// Get returns the client of a VM.
func (t *Table) Get(vm topology.VM) *Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clients[vm.PeerAddress]
	if c == nil {
		c = t.make(vm)
		t.clients[vm.PeerAddress] = c
	}
	return c
}

// Seed returns a client for an address whose VM is not known yet. It is not the client
// that Get returns: a failure of its calls is evidence against no VM.
func (t *Table) Seed(address string) *Client { return t.make(topology.VM{PeerAddress: address}) }

func (t *Table) make(vm topology.VM) *Client {
	transport := t.transport()
	fresh := t.transport()
	fresh.DisableKeepAlives = true
	client := t.client(vm, transport)
	base := "http://" + vm.PeerAddress
	c := &Client{
		Pooler:    peerpb.NewPoolerProtobufClient(base, client),
		Relay:     peerpb.NewRelayProtobufClient(base, client),
		Failover:  peerpb.NewFailoverProtobufClient(base, client),
		Admin:     peerpb.NewAdminProtobufClient(base, client),
		Fresh:     peerpb.NewPoolerProtobufClient(base, t.client(vm, fresh)),
		transport: transport,
	}
	if t.local != nil && vm.PeerAddress == t.localAddress {
		c.Pooler, c.Fresh = t.local, t.local
	}
	return c
}

func (t *Table) client(vm topology.VM, transport *http.Transport) *http.Client {
	return &http.Client{Transport: &observingTransport{
		next:     &stall.Transport{Base: transport},
		vm:       vm.ID,
		observer: t.observer,
		clock:    t.clock,
	}}
}

func (t *Table) transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return t.dialer.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Forget drops the clients of addresses that are not in keep.
func (t *Table) Forget(keep map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, c := range t.clients {
		if !keep[address] {
			c.CloseIdle()
			delete(t.clients, address)
		}
	}
}
