package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// silentAfter is how long a hop lasts before its pooler is asked, on a new
	// connection, whether the request is under way there.
	silentAfter = 750 * time.Millisecond
	// silentLook is the time between the two looks: an answer that is on its way
	// at the first has come by the second.
	silentLook = 100 * time.Millisecond
	// askTimeout of one such question.
	askTimeout = 500 * time.Millisecond
)

// watchHop ends a hop whose connection went silent: its pooler answers on a new
// one and knows nothing of the request, yet no answer has come. The answer is
// lost, and the caller of a write learns at once that its outcome is unknown,
// not at a deadline minutes away. A pooler that does not answer is left to the
// evidence about its VM.
func (s *caller) watchHop(ctx context.Context, pooler topology.VM, msg *peerpb.ExecuteRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(silentAfter, func() {
		for s.underWay(ctx, pooler, msg) {
			if !wait.For(ctx, silentAfter) {
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		s.server.o.Log.Info("event=silent_connection", "pooler", pooler.ID)
		s.server.o.Peers.Get(pooler).CloseIdle() // They took the same path.
		cancel()
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// underWay is false only when the pooler has said twice that it does not know the
// request.
func (s *caller) underWay(ctx context.Context, pooler topology.VM, msg *peerpb.ExecuteRequest) bool {
	if s.ask(ctx, pooler, msg) || !wait.For(ctx, silentLook) {
		return true
	}
	return s.ask(ctx, pooler, msg)
}

func (s *caller) ask(ctx context.Context, pooler topology.VM, msg *peerpb.ExecuteRequest) bool {
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
