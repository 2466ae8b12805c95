package daemon

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// chunks is the number of pieces in which the slow server sends a response.
const chunks = 20

// newSlowServer starts a server that responds to each call with the message and spreads it
// over the given time, as a slow link does.
func newSlowServer(t *testing.T, m proto.Message, duration time.Duration) *httptest.Server {
	t.Helper()
	raw, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for i := range chunks {
			time.Sleep(duration / chunks)
			_, _ = w.Write(raw[i*len(raw)/chunks : (i+1)*len(raw)/chunks])
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return server
}

var document = bytes.Repeat([]byte("x"), 200_000)

// Guards against a timeout for the whole transfer of a document. Over a slow link to the platform a large
// document takes longer than the platform timeout; if it were aborted and restarted each time, it would
// never come into force.
func TestLargeDocumentFromPlatformOutlastsTimeout(t *testing.T) {
	const timeout = 200 * time.Millisecond
	server := newSlowServer(t, &platformpb.GetResponse{Found: true, Blob: document}, 4*timeout)
	p := newPlatform(Settings{PlatformURL: server.URL, PlatformTimeout: settings.Duration(timeout)}, &net.Dialer{})
	blob, found, err := p.Get(context.Background(), "document")
	if err != nil || !found || !bytes.Equal(blob, document) {
		t.Fatalf("%d bytes, found %v, %v", len(blob), found, err)
	}
}

// noEvidenceDirectory is a directory that ignores evidence about other VMs.
type noEvidenceDirectory struct{}

func (noEvidenceDirectory) Self() topology.VM           { return topology.VM{ID: "self"} }
func (noEvidenceDirectory) Observe(membership.Evidence) {}

// Guards against the same failure when the document comes from another VM, the first source for most
// daemons.
func TestLargeDocumentFromPeerOutlastsTimeout(t *testing.T) {
	server := newSlowServer(t, &peerpb.BlobResponse{Found: true, Blob: document}, 2*blobTimeout)
	updater := &configUpdater{peers: peers.NewTable(&net.Dialer{}, noEvidenceDirectory{}, mono.System{})}
	vm := topology.VM{ID: "other", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	blob, ok := blobSource{updater}.fromPeer(context.Background(), vm, "document")
	if !ok || !bytes.Equal(blob, document) {
		t.Fatalf("%d bytes, %v", len(blob), ok)
	}
}

// Guards against a hung peer that delays a change: the call must end after blobTimeout without data, so
// that the next VM can be asked.
func TestDocumentRequestToHungPeerTimesOut(t *testing.T) {
	hung, err := net.Listen("tcp", "127.0.0.1:0") // The kernel accepts connections, but no request is answered.
	if err != nil {
		t.Fatal(err)
	}
	defer hung.Close()
	updater := &configUpdater{peers: peers.NewTable(&net.Dialer{}, noEvidenceDirectory{}, mono.System{})}
	start := time.Now()
	vm := topology.VM{ID: "other", PeerAddress: hung.Addr().String()}
	if _, ok := (blobSource{updater}).fromPeer(context.Background(), vm, "document"); ok || time.Since(start) > 4*blobTimeout {
		t.Fatalf("%v after %v", ok, time.Since(start))
	}
}

// loneRelayDirectory is the directory of a VM that is a relay and knows no other relay.
type loneRelayDirectory struct{}

func (loneRelayDirectory) IsRelay() bool         { return true }
func (loneRelayDirectory) Relays() []topology.VM { return nil }

// Guards against a timeout for the whole initial scan. Over a slow link a starting VM takes longer than the
// platform timeout to read the rows of all groups, and without them it can't serve callers.
func TestInitialScanOverSlowLinkOutlastsTimeout(t *testing.T) {
	rows := &platformpb.ScanResponse{Revision: 7}
	for i := range 1000 {
		rows.Rows = append(rows.Rows, &platformpb.Row{Key: fmt.Sprintf("group/%d", i), Value: bytes.Repeat([]byte("x"), 200), Revision: 7})
	}
	const timeout = time.Second
	server := newSlowServer(t, rows, 2*timeout)
	p := newPlatform(Settings{PlatformURL: server.URL, PlatformTimeout: settings.Duration(timeout)}, &net.Dialer{})
	store := relay.NewStore(func([]platform.Row, time.Time) {})
	follower := &relay.Follower{Store: store, Table: p, Directory: loneRelayDirectory{}, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithTimeout(context.Background(), 4*timeout)
	defer cancel()
	go follower.Run(ctx)
	for store.Revision() != 7 {
		if ctx.Err() != nil {
			t.Fatal("no row arrived in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
