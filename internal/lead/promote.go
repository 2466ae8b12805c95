package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// promotedPoll is how often a candidate is asked whether it leads by now: a
	// promotion takes some hundred milliseconds. An overloaded one refuses to answer now
	// and then, and callers' writes wait for each further look.
	promotedPoll = 25 * time.Millisecond
	// promoteAgain is when an unanswered or ineffective promotion is ordered again.
	promoteAgain = 1500 * time.Millisecond
	// promotePatience is how long a candidate that does not answer is waited for
	// before another one is chosen: its promotion may still take effect.
	promotePatience = 4 * time.Second
	// promoteLimit is how long a promotion that the platform has accepted may go without
	// effect at a candidate that answers: ten times what the slowest takes, and the time in
	// which a change of primary is to be over.
	promoteLimit = 6 * time.Second
)

// promote orders the promotion, waits for its effect and opens the row. An unanswered order
// may take effect late, so the candidate stays the same until it is known to be down.
func (r *replacement) promote(ctx context.Context) error {
	ordered, seen := time.Time{}, time.Now()
	var accepted time.Time // When the first order was answered with success.
	for {
		if r.owned() == nil || ctx.Err() != nil {
			return errOvertaken
		}
		candidate, ok := r.Directory.Target(r.row.Handover.Candidate)
		if !ok || candidate.Superseded {
			return r.chooseAgain(ctx, "registration_gone")
		}
		if time.Since(ordered) > promoteAgain {
			ordered = time.Now()
			err := r.order(ctx, candidate.ID)
			switch {
			case errors.Is(err, ErrNotPromotable):
				return r.chooseAgain(ctx, "not_promotable")
			case err != nil:
				r.Log.Warn("event=promotion_unanswered", "group", r.group, "candidate", candidate.ID, "error", err)
			case accepted.IsZero():
				accepted = time.Now()
			}
		}
		s, err := r.status(ctx, candidate.Target)
		switch {
		case err == nil && s.Primary && s.Term > r.row.Term:
			return r.change(ctx, r.row.Opened(s.Term))
		case err == nil && r.leadsAlready(s):
			return r.returned(ctx, candidate.ID)
		case err == nil && !accepted.IsZero() && time.Since(accepted) > promoteLimit:
			return r.chooseAgain(ctx, "ineffective")
		case err == nil:
			seen = time.Now()
		case time.Since(seen) > promotePatience:
			return r.chooseAgain(ctx, "silent")
		}
		wait.For(ctx, promotedPoll)
	}
}

// order sends the order just after a look at the clock: a VM that was paused before
// it may have been replaced as the coordinator.
func (r *replacement) order(ctx context.Context, candidate topology.TargetID) error {
	r.mu.Lock()
	fresh := r.Clock.Now().Sub(r.coordinator.Confirmed(r.group)) < lease.CoordinatorLimit
	r.mu.Unlock()
	if !fresh {
		return errOvertaken
	}
	fence, err := r.acquireDuty(ctx)
	if err != nil {
		return errors.Wrap(err, "the duty")
	}
	r.mu.Lock()
	r.placing.ordered = r.Clock.Now()
	r.mu.Unlock()
	return r.Promotions.Promote(ctx, r.group, candidate, r.self.ID, fence)
}

// chooseAgain drops a candidate that is down; the next run chooses another one.
func (r *replacement) chooseAgain(ctx context.Context, why string) error {
	failed := r.row.Handover.Candidate
	if err := r.change(ctx, r.row.WithCandidate("", position.Position{}, false)); err != nil {
		return err
	}
	r.resumeReceiving(ctx, failed)
	return errors.Newf("candidate %s failed: %s", failed, why)
}

// resumeReceiving lets a replica follow its primary again that was stopped for its
// promotion. One that does not answer is down, and receives after its restart.
func (r *replacement) resumeReceiving(ctx context.Context, id topology.TargetID) {
	t, ok := r.Directory.Target(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if _, err := r.Control.Resume(ctx, t.Target); err != nil {
		r.Log.Info("event=resume_failed", "target", id, "error", err)
	}
}
