package gateway_test

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/gateway"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// openUnconfigured opens a session at a server that has no configuration yet, and returns the
// server's first line.
func openUnconfigured(t *testing.T, d *directory.Directory) <-chan string {
	t.Helper()
	server := gateway.NewServer(gateway.Options{
		Directory: d, Codec: newTextCaller, Clock: mono.System{}, Log: slog.New(slog.DiscardHandler), MaxSessions: 10,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		l.Close()
	})
	go server.Serve(ctx, l)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte("newest\n")); err != nil {
		t.Fatal(err)
	}
	reply := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(conn).ReadString('\n') // At the end of the stream, what has been received.
		reply <- strings.TrimSpace(line)
	}()
	return reply
}

// A caller reaches a VM that has just started, before the VM has read the configuration from the store.
// The caller must wait for it. Without the wait it was refused as if its database did not exist.
func TestSessionWaitsForFirstConfiguration(t *testing.T) {
	d := directory.New(topology.VM{ID: "vm"})
	reply := openUnconfigured(t, d)
	time.Sleep(100 * time.Millisecond)
	d.SetConfiguration(&directory.Configuration{Version: 1, Classes: map[string]directory.Class{"newest": {Database: "newest", Group: group}}})
	if got := <-reply; got != "welcome" {
		t.Fatalf("got %q", got)
	}
}

// The store is down when a VM starts. Its callers must be refused early enough to try another VM, and
// not with UnknownService: the VM does not know which databases exist.
func TestSessionIsRefusedWithoutConfiguration(t *testing.T) {
	if got := <-openUnconfigured(t, directory.New(topology.VM{ID: "vm"})); got != "refused Overloaded" {
		t.Fatalf("got %q", got)
	}
}
