package relay

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// maxWait bounds how long a watch is held. It is below the idle timeouts of connections, so that a
// silently broken one is noticed.
const maxWait = 5 * time.Second

// Server answers other daemons from the store. Every daemon runs one: a daemon that can't reach its
// relays asks any peer.
type Server struct {
	store   *Store
	objects platform.Objects

	mu    sync.Mutex
	blobs map[string][]byte
}

// NewServer returns a server for store; it reads blobs that it does not hold from objects.
func NewServer(store *Store, objects platform.Objects) *Server {
	return &Server{store: store, objects: objects, blobs: map[string][]byte{}}
}

// Watch implements peerpb.Relay. It answers at once when the caller lacks rows, otherwise with the
// next change or when the wait is over.
func (s *Server) Watch(ctx context.Context, req *peerpb.WatchRequest) (*peerpb.WatchResponse, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxWait)
	rows, revision, changed := s.store.Since(req.Revision)
	if revision <= req.Revision {
		// Rows above the store's revision were announced before the next read; the caller may have
		// them already, so they alone do not end the wait.
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		rows, revision, _ = s.store.Since(req.Revision)
	}
	return &peerpb.WatchResponse{
		Revision:      revision,
		Rows:          RowsTo(rows),
		PlatformAgeMs: uint32(s.store.PlatformAge(time.Now()).Milliseconds()),
	}, nil
}

// Announce implements peerpb.Relay.
func (s *Server) Announce(_ context.Context, req *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	s.store.Apply(RowsFrom(req.Rows), 0, time.Time{})
	return &peerpb.AnnounceResponse{}, nil
}

// Blob implements peerpb.Relay.
func (s *Server) Blob(ctx context.Context, req *peerpb.BlobRequest) (*peerpb.BlobResponse, error) {
	blob, found, err := s.Get(ctx, req.Name)
	if err != nil {
		return nil, err
	}
	return &peerpb.BlobResponse{Found: found, Blob: blob}, nil
}

// maxBlobs bounds the number of cached blobs; one document is in force at a time.
const maxBlobs = 4

// Get returns a blob from the cache or the object store. A name always has the
// same content, so the cache never goes stale.
func (s *Server) Get(ctx context.Context, name string) ([]byte, bool, error) {
	s.mu.Lock()
	blob, ok := s.blobs[name]
	s.mu.Unlock()
	if ok {
		return blob, true, nil
	}
	blob, found, err := s.objects.Get(ctx, name)
	if err == nil && found {
		s.CacheBlob(name, blob)
	}
	return blob, found, err
}

// CacheBlob caches a blob for the peers that ask for it.
func (s *Server) CacheBlob(name string, blob []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.blobs) >= maxBlobs {
		clear(s.blobs)
	}
	s.blobs[name] = blob
}

// RowsFrom converts protobuf messages to rows.
func RowsFrom(in []*peerpb.Row) []platform.Row {
	out := make([]platform.Row, 0, len(in))
	for _, r := range in {
		out = append(out, platform.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return out
}

// RowsTo converts rows to protobuf messages.
func RowsTo(in []platform.Row) []*peerpb.Row {
	out := make([]*peerpb.Row, 0, len(in))
	for _, r := range in {
		out = append(out, &peerpb.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return out
}
