package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// rowsTimeout bounds a request for rows to another VM. If it fails, the rows are read from the store.
	rowsTimeout = 800 * time.Millisecond
	// rowsHoldTimeout is how long a VM waits for a requested version that it doesn't have yet before it refuses
	// the request: as long as the store takes to answer the same one.
	rowsHoldTimeout = 500 * time.Millisecond
	// maxRowsBytes is the largest answer in bytes that one VM sends another: a larger one would fill its network
	// link for long enough that its callers notice. The store has a faster link.
	maxRowsBytes = 64 << 10
)

// rowsRequest requests the rows of a feed as of a version or a later one.
type rowsRequest struct {
	Feed    directory.Feed    `msgpack:"f"`
	Version metastore.Version `msgpack:"v"`
	// Era is the version's era.
	Era uint64 `msgpack:"e,omitempty"`
}

// rowsResponse answers a rowsRequest.
type rowsResponse struct {
	Snapshot directory.Snapshot `msgpack:"k"`
	Failure  *result.Error      `msgpack:"f"`
}

// Neighbours gets changes of the store from other VMs of the data centre.
type Neighbours struct {
	Directory *directory.Directory
}

// changeTimeout bounds the time to get a change from another VM. If it fails, the rows are read from the store.
const changeTimeout = 1500 * time.Millisecond

// busyPause is the average pause before a VM that is busy is asked again: about as long as it takes to send
// the rows to one VM.
const busyPause = 30 * time.Millisecond

// Fetch implements directory.Neighbours.
func (n Neighbours) Fetch(ctx context.Context, f directory.Feed, version metastore.Version) (directory.Snapshot, bool) {
	self := n.Directory.Self()
	source, ok := placement.ChangeSource(self, n.Directory.VMs(), version.Number)
	if !ok {
		return directory.Snapshot{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	addresses := []string{source.PeerAddress}
	for {
		snapshot, elsewhere, err := fetchSince(ctx, addresses[rand.IntN(len(addresses))], f, version, self.PeerAddress)
		if err == nil {
			return snapshot, !version.After(snapshot.Version)
		}
		if result.From(err).Code != result.TargetBusy || !wait.For(ctx, busyPause/2+rand.N(busyPause)) {
			return directory.Snapshot{}, false
		}
		addresses = append(elsewhere, source.PeerAddress)
	}
}

// FetchFrom returns the rows of a feed as the VM has them, whatever their version.
func FetchFrom(ctx context.Context, vm topology.VM, f directory.Feed) (directory.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	return fetchRows(ctx, vm.PeerAddress, rowsRequest{Feed: f, Version: anyVersion})
}

// anyVersion is before all versions that a VM has rows of.
var anyVersion = metastore.Version{Number: 1}

func fetchRows(ctx context.Context, address string, r rowsRequest) (directory.Snapshot, error) {
	var a rowsResponse
	if err := requestRows(ctx, address, openRequest{Rows: &r}, &a); err != nil {
		return directory.Snapshot{}, err
	}
	if a.Failure != nil {
		return directory.Snapshot{}, a.Failure
	}
	return a.Snapshot, nil
}

// requestRows sends a request for rows to the VM at an address and receives its answer. ctx must have a deadline.
func requestRows(ctx context.Context, address string, o openRequest, answer any) error {
	dialer := target.Dialer()
	dialer.Timeout = holderTimeout
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer nc.Close()
	target.LimitSilence(nc)
	deadline, _ := ctx.Deadline()
	_ = nc.SetDeadline(deadline) // If the connection is closed, the next call fails.
	s := newStream(nc)
	if err := s.send(o); err != nil {
		return err
	}
	return s.receive(answer)
}

// sendRows answers a request for rows from this VM's snapshot of the feed.
func (s *Server) sendRows(nc net.Conn, peer *stream, r rowsRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), rowsHoldTimeout)
	defer cancel()
	snapshot, ok := s.Directory.Relay().AwaitSnapshot(ctx, r.Feed, r.Version.InEra(r.Era))
	a := rowsResponse{Snapshot: snapshot}
	switch {
	case !ok:
		a = rowsResponse{Failure: result.New(result.NotFound, "version %v has not come", r.Version)}
	case snapshot.Size() > maxRowsBytes:
		a = rowsResponse{Failure: result.New(result.MessageTooLarge, "%d bytes", snapshot.Size())}
	}
	_ = nc.SetWriteDeadline(time.Now().Add(rowsTimeout))
	if err := peer.send(a); err != nil {
		s.Log.Debug("event=rows_send_failed", "to", nc.RemoteAddr(), "error", err)
	}
}
