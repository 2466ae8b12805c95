package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// countedConn counts the bytes that a daemon sends and receives.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// member is the part of one daemon that spreads rows. Its directory is fixed.
type member struct {
	vm       topology.VM
	relays   []topology.VM
	relay    bool
	bytes    atomic.Int64
	store    *relay.Store
	received chan time.Time
}

func (m *member) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return countedConn{c, &m.bytes}, err
}
func (m *member) Self() topology.VM                { return m.vm }
func (m *member) Observe(membership.Evidence)      {}
func (m *member) IsRelay() bool                    { return m.relay }
func (m *member) Relays() []topology.VM            { return m.relays }
func (m *member) onRows([]platform.Row, time.Time) { m.received <- time.Now() }

// countedTable counts the reads of the platform.
type countedTable struct {
	*platform.Memory
	reads atomic.Int64
}

func (t *countedTable) Scan(ctx context.Context, prefix string, since uint64) ([]platform.Row, uint64, error) {
	t.reads.Add(1)
	return t.Memory.Scan(ctx, prefix, since)
}

// dataCentre is a data centre of daemons, some of them relays, with the platform's table.
type dataCentre struct {
	table   *countedTable
	members []*member
	servers []*http.Server
}

func newDataCentre(ctx context.Context, n, relays int) *dataCentre {
	c := &dataCentre{table: &countedTable{Memory: platform.NewMemory()}}
	var addresses []topology.VM
	for i := range n {
		m := &member{vm: topology.VM{ID: topology.VMID(fmt.Sprint("vm-", i)), DataCentre: "a", Incarnation: 1}, received: make(chan time.Time, 1024)}
		m.store = relay.NewStore(m.onRows)
		c.members = append(c.members, m)
		if m.relay = i < relays; m.relay {
			m.vm.PeerAddress = c.serve(m)
			addresses = append(addresses, m.vm)
		}
	}
	for i, m := range c.members {
		at := i % len(addresses)
		m.relays = slices.Concat(addresses[at:], addresses[:at])
		f := &relay.Follower{
			Self: m.vm, Store: m.store, Table: c.table, Directory: m,
			Peers: peers.NewTable(m, m, mono.System{}), Log: slog.New(slog.DiscardHandler),
		}
		go f.Run(ctx)
	}
	return c
}

// serve answers watches on a listener whose bytes are counted as the relay's.
func (c *dataCentre) serve(m *member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	handler := peerpb.NewRelayServer(relay.NewServer(m.store, c.table))
	server := &http.Server{Handler: peers.Handler(handler, m, mono.System{}), ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(countedListener{l, m}) }()
	return l.Addr().String()
}

type countedListener struct {
	net.Listener
	m *member
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, &l.m.bytes}, err
}

// change commits a row and returns how long each member took to receive it, in sorted order.
func (c *dataCentre) change(n int) (took []time.Duration) {
	value, _ := json.Marshal(n)
	began := time.Now()
	_, err := c.table.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: "config/preset", Value: value}}})
	Expect(err).NotTo(HaveOccurred())
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range c.members {
		wait.Add(1)
		go func() {
			defer wait.Done()
			at := <-m.received
			mu.Lock()
			defer mu.Unlock()
			took = append(took, at.Sub(began))
		}()
	}
	wait.Wait()
	slices.Sort(took)
	return took
}

var _ = Describe("Spreading", func() {
	// Guards against a change that does not reach every daemon because both relays of its data centre fail
	// at once: the daemons that watched them read the platform themselves, until membership gives
	// them other relays.
	It("goes on when both relays die at once", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newDataCentre(ctx, 10, 2)
		c.change(1)
		for _, s := range c.servers {
			Expect(s.Close()).To(Succeed())
		}
		Expect(c.change(2)).To(HaveLen(10))
	})

	It("is measured", func() {
		size, relays := 20, 2
		if n, err := strconv.Atoi(os.Getenv("BTS_MEMBERS")); err == nil {
			size = n
		}
		if n, err := strconv.Atoi(os.Getenv("BTS_RELAYS")); err == nil {
			relays = n
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newDataCentre(ctx, size, relays)
		c.change(0)
		sum := func(relay bool) (total int64, count int64) {
			for _, m := range c.members {
				if m.relay == relay {
					total, count = total+m.bytes.Load(), count+1
				}
			}
			return total, count
		}
		relayBefore, _ := sum(true)
		otherBefore, _ := sum(false)
		reads := c.table.reads.Load()
		const window = 6 * time.Second
		time.Sleep(window)
		relayAfter, relayCount := sum(true)
		otherAfter, otherCount := sum(false)
		seconds := int64(window / time.Second)
		var took []time.Duration
		for n := range 5 {
			took = append(took, c.change(n+1)...)
		}
		slices.Sort(took)
		GinkgoWriter.Printf("members %d relays %d: relay %d B/s, other %d B/s, reads %.1f/s, in force p50 %v max %v\n",
			size, relays, (relayAfter-relayBefore)/seconds/relayCount, (otherAfter-otherBefore)/seconds/otherCount,
			float64(c.table.reads.Load()-reads)/float64(seconds), took[len(took)/2], took[len(took)-1])
	})
})
