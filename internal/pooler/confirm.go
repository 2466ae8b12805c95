package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// replicaWaitTimeout bounds the wait for the replicas of one commit. A replica that dies
// or lags is removed from the list well within this time, and the wait continues
// for the replicas that are still on the list.
const replicaWaitTimeout = 4 * time.Second

// confirm reports whether the answer may be sent to the caller; nil means that it may.
//
// It guards against a process pause between the completion at the target and this
// check, during which the group gets a new primary. Acknowledging then would promise
// a write that the new primary may lack.
func (p *Pooler) confirm(ctx context.Context, tp *targetPool, req *request, a answer) *result.Error {
	if req.Term == 0 {
		return nil
	}
	if req.class.Write && req.class.WaitsForReplica && !a.committed.IsZero() {
		return p.confirmReplicated(ctx, tp, req, a.committed)
	}
	return p.rights.Confirm(req.right, false)
}

// confirmReplicated waits until the replicas that the right lists hold the commit.
// The pooler waits rather than the target: the target would wait for the replicas
// that were listed when the write began, and would occupy a slot and a connection
// for as long as one of them lags.
func (p *Pooler) confirmReplicated(ctx context.Context, tp *targetPool, req *request, committed position.Position) *result.Error {
	ctx, cancel := context.WithTimeout(ctx, replicaWaitTimeout)
	defer cancel()
	leave := tp.watch.join(tp.control)
	defer leave()
	for {
		right, refused := p.rights.Right(req.group, req.Term)
		if refused != nil && isPermanent(refused) {
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

// isPermanent reports whether a refused right will not return to this VM, because another
// term has begun or another VM is now the target's pooler. Waiting longer would only
// delay, by seconds, the news to the caller that its outcome is unknown.
func isPermanent(refused *result.Error) bool {
	return refused.Code == result.TermRefused || refused.Code == result.WrongPooler
}

// replicasHold reports whether the primary's status shows that the replicas hold the
// commit.
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
