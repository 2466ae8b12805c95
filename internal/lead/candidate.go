package lead

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// failedStepDownTimeout is how long to wait for a primary to step down that most VMs report as
	// failing. A new connection to a running primary takes less, even behind a full queue. With the
	// same timeout as for any other primary, an unreachable one delayed the promotion after all
	// rights had ended.
	failedStepDownTimeout = 150 * time.Millisecond
	// stepDownAttempts is how often a running primary is ordered to step down: what only the
	// primary holds, and not the candidate, is lost if the command is not answered, and a full
	// target may refuse it.
	stepDownAttempts = 3
	// catchUpTimeout is how long a candidate may take to receive all that the primary held when it
	// stepped down.
	catchUpTimeout    = time.Second
	catchUpPollPeriod = 15 * time.Millisecond
)

// errNoCandidate is returned when no replica can be reached. Closing the row would then only stop
// VMs that may still reach the primary.
var errNoCandidate = errors.New("lead: no replica can be reached")

// targetStatus is a target with the status that it returned.
type targetStatus struct {
	target topology.Target
	status target.Status
}

// isReplica reports whether a target can be a candidate.
func (r *replacement) isReplica(t *directory.Target) bool {
	return t.ID != r.row.Primary && !t.Leaving
}

// replicaStatuses queries the group's replicas.
func (r *replacement) replicaStatuses(ctx context.Context) []targetStatus {
	targets := slices.Clone(r.Directory.TargetsOf(r.group))
	return r.statuses(ctx, slices.DeleteFunc(targets, func(t directory.Target) bool { return !r.isReplica(&t) }))
}

// statuses queries targets in parallel and returns the answers.
func (r *replacement) statuses(ctx context.Context, targets []directory.Target) []targetStatus {
	var mu sync.Mutex
	var all []targetStatus
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			s, err := r.status(ctx, t.Target)
			if err != nil {
				r.Log.Info("event=status_failed", "target", t.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, targetStatus{target: t.Target, status: s})
		})
	}
	wg.Wait()
	return all
}

// choose picks the replica that has received the most, stops it from receiving more, and records it
// with its position. A target that already leads the term needs no promotion.
func (r *replacement) choose(ctx context.Context, former stepDownResult) error {
	best, err := r.best(ctx, former)
	if err != nil {
		return err
	}
	if r.leadsAlready(best.status) {
		return r.reopenFor(ctx, best)
	}
	s, err := r.command(ctx, controlTimeout, func(ctx context.Context) (target.Status, error) {
		return r.Control.StopReceiving(ctx, best.target, r.row.Term+1)
	})
	if err != nil {
		return errors.Wrapf(err, "stop %s from receiving", best.target.ID)
	}
	r.Log.Info("event=candidate_chosen", "group", r.group, "candidate", best.target.ID, "holds", s.Received,
		"primary_held", former.held, "primary_stepped_down", former.answered)
	return r.change(ctx, r.row.WithCandidate(best.target.ID, s.Received, former.answered && !s.Received.Less(former.held)))
}

// stepDownResult is the old primary's answer to the order to step down.
type stepDownResult struct {
	answered bool
	// held is the old primary's position at that time.
	held position.Position
}

// stepDown orders the old primary to stop writing; if it does, nothing it holds is lost. The row is
// closed, so writes that it refuses from now on could not be acknowledged anyway.
func (r *replacement) stepDown(ctx context.Context, reason string) stepDownResult {
	t, ok := r.Directory.Target(r.row.Primary)
	if !ok {
		return stepDownResult{}
	}
	timeout, attempts := controlTimeout, stepDownAttempts
	if reason == primaryFailed {
		timeout, attempts = failedStepDownTimeout, 1
	}
	var s target.Status
	var err error
	for range attempts {
		s, err = r.command(ctx, timeout, func(ctx context.Context) (target.Status, error) {
			return r.Control.StepDown(ctx, t.Target, r.row.Term+1)
		})
		if err == nil || errors.Is(err, errSuperseded) {
			break
		}
	}
	if err != nil {
		r.Log.Info("event=step_down_failed", "target", t.ID, "error", err)
		return stepDownResult{}
	}
	return stepDownResult{answered: true, held: s.Received}
}

// best returns the replica that holds the most. If the old primary has stepped down, it
// waits until a replica has caught up with it, for at most catchUpTimeout.
func (r *replacement) best(ctx context.Context, former stepDownResult) (targetStatus, error) {
	end := time.Now().Add(catchUpTimeout)
	for {
		all := r.replicaStatuses(ctx)
		if len(all) < r.answersNeeded() {
			return targetStatus{}, errNoCandidate
		}
		best := all[0]
		for _, f := range all[1:] {
			if r.isBetter(f.status, best.status) {
				best = f
			}
		}
		if !former.answered || !best.status.Received.Less(former.held) || time.Now().After(end) {
			return best, nil
		}
		wait.For(ctx, catchUpPollPeriod)
	}
}

// isBetter reports whether a is the better choice for the primary than b: it has received more, or
// already leads and needs no promotion, or has less left to apply.
func (r *replacement) isBetter(a, b target.Status) bool {
	if order := a.Received.Compare(b.Received); order != 0 {
		return order > 0
	}
	if leads := r.leadsAlready(a); leads != r.leadsAlready(b) {
		return leads
	}
	return a.Lag < b.Lag
}

// leadsAlready reports whether a replica leads the row's term.
//
// A crashed primary may restart at once, with its log and under another name. An order to promote
// it succeeds without any effect, so waiting for the next term would never end.
func (r *replacement) leadsAlready(s target.Status) bool {
	return s.Primary && s.Term == r.row.Term
}

// reopenFor opens the row for a target that already leads the term. All rights under the row have
// ended, and the target holds at least as much as any other that answered.
func (r *replacement) reopenFor(ctx context.Context, leader targetStatus) error {
	r.Log.Info("event=primary_returned", "group", r.group, "from", r.row.Primary, "to", leader.target.ID,
		"former_term", r.row.Term, "term", leader.status.Term)
	return r.change(ctx, r.row.Returned(leader.target.ID, leader.status.Term))
}

// answersNeeded returns how many replicas must answer. If commits wait for replicas, at least one
// replica that holds a commit must be among those that answer, whichever it is.
func (r *replacement) answersNeeded() int {
	c := r.Directory.Configuration()
	if c == nil || c.SyncReplicas[r.group] == 0 {
		return 1
	}
	replicas := 0
	for _, t := range r.Directory.TargetsOf(r.group) {
		if t.ID != r.row.Primary {
			replicas++
		}
	}
	return max(1, replicas-c.SyncReplicas[r.group]+1)
}
