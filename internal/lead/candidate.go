package lead

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
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
	// successorPollPeriod is how often the targets are queried while the primary serves and no replica has
	// caught up with it. Each query takes a slot of the target.
	successorPollPeriod = 50 * time.Millisecond
)

// errNoConfiguration is returned while it is not known whether commits wait for replicas.
var errNoConfiguration = errors.New("lead: no configuration is known")

// targetStatus is a target with the status that it returned.
type targetStatus struct {
	target topology.Target
	status target.Status
}

// statuses queries targets in parallel and returns the answers.
func (l *Lead) statuses(ctx context.Context, targets []topology.Target) []targetStatus {
	var mu sync.Mutex
	var all []targetStatus
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			s, err := l.status(ctx, t)
			if err != nil {
				l.Log.Info("event=status_failed", "target", t.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, targetStatus{target: t, status: s})
		})
	}
	wg.Wait()
	return all
}

// evidence is what the group's targets have answered. Each answer is that of the target at the same index.
type evidence struct {
	lease.Evidence
	targets []targetStatus
}

// gather queries the targets whose logs decide which one may be promoted.
func (r *replacement) gather(ctx context.Context) (*evidence, error) {
	if err := r.recordMembers(ctx); err != nil {
		return nil, err
	}
	if r.row.Quorum == nil {
		return r.newEvidence(r.statuses(ctx, r.replicasOf(r.group, r.row.Primary))), nil
	}
	return r.newEvidence(r.statuses(ctx, r.targetsOf(r.group, r.row.Quorum.Members))), nil
}

// recordMembers adds registered targets to the row that its quorum lacks. The next coordinator may not see them any more.
func (r *replacement) recordMembers(ctx context.Context) error {
	quorum, err := r.quorum()
	if err != nil || quorum == r.row.Quorum {
		return err
	}
	return r.change(ctx, r.row.WithQuorum(quorum))
}

func (r *replacement) newEvidence(targets []targetStatus) *evidence {
	e := &evidence{Evidence: lease.Evidence{Row: r.row}, targets: targets}
	for _, t := range targets {
		e.Answers = append(e.Answers, r.answerOf(r.row, t))
	}
	return e
}

// quorum returns the row's quorum as it should be, or nil if commits do not wait for replicas.
func (r *replacement) quorum() (*lease.Quorum, error) {
	c := r.Directory.Configuration()
	switch {
	case c != nil:
		return r.presentQuorum(r.row, c), nil
	case r.row.Quorum != nil:
		return r.row.Quorum.With(r.registeredMembers(r.group)), nil
	}
	return nil, errNoConfiguration
}

// awaitSuccessor waits until a replica could be promoted, for at most catchUpTimeout. Without one, replacing the
// primary would only stop VMs that may still reach it.
func (r *replacement) awaitSuccessor(ctx context.Context) error {
	var required position.Position
	isKnown := false
	for end := time.Now().Add(catchUpTimeout); ; wait.For(ctx, successorPollPeriod) {
		e, err := r.gather(ctx)
		if err != nil {
			return err
		}
		// The primary goes on committing, so a replica has caught up that holds what was required at first.
		if !isKnown {
			if required, isKnown = e.Required(); !isKnown {
				return r.withheld(e, lease.ErrTooFewAnswers)
			}
		}
		_, err = e.BestFrom(required)
		if !errors.Is(err, lease.ErrCommitsMissing) {
			return err
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return r.withheld(e, err)
		}
	}
}

// withheld logs why no replica is promoted.
func (r *replacement) withheld(e *evidence, reason error) error {
	required, isKnown := e.Required()
	answers := make([]string, 0, len(e.Answers))
	for _, a := range e.Answers {
		answers = append(answers, string(a.ID)+":"+a.Received.String())
	}
	r.Log.Info("event=candidate_withheld", "group", r.group, "primary", r.row.Primary, "version", r.row.Version, "quorum", r.row.Quorum,
		"answers", answers, "required", required, "required_known", isKnown, "reason", reason)
	return reason
}

// choose picks the replica that has received the most, stops it from receiving more, and records it
// with its position. A target that already leads the term needs no promotion.
func (r *replacement) choose(ctx context.Context, former stepDownResult) error {
	best, err := r.best(ctx, former)
	if err != nil {
		return err
	}
	if r.leadsAlready(best.status) {
		return r.reopenFor(ctx, best.targetStatus)
	}
	s, err := r.command(ctx, controlTimeout, func(ctx context.Context) (target.Status, error) {
		return r.Control.StopReceiving(ctx, best.target, r.row.Term+1)
	})
	if err != nil {
		return errors.Wrapf(err, "stop %s from receiving", best.target.ID)
	}
	r.Log.Info("event=candidate_chosen", "group", r.group, "candidate", best.target.ID, "holds", s.Received,
		"primary_held", former.held, "primary_stepped_down", former.answered, "required", best.required)
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
	t, ok := r.targetOf(r.row, r.row.Primary)
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
			return r.Control.StepDown(ctx, t, r.row.Term+1)
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

// chosen is the replica to promote.
type chosen struct {
	targetStatus
	// required is up to which position it must hold the log.
	required position.Position
}

// best returns the replica that holds the most. If the old primary has stepped down, it
// waits until a replica has caught up with it, for at most catchUpTimeout.
func (r *replacement) best(ctx context.Context, former stepDownResult) (chosen, error) {
	for end := time.Now().Add(catchUpTimeout); ; wait.For(ctx, catchUpPollPeriod) {
		e, err := r.gather(ctx)
		if err != nil {
			return chosen{}, err
		}
		i, err := e.Choose()
		isOver := time.Now().After(end) || ctx.Err() != nil
		switch {
		case err == nil && (isOver || !former.answered || !e.Answers[i].Received.Less(former.held)):
			required, _ := e.Required()
			return chosen{targetStatus: e.targets[i], required: required}, nil
		case err != nil && (isOver || !errors.Is(err, lease.ErrCommitsMissing)):
			return chosen{}, r.withheld(e, err)
		}
	}
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
