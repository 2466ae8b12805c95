package entry

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// rowWait bounds the wait for a group's row that a target received before this
	// VM did, and rowPollInterval is the interval at which the wait checks for it.
	rowWait         = time.Second
	rowPollInterval = 5 * time.Millisecond
)

// accept checks a read's answer for a target whose term is later than that of the
// row from which the floor was computed. The promotion may have lost a write of the
// session, which only the newer row shows: the caller would miss its own write
// without an error. So accept waits for the newer row and computes the floor again,
// which fails if a write was lost.
func (s *callerSession) accept(ctx context.Context, req *request, row *topology.Group, resp *peerpb.ExecuteResponse) (*peerpb.ExecuteResponse, *result.Error) {
	term := peers.Position(resp.Position).Term
	if row != nil && term <= row.Term {
		return resp, nil
	}
	newer := s.awaitTerm(ctx, req.group, term)
	if newer == nil {
		return nil, result.New(result.ReplicaBehind, "%s: its row of term %d is not known yet", req.group, term).After(defaultRetryAfter)
	}
	if _, err := s.session.ReadFloor(newer); err != nil {
		return nil, result.From(err)
	}
	return resp, nil
}

// awaitTerm waits until the group's row has the term or a later one, and returns
// the row. It returns nil after rowWait.
func (s *callerSession) awaitTerm(ctx context.Context, group topology.GroupID, term uint64) *topology.Group {
	ctx, cancel := context.WithTimeout(ctx, rowWait)
	defer cancel()
	for {
		if row := s.server.o.View.Group(group); row != nil && row.Term >= term {
			return row
		}
		if !wait.For(ctx, rowPollInterval) {
			return nil
		}
	}
}
