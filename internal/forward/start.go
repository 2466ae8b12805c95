package forward

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// allRows marks, in a request for rows, that the answer is a startResponse. A build that does not know
	// it knows no such feed and refuses.
	allRows directory.Feed = 1 << 7
	// startTimeout bounds a request for all rows, of which several may share a narrow link.
	startTimeout = 3 * time.Second
	// maxStartsAtOnce is how many VMs that start are sent rows at the same time. Others are referred to VMs
	// that have them already, so that the work doubles with each round instead of waiting for one link.
	maxStartsAtOnce = 4
	// referralsKept is how many VMs that have the rows a VM remembers, by feed, and referralsSent how many
	// of them it names.
	referralsKept = 32
	referralsSent = 4
	// maxStartBytes bounds the rows in bytes after decompression.
	maxStartBytes = 64 << 20
)

// rowsKind is the kind of messages with all rows in the metrics.
const rowsKind = "rows"

// startResponse answers a request for all rows.
type startResponse struct {
	// Packed is the compressed snapshot.
	Packed []byte `msgpack:"k"`
	// Elsewhere are the addresses of VMs that have the rows, if this one is busy.
	Elsewhere []string      `msgpack:"e"`
	Failure   *result.Error `msgpack:"f"`
}

// FetchAll returns all rows of a feed as another VM has them, or the addresses of VMs to ask in its place.
// own is the address at which this VM passes the rows on.
func FetchAll(ctx context.Context, address string, f directory.Feed, own string) (directory.Snapshot, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return fetchSince(ctx, address, f, anyVersion, own)
}

// fetchSince is FetchAll for the rows as of a version or a later one. With anyVersion the other VM sends what it
// has if it knows that to be up to date.
func fetchSince(ctx context.Context, address string, f directory.Feed, version metastore.Version, own string) (directory.Snapshot, []string, error) {
	o := openRequest{Target: topology.TargetID(own), Rows: &rowsRequest{Feed: f | allRows, Version: version, Era: version.Era}}
	var a startResponse
	if err := requestRows(ctx, address, o, &a); err != nil {
		return directory.Snapshot{}, nil, err
	}
	if a.Failure != nil {
		return directory.Snapshot{}, a.Elsewhere, a.Failure
	}
	snapshot, err := unpack(a.Packed)
	return snapshot, nil, err
}

// pack compresses a snapshot. The rows repeat the same names over and over.
func pack(s directory.Snapshot) ([]byte, error) {
	raw, err := msgpack.Marshal(s)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	err = w.Close()
	return packed.Bytes(), err
}

func unpack(packed []byte) (directory.Snapshot, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	var s directory.Snapshot
	raw, err := io.ReadAll(io.LimitReader(r, maxStartBytes))
	if err != nil {
		return s, err
	}
	err = msgpack.Unmarshal(raw, &s)
	return s, err
}

// starts is what a VM knows of the VMs that start and ask it for rows.
type starts struct {
	mu      sync.Mutex
	sending int
	// packed are the latest compressed snapshots, by feed.
	packed map[directory.Feed]packedSnapshot
	// referrals are the addresses of VMs that have got the rows, by feed, the latest last.
	referrals map[directory.Feed][]string
}

type packedSnapshot struct {
	version metastore.Version
	bytes   []byte
}

// begin reports whether rows may be sent now; end has to be called then.
func (x *starts) begin() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sending >= maxStartsAtOnce {
		return false
	}
	x.sending++
	return true
}

func (x *starts) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sending--
}

// refer returns the addresses of some VMs that have the rows of a feed.
func (x *starts) refer(f directory.Feed) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.referrals[f]
	var some []string
	for _, i := range rand.Perm(len(all))[:min(len(all), referralsSent)] {
		some = append(some, all[i])
	}
	return some
}

// served records that the VM at an address has got the rows of a feed.
func (x *starts) served(f directory.Feed, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.referrals == nil {
		x.referrals = map[directory.Feed][]string{}
	}
	all := append(x.referrals[f], address)
	x.referrals[f] = all[max(0, len(all)-referralsKept):]
}

// pack returns the compressed snapshot, which is compressed once for each version.
func (x *starts) pack(f directory.Feed, s directory.Snapshot) ([]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known, ok := x.packed[f]; ok && known.version == s.Version {
		return known.bytes, nil
	}
	packed, err := pack(s)
	if err != nil {
		return nil, err
	}
	if x.packed == nil {
		x.packed = map[directory.Feed]packedSnapshot{}
	}
	x.packed[f] = packedSnapshot{version: s.Version, bytes: packed}
	return packed, nil
}

// sendAll answers a request for all rows of a feed; own is the address at which the VM that asks passes them on.
func (s *Server) sendAll(nc net.Conn, peer *stream, r rowsRequest, own string) {
	f := r.Feed &^ allRows
	a := s.startResponse(f, r.Version.InEra(r.Era))
	s.Metrics.Sent(rowsKind, 1, len(a.Packed))
	_ = nc.SetWriteDeadline(time.Now().Add(startTimeout))
	err := peer.send(a)
	if a.Failure == nil {
		s.starts.end()
	}
	switch {
	case err != nil:
		s.Log.Debug("event=rows_send_failed", "to", nc.RemoteAddr(), "error", err)
	case a.Failure == nil && own != "":
		s.starts.served(f, own)
	}
}

// startResponse returns the answer; if it has rows, starts.end has to be called after it was sent.
func (s *Server) startResponse(f directory.Feed, version metastore.Version) startResponse {
	ctx, cancel := context.WithTimeout(context.Background(), rowsHoldTimeout)
	defer cancel()
	snapshot, ok := s.Directory.Relay().AwaitSnapshot(ctx, f, version)
	if !ok {
		return startResponse{Failure: result.New(result.NotFound, "version %v has not come", version)}
	}
	if _, current := s.Directory.Relay().CurrentSnapshot(f, s.Clock.Now()); !current && version == anyVersion {
		return startResponse{Failure: result.New(result.NotFound, "the rows may be out of date")}
	}
	if !s.starts.begin() {
		return startResponse{Failure: result.New(result.TargetBusy, "other VMs are being sent rows"), Elsewhere: s.starts.refer(f)}
	}
	if s.Newest != nil {
		snapshot.Rows = s.Newest(f, snapshot.Rows)
	}
	packed, err := s.starts.pack(f, snapshot)
	if err != nil {
		s.starts.end()
		return startResponse{Failure: result.New(result.Internal, "%v", err)}
	}
	return startResponse{Packed: packed}
}
