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
	// rowWait bounds the wait for a group's row that a target was quicker to
	// learn of, and rowPoll is how often it is looked for.
	rowWait = time.Second
	rowPoll = 5 * time.Millisecond
)

// accept passes a read's answer unless its target is in a later term than the row
// by which the floor was worked out. The promotion may have lost a write of the
// session, and only the newer row tells: the caller would see its write missing
// without a word. So the newer row is awaited and the floor asked for again.
func (s *caller) accept(ctx context.Context, req *request, row *topology.Group, resp *peerpb.ExecuteResponse) (*peerpb.ExecuteResponse, *result.Error) {
	term := peers.Position(resp.Position).Term
	if row != nil && term <= row.Term {
		return resp, nil
	}
	newer := s.awaitTerm(ctx, req.group, term)
	if newer == nil {
		return nil, result.New(result.ReplicaBehind, "%s: its row of term %d is not known yet", req.group, term).After(comeBack)
	}
	if _, err := s.session.ReadFloor(newer); err != nil {
		return nil, result.From(err)
	}
	return resp, nil
}

// awaitTerm waits until the group's row is of the term or a later one.
func (s *caller) awaitTerm(ctx context.Context, group topology.GroupID, term uint64) *topology.Group {
	ctx, cancel := context.WithTimeout(ctx, rowWait)
	defer cancel()
	for {
		if row := s.server.o.View.Group(group); row != nil && row.Term >= term {
			return row
		}
		if !wait.For(ctx, rowPoll) {
			return nil
		}
	}
}
