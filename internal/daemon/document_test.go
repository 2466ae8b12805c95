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

// parts is in how many pieces a narrow link delivers an answer.
const parts = 20

// narrow answers each call with the message, which takes the time to come.
func narrow(t *testing.T, m proto.Message, takes time.Duration) *httptest.Server {
	t.Helper()
	raw, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for i := range parts {
			time.Sleep(takes / parts)
			_, _ = w.Write(raw[i*len(raw)/parts : (i+1)*len(raw)/parts])
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return server
}

var document = bytes.Repeat([]byte("x"), 200_000)

// The document in force is large, and the platform is behind a narrow link: its transfer takes longer
// than a call may be silent. Given up on the way and begun anew, it would never come into force here.
func TestALargeDocumentComesFromThePlatform(t *testing.T) {
	const timeout = 200 * time.Millisecond
	server := narrow(t, &platformpb.GetResponse{Found: true, Blob: document}, 4*timeout)
	p := newPlatform(Settings{PlatformURL: server.URL, PlatformTimeout: settings.Duration(timeout)}, &net.Dialer{})
	blob, found, err := p.Get(context.Background(), "document")
	if err != nil || !found || !bytes.Equal(blob, document) {
		t.Fatalf("%d bytes, found %v, %v", len(blob), found, err)
	}
}

// unobserved is a VM that learns nothing of others.
type unobserved struct{}

func (unobserved) Self() topology.VM           { return topology.VM{ID: "self"} }
func (unobserved) Observe(membership.Evidence) {}

// The same from another VM, which most daemons ask first.
func TestALargeDocumentComesFromAnotherVM(t *testing.T) {
	server := narrow(t, &peerpb.BlobResponse{Found: true, Blob: document}, 2*blobTimeout)
	keeper := &configKeeper{peers: peers.NewTable(&net.Dialer{}, unobserved{}, mono.System{})}
	vm := topology.VM{ID: "other", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	blob, ok := blobSource{keeper}.fromPeer(context.Background(), vm, "document")
	if !ok || !bytes.Equal(blob, document) {
		t.Fatalf("%d bytes, %v", len(blob), ok)
	}
}

// Another VM hangs: the next one is asked soon.
func TestAVMThatHangsIsNotWaitedFor(t *testing.T) {
	hangs, err := net.Listen("tcp", "127.0.0.1:0") // It opens connections, and answers nothing.
	if err != nil {
		t.Fatal(err)
	}
	defer hangs.Close()
	keeper := &configKeeper{peers: peers.NewTable(&net.Dialer{}, unobserved{}, mono.System{})}
	began := time.Now()
	vm := topology.VM{ID: "other", PeerAddress: hangs.Addr().String()}
	if _, ok := (blobSource{keeper}).fromPeer(context.Background(), vm, "document"); ok || time.Since(began) > 4*blobTimeout {
		t.Fatalf("%v after %v", ok, time.Since(began))
	}
}

// relayOnly is a VM that reads the platform for its data centre, and knows no other.
type relayOnly struct{}

func (relayOnly) IsRelay() bool         { return true }
func (relayOnly) Relays() []topology.VM { return nil }

// A VM starts and reads the rows of all groups, which takes longer over its link than the platform may be
// silent. Without them it serves nobody.
func TestAllRowsComeOverANarrowLink(t *testing.T) {
	rows := &platformpb.ScanResponse{Revision: 7}
	for i := range 1000 {
		rows.Rows = append(rows.Rows, &platformpb.Row{Key: fmt.Sprintf("group/%d", i), Value: bytes.Repeat([]byte("x"), 200), Revision: 7})
	}
	const timeout = time.Second
	server := narrow(t, rows, 2*timeout)
	p := newPlatform(Settings{PlatformURL: server.URL, PlatformTimeout: settings.Duration(timeout)}, &net.Dialer{})
	store := relay.NewStore(func([]platform.Row, time.Time) {})
	follower := &relay.Follower{Store: store, Table: p, Directory: relayOnly{}, Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithTimeout(context.Background(), 4*timeout)
	defer cancel()
	go follower.Run(ctx)
	for store.Revision() != 7 {
		if ctx.Err() != nil {
			t.Fatal("no row came")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
