package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// noteTransaction remembers where the session's open transaction runs.
func (s *caller) noteTransaction(req *request, d destination, resp *peerpb.ExecuteResponse) {
	status := byte(resp.TxStatus)
	if status == pgwire.Idle {
		s.tx = nil
		return
	}
	if s.tx != nil {
		s.tx.status = status
		return
	}
	s.tx = &transaction{
		number: resp.HopId,
		status: status,
		group:  req.group,
		target: d.target,
		pooler: d.pooler,
		term:   d.term,
		write:  req.class.Kind == config.Write,
	}
}

// releaseTimeout bounds the message that frees a transaction; its pooler frees
// it by itself after the idle time-out when the message is lost.
const releaseTimeout = time.Second

// releaseTransaction frees the connection of a transaction that the session
// leaves open.
func (s *caller) releaseTransaction() {
	if s.tx == nil {
		return
	}
	tx := s.tx
	s.tx = nil
	self := s.server.o.View.Self()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := s.server.o.Peers.Get(tx.pooler).Release(ctx, &peerpb.ReleaseRequest{
		Entry:            string(self.ID),
		EntryIncarnation: uint64(self.Incarnation),
		Target:           string(tx.target),
		Transaction:      tx.number,
	})
	if err != nil {
		s.server.o.Log.Info("event=release_failed", "target", tx.target, "error", err)
	}
}
