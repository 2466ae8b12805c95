package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// silenceTimeout is the duration of a hop after which its pooler is asked, on a
	// new connection, whether it is executing the request.
	silenceTimeout = 750 * time.Millisecond
	// recheckDelay is the delay between the two checks: an answer that is in transit
	// at the first check has arrived by the second.
	recheckDelay = 100 * time.Millisecond
	// askTimeout bounds one check.
	askTimeout = 500 * time.Millisecond
)

// watchHop cancels a hop whose connection no longer delivers data: the pooler
// reports on a new connection that it is not executing the request, yet no answer
// has arrived. The answer is lost, and the caller of a write is told at once that
// the outcome is unknown instead of at a deadline that may be minutes away. When the
// pooler does not answer the check, watchHop leaves the hop to the failure detection
// of the pooler's VM.
func (s *callerSession) watchHop(ctx context.Context, pooler topology.VM, msg *peerpb.ExecuteRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(silenceTimeout, func() {
		for s.underWay(ctx, pooler, msg) {
			if !wait.For(ctx, silenceTimeout) {
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		s.server.o.Log.Info("event=silent_connection", "pooler", pooler.ID)
		s.server.o.Peers.Get(pooler).CloseIdle() // They may have lost the same network path.
		cancel()
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// underWay returns false only when the pooler has reported twice that it is not
// executing the request.
func (s *callerSession) underWay(ctx context.Context, pooler topology.VM, msg *peerpb.ExecuteRequest) bool {
	if s.ask(ctx, pooler, msg) || !wait.For(ctx, recheckDelay) {
		return true
	}
	return s.ask(ctx, pooler, msg)
}

func (s *callerSession) ask(ctx context.Context, pooler topology.VM, msg *peerpb.ExecuteRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := s.server.o.Peers.Get(pooler).Fresh.Cancel(ctx, &peerpb.CancelRequest{
		Entry:            msg.Entry,
		EntryIncarnation: msg.EntryIncarnation,
		HopId:            msg.HopId,
		Ask:              true,
	})
	return err != nil || resp.Found
}
