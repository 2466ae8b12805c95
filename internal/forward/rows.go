package forward

import (
	"context"
	"net"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/placement"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// rowsTimeout bounds how long another VM is waited for; the store is asked after that.
	rowsTimeout = 800 * time.Millisecond
	// rowsHope is how long a VM that has not got the change yet has its asker wait: as long as the store
	// takes to answer it.
	rowsHope = 500 * time.Millisecond
	// rowsMost bounds what one VM tells another, in bytes: more would fill its link for as long as its
	// callers notice. The store's link is wider.
	rowsMost = 64 << 10
)

// rowsRequest asks for the rows of a feed as of a version, or a later one.
type rowsRequest struct {
	Feed    directory.Feed `msgpack:"f"`
	Version uint64         `msgpack:"v"`
}

// rowsAnswer is what it is answered.
type rowsAnswer struct {
	Kept    directory.Kept `msgpack:"k"`
	Failure *result.Error  `msgpack:"f"`
}

// Neighbours gets changes of the store from other VMs of the data centre.
type Neighbours struct {
	Directory *directory.Directory
}

// Fetch implements directory.Neighbours.
func (n Neighbours) Fetch(ctx context.Context, f directory.Feed, version uint64) (directory.Kept, bool) {
	teller, ok := placement.Teller(n.Directory.Self(), n.Directory.VMs(), version)
	if !ok {
		return directory.Kept{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	kept, err := askRows(ctx, teller.PeerAddress, rowsRequest{Feed: f, Version: version})
	return kept, err == nil && kept.Version >= version
}

func askRows(ctx context.Context, address string, r rowsRequest) (directory.Kept, error) {
	dialer := target.Dialer()
	dialer.Timeout = holderTimeout
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return directory.Kept{}, err
	}
	defer nc.Close()
	target.LimitSilence(nc)
	deadline, _ := ctx.Deadline() // There is one.
	_ = nc.SetDeadline(deadline)  // A closed connection shows with the next call.
	s := newStream(nc)
	if err := s.send(opening{Rows: &r}); err != nil {
		return directory.Kept{}, err
	}
	var a rowsAnswer
	if err := s.receive(&a); err != nil {
		return directory.Kept{}, err
	}
	if a.Failure != nil {
		return directory.Kept{}, a.Failure
	}
	return a.Kept, nil
}

// tellRows answers with the rows that this VM keeps.
func (s *Server) tellRows(nc net.Conn, peer *stream, r rowsRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), rowsHope)
	defer cancel()
	kept, ok := s.Directory.Relay().AwaitSnapshot(ctx, r.Feed, r.Version)
	a := rowsAnswer{Kept: kept}
	switch {
	case !ok:
		a = rowsAnswer{Failure: result.New(result.NotFound, "version %d has not come", r.Version)}
	case kept.Size() > rowsMost:
		a = rowsAnswer{Failure: result.New(result.MessageTooLarge, "%d bytes", kept.Size())}
	}
	_ = nc.SetWriteDeadline(time.Now().Add(rowsTimeout))
	if err := peer.send(a); err != nil {
		s.Log.Debug("event=rows_not_told", "to", nc.RemoteAddr(), "error", err)
	}
}
