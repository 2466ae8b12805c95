package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// replicaWait bounds the wait for the replicas of one commit. When one of them
// dies or lags it is taken off the list well within it, and the wait goes on for
// those that count by then.
const replicaWait = 4 * time.Second

// confirm tells whether the answer may go out.
//
// Failure: the holder was paused between the target's completion and this line,
// and its group was given a new primary meanwhile. An acknowledgement then would
// promise a write that the new primary may lack.
func (p *Pooler) confirm(ctx context.Context, tp *targetPool, req *request, a answer) *result.Error {
	if req.Term == 0 {
		return nil
	}
	if req.class.Write && req.class.WaitsForReplica && !a.committed.IsZero() {
		return p.confirmReplicated(ctx, tp, req, a.committed)
	}
	return p.rights.Confirm(req.right, false)
}

// confirmReplicated waits until the replicas that count hold the commit. The wait
// is here and not at the target: there it would be for the replicas that counted
// when the write began, and hold a slot and a connection for as long as one of
// them lags.
func (p *Pooler) confirmReplicated(ctx context.Context, tp *targetPool, req *request, committed position.Position) *result.Error {
	ctx, cancel := context.WithTimeout(ctx, replicaWait)
	defer cancel()
	leave := tp.watch.join(tp.control)
	defer leave()
	for {
		right, refused := p.rights.Right(req.group, req.Term)
		if refused != nil && forGood(refused) {
			return result.New(result.OutcomeUnknown, "%s", refused.Error())
		}
		status, changed := tp.watch.latest()
		if refused == nil && len(right.WaitFor) > 0 && replicasHold(status, right.WaitFor, committed) {
			return p.rights.Confirm(right, true)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.NotReplicated, "%s at %s", req.Target, committed)
		}
	}
}

// forGood reports whether a refused right does not come back to this VM: another term
// has begun, or another VM pools the target by now. Waiting on would only keep from the
// caller for seconds that its outcome is unknown.
func forGood(refused *result.Error) bool {
	return refused.Code == result.TermRefused || refused.Code == result.WrongPooler
}

// replicasHold reports whether the primary knows that the replicas hold the commit.
func replicasHold(status TargetStatus, replicas []topology.TargetID, at position.Position) bool {
	if status.Role != RolePrimary || status.Term != at.Term {
		return false
	}
	for _, r := range replicas {
		held, ok := status.Replicas[r]
		if !ok || held.Less(at) {
			return false
		}
	}
	return true
}
