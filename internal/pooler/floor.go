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

// floorPoll is the interval at which the position of a replica that is behind is
// queried again.
const floorPoll = 2 * time.Millisecond

// holds reports whether a target at position at is known to hold the group's log up
// to floor. Comparing positions is not enough: a former primary that ran past the end
// of its term has the greater position, but its readers would see lost writes and
// miss those of its successor. Without the group's row the answer is false, unless
// floor is zero.
func (p *Pooler) holds(group topology.GroupID, at, floor position.Position) bool {
	if floor.IsZero() {
		return true
	}
	row := p.o.Directory.Group(group)
	return row != nil && routing.Holds(row, at, floor)
}

// waitForFloor waits until the target holds the request's floor. It gives up when
// the target is still behind after the request's FloorWaitMs.
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
		tp.recordPosition(s.Position)
		if p.holds(req.group, s.Position, floor) {
			return nil
		}
		if time.Now().After(deadline) {
			return result.New(result.ReplicaBehind, "%s holds %s, wanted %s", req.Target, s.Position, floor).After(verifyAfter)
		}
		time.Sleep(floorPoll)
	}
}

func (p *pool) recordPosition(at position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advancePosition(at)
}
