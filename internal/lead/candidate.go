package lead

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// failedPatience is how long a primary that most VMs find failed is waited for to step down:
	// a new connection to one that lives takes less, also behind a full queue. Waited for as
	// long as any other, a dark one kept the promotion back after all rights had ended.
	failedPatience = 150 * time.Millisecond
	// stepDownTries is how often one that lives is told: what it holds and the candidate lacks
	// is lost if the command goes unanswered, and a full target may refuse it.
	stepDownTries = 3
	// catchUpTime is how long a candidate may take to receive what the primary,
	// having stepped down, holds.
	catchUpTime = time.Second
	catchUpPoll = 15 * time.Millisecond
)

// errNoCandidate: no replica can be reached, so closing the row would only stop
// those that may still reach the primary.
var errNoCandidate = errors.New("lead: no replica can be reached")

// found is a target that answered.
type found struct {
	target topology.Target
	status target.Status
}

// statuses asks the group's targets in parallel, the old primary only if wanted not.
func (r *replacement) statuses(ctx context.Context, replicasOnly bool) []found {
	var mu sync.Mutex
	var all []found
	var wg sync.WaitGroup
	for _, t := range r.Directory.TargetsOf(r.group) {
		if replicasOnly && t.ID == r.row.Primary || t.Leaving {
			continue
		}
		wg.Go(func() {
			s, err := r.status(ctx, t.Target)
			if err != nil {
				r.Log.Info("event=status_failed", "target", t.ID, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, found{target: t.Target, status: s})
		})
	}
	wg.Wait()
	return all
}

// choose picks the replica that received most, keeps it from receiving more, and
// records it with what it holds. A target that leads the term already needs no promotion.
func (r *replacement) choose(ctx context.Context, former stepped) error {
	best, err := r.best(ctx, former)
	if err != nil {
		return err
	}
	if r.leadsAlready(best.status) {
		return r.returned(ctx, best.target.ID)
	}
	ctxStop, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	s, err := r.Control.StopReceiving(ctxStop, best.target, r.row.Term+1)
	if err != nil {
		return errors.Wrapf(err, "stop %s from receiving", best.target.ID)
	}
	r.Log.Info("event=candidate_chosen", "group", r.group, "candidate", best.target.ID, "holds", s.Received,
		"primary_held", former.held, "primary_stepped_down", former.answered)
	return r.change(ctx, r.row.WithCandidate(best.target.ID, s.Received, former.answered && !s.Received.Less(former.held)))
}

// stepped is what the old primary answered when it was asked to step down.
type stepped struct {
	answered bool
	// held is what it held then.
	held position.Position
}

// stepDown asks the old primary to stop writing; then nothing of it needs be lost. The
// row is closed, so what it refuses from now on could not be acknowledged anyway.
func (r *replacement) stepDown(ctx context.Context, reason string) stepped {
	t, ok := r.Directory.Target(r.row.Primary)
	if !ok {
		return stepped{}
	}
	patience, tries := controlTimeout, stepDownTries
	if reason == primaryFailed {
		patience, tries = failedPatience, 1
	}
	var s target.Status
	var err error
	for range tries {
		ctx, cancel := context.WithTimeout(ctx, patience)
		s, err = r.Control.StepDown(ctx, t.Target, r.row.Term+1)
		cancel()
		if err == nil {
			break
		}
	}
	if err != nil {
		r.Log.Info("event=step_down_failed", "target", t.ID, "error", err)
		return stepped{}
	}
	return stepped{answered: true, held: s.Received}
}

// best returns the replica that holds most. After an orderly step down it is waited
// for, until one holds all.
func (r *replacement) best(ctx context.Context, former stepped) (found, error) {
	end := time.Now().Add(catchUpTime)
	for {
		all := r.statuses(ctx, true)
		if len(all) < r.needed() {
			return found{}, errNoCandidate
		}
		best := all[0]
		for _, f := range all[1:] {
			if r.better(f.status, best.status) {
				best = f
			}
		}
		if !former.answered || !best.status.Received.Less(former.held) || time.Now().After(end) {
			return best, nil
		}
		wait.For(ctx, catchUpPoll)
	}
}

// better reports whether a should rather be the primary than b: it has received more, or leads
// already and needs no promotion, or has less of it left to apply.
func (r *replacement) better(a, b target.Status) bool {
	if order := a.Received.Compare(b.Received); order != 0 {
		return order > 0
	}
	if leads := r.leadsAlready(a); leads != r.leadsAlready(b) {
		return leads
	}
	return a.Lag < b.Lag
}

// leadsAlready reports whether a target other than the row's primary leads the row's term.
//
// A primary that crashes may come back at once, with its log and under another name. An order to promote it
// succeeds and changes nothing, so no next term is to be waited for.
func (r *replacement) leadsAlready(s target.Status) bool {
	return s.Primary && s.Term == r.row.Term
}

// returned opens the row for a target that leads the term already. All rights under the row
// have ended, and it holds at least as much as any other that answered.
func (r *replacement) returned(ctx context.Context, id topology.TargetID) error {
	r.Log.Info("event=primary_returned", "group", r.group, "was", r.row.Primary, "is", id, "term", r.row.Term)
	return r.change(ctx, r.row.Returned(id))
}

// needed is how many replicas must answer. Where commits wait for replicas, one that
// has it must be among those that answer, whichever it is.
func (r *replacement) needed() int {
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
