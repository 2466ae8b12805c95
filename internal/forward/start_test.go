package forward_test

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/forward"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// countedListener counts what its connections send, in bytes.
type countedListener struct {
	net.Listener
	written *int
}

type countedConn struct {
	net.Conn
	written *int
}

func (l countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return countedConn{nc, l.written}, err
}

func (c countedConn) Write(p []byte) (int, error) {
	*c.written += len(p)
	return c.Conn.Write(p)
}

// serveRows starts a VM that has rows of the targets of some VMs, and returns its address.
func serveRows(t *testing.T, vms int, listedAt mono.Time, written *int) string {
	t.Helper()
	d := directory.New(topology.VM{ID: "vm-1"})
	var rows []metastore.Row
	for i := range 3 * vms {
		value := fmt.Sprintf(`{"service":"quota-ledger-%d","address":"10.%d.%d.9:7001","zone":"hall-%d","state":"ready","slots":2,"db_role":"replica","seq":%d}`, i/3, i/200, i%200, i%3, i)
		rows = append(rows, metastore.Row{Key: fmt.Sprintf("i-%08x", 7919*i), Value: []byte(value), Version: metastore.Version{Era: 2, Number: uint64(i + 1)}})
	}
	version := metastore.Version{Era: 2, Number: uint64(len(rows))}
	d.Relay().SetSnapshot(directory.Registrations, rows, version)
	d.Relay().NoteListing(directory.Registrations, version, true, listedAt)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &forward.Server{Directory: d, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler)}
	go s.Serve(t.Context(), countedListener{l, written})
	return l.Addr().String()
}

// Guards against a start that fills the links of the VMs that send the rows: they are sent once, compressed.
func TestAllRowsComeCompressed(t *testing.T) {
	for _, vms := range []int{30, 100, 300} {
		written := 0
		address := serveRows(t, vms, mono.System{}.Now(), &written)
		snapshot, _, err := forward.FetchAll(t.Context(), address, directory.Registrations, "127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		if len(snapshot.Rows) != 3*vms || snapshot.Version != (metastore.Version{Era: 2, Number: uint64(3 * vms)}) || snapshot.Rows[0].Version.Era != 2 {
			t.Fatalf("%d rows as of %v", len(snapshot.Rows), snapshot.Version)
		}
		if limit := snapshot.Size() / 3; written > limit {
			t.Errorf("%d VMs: %d bytes sent for rows of %d", vms, written, snapshot.Size())
		}
	}
}

// Guards against a VM that starts with rows that were up to date long ago.
func TestOutdatedRowsAreNotSent(t *testing.T) {
	written := 0
	address := serveRows(t, 3, mono.System{}.Now().Add(-time.Minute), &written)
	if _, _, err := forward.FetchAll(t.Context(), address, directory.Registrations, ""); err == nil {
		t.Fatal("the rows were sent")
	}
}
