package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// promotionPollPeriod is how often a candidate is asked whether it already leads. A promotion
	// takes some hundred milliseconds. An overloaded candidate occasionally refuses to answer, and
	// the callers' writes wait for each further query.
	promotionPollPeriod = 25 * time.Millisecond
	// promotionRetryPeriod is how long after an order an unanswered or ineffective promotion is
	// ordered again.
	promotionRetryPeriod = 1500 * time.Millisecond
	// silentCandidateTimeout is how long to wait for a candidate that does not answer before
	// another one is chosen, as its promotion may still take effect.
	silentCandidateTimeout = 4 * time.Second
	// promotionTimeout is how long a promotion that the platform has accepted may have no effect on
	// a candidate that answers: ten times the duration of the slowest promotion, and the time limit
	// for a change of the primary.
	promotionTimeout = 6 * time.Second
)

// promote orders the promotion, waits until it has taken effect, and opens the row. An unanswered
// order may take effect late, so the candidate does not change until it is known to be down.
func (r *replacement) promote(ctx context.Context) error {
	ordered, seen := time.Time{}, time.Now()
	var accepted time.Time // When an order was first answered with success.
	for {
		if !r.isCurrent() || ctx.Err() != nil {
			return errSuperseded
		}
		candidate, ok := r.Directory.Target(r.row.Handover.Candidate)
		if !ok || candidate.Superseded {
			return r.dropCandidate(ctx, "registration_gone")
		}
		if time.Since(ordered) > promotionRetryPeriod {
			ordered = time.Now()
			err := r.orderPromotion(ctx, candidate.ID)
			switch {
			case errors.Is(err, ErrNotPromotable):
				return r.dropCandidate(ctx, "not_promotable")
			case errors.Is(err, errNotOrdered):
				r.Log.Info("event=promotion_withheld", "group", r.group, "candidate", candidate.ID, "version", r.row.Version, "error", err)
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
			return r.reopenFor(ctx, targetStatus{target: candidate.Target, status: s})
		case err == nil && !accepted.IsZero() && time.Since(accepted) > promotionTimeout:
			return r.dropCandidate(ctx, "ineffective")
		case err == nil:
			seen = time.Now()
		case time.Since(seen) > silentCandidateTimeout:
			return r.dropCandidate(ctx, "silent")
		}
		wait.For(ctx, promotionPollPeriod)
	}
}

// dropCandidate drops a candidate that failed; the next run chooses another one. The row names the candidate for as long as
// an order to promote it may arrive.
func (r *replacement) dropCandidate(ctx context.Context, reason string) error {
	r.awaitOrdersEnded(ctx)
	failed := r.row.Handover.Candidate
	if err := r.change(ctx, r.row.WithCandidate("", position.Position{}, false)); err != nil {
		return err
	}
	r.resumeReceiving(ctx, failed)
	return errors.Newf("candidate %s failed: %s", failed, reason)
}

// resumeReceiving lets a replica that was stopped for its promotion follow its primary again. A
// replica that does not answer is down, and receives again after its restart.
func (r *replacement) resumeReceiving(ctx context.Context, id topology.TargetID) {
	t, ok := r.targetOf(r.row, id)
	if !ok {
		return
	}
	_, err := r.command(ctx, controlTimeout, func(ctx context.Context) (target.Status, error) { return r.Control.Resume(ctx, t) })
	if err != nil {
		r.Log.Info("event=resume_failed", "target", id, "error", err)
	}
}
