package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// floorPoll is how often a replica that is behind is asked again.
const floorPoll = 2 * time.Millisecond

// holds reports whether a target at p is known to show the group's log up to
// floor. Positions alone do not tell: a former primary that ran past the end of
// its term has the greater one, and its readers would see writes that are lost
// and miss those of its successor. Without the group's row nothing is known.
func (p *Pooler) holds(group topology.GroupID, at, floor position.Position) bool {
	if floor.IsZero() {
		return true
	}
	row := p.o.Directory.Group(group)
	return row != nil && routing.Holds(row, at, floor)
}

// waitForFloor waits a short while until the target holds the request's floor.
func (p *Pooler) waitForFloor(ctx context.Context, tp *targetPool, req *request) *result.Error {
	floor := peers.Position(req.Floor)
	if p.holds(req.group, tp.newestPosition(), floor) {
		return nil
	}
	wait := time.Duration(req.FloorWaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+verifyTimeout)
	defer cancel()
	deadline := time.Now().Add(wait)
	for {
		s, err := tp.control.Status(ctx)
		if err != nil {
			return result.New(result.TargetUnreachable, "%s: %v", req.Target, err).After(verifyAfter)
		}
		tp.seen(s.Position)
		if p.holds(req.group, s.Position, floor) {
			return nil
		}
		if time.Now().After(deadline) {
			return result.New(result.ReplicaBehind, "%s holds %s, wanted %s", req.Target, s.Position, floor).After(verifyAfter)
		}
		time.Sleep(floorPoll)
	}
}

func (p *pool) seen(at position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notePosition(at)
}
