package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// noteTransaction updates the session's open transaction from the answer to a
// request.
func (s *callerSession) noteTransaction(req *request, d destination, resp *peerpb.ExecuteResponse) {
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

// releaseTimeout bounds the call that releases a transaction. If the call is lost,
// the pooler releases the transaction after its idle time-out.
const releaseTimeout = time.Second

// releaseTransaction releases the target's connection that an unfinished
// transaction of the session holds.
func (s *callerSession) releaseTransaction() {
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
