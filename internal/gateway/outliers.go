package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/outlier"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// verdictLogInterval is the shortest time between two log lines about a target's verdict.
const verdictLogInterval = time.Second

// outliers compares the targets of the groups. Its caller holds the router's mu. A nil outliers does nothing.
type outliers struct {
	log     *slog.Logger
	metrics *metrics.Outliers
	groups  map[topology.GroupID]*outlier.Detector
	// logged is when the last log line about a target was written.
	logged map[topology.TargetID]mono.Time
}

func newOutliers(log *slog.Logger, m *metrics.Outliers) *outliers {
	return &outliers{log: log, metrics: m, groups: map[topology.GroupID]*outlier.Detector{}, logged: map[topology.TargetID]mono.Time{}}
}

// measure sets the service times and weights of candidates for a class's read.
func (o *outliers) measure(c *directory.Class, candidates []routing.Candidate, now mono.Time) {
	if o == nil || o.groups[c.Group] == nil {
		return
	}
	detector := o.groups[c.Group]
	for i := range candidates {
		t := &candidates[i]
		if service, ok := detector.Service(t.Target, c.Name, now); ok {
			// The target's average latency includes refusals, which come sooner than answers.
			t.Service, t.Latency = service, service+t.Queue
		}
		t.Weight = detector.Weight(t.Target, now)
	}
}

// chosen counts a read that is sent to an outlier.
func (o *outliers) chosen(group topology.GroupID, id topology.TargetID, now mono.Time) {
	if o == nil || o.groups[group] == nil {
		return
	}
	if o.groups[group].Weight(id, now) < 1 {
		o.metrics.Probe(id)
	}
}

// record records a target's answer, and logs and counts a change of its verdict.
func (o *outliers) record(c *directory.Class, id topology.TargetID, took time.Duration, failed bool, now mono.Time) {
	if o.groups[c.Group] == nil {
		o.groups[c.Group] = outlier.NewDetector()
	}
	before, after := o.groups[c.Group].Record(id, c.Name, took, failed, now)
	if before == after {
		return
	}
	o.metrics.Verdict(id, string(after))
	if last, ok := o.logged[id]; ok && now.Sub(last) < verdictLogInterval {
		return
	}
	o.logged[id] = now
	if after == outlier.Usual {
		o.log.Info("event=target_outlier_ended", "group", c.Group, "target", id, "was", before)
		return
	}
	o.log.Info("event=target_outlier", "group", c.Group, "target", id, "reason", after, "class", c.Name,
		"took", took.Round(time.Millisecond), "failed", failed)
}

// recordAnswer records the answer of the request's target to a statement that was sent at begun.
func (r *request) recordAnswer(begun mono.Time, a statement.Answer, err error) {
	router := r.server.router
	if router.outliers == nil {
		return
	}
	failure := a.Failure
	if err != nil {
		failure = r.connectionFailure(r.target, err)
	}
	if failure != nil && !targetFailed(failure.Code) {
		return
	}
	now := r.server.Clock.Now()
	router.mu.Lock()
	defer router.mu.Unlock()
	router.outliers.record(&r.class, r.target, now.Sub(begun), failure != nil, now)
}

// targetFailed reports whether a failure counts as the target's: that of a replica that lags doesn't, nor that of
// a request that did not get a connection.
func targetFailed(code result.Code) bool {
	switch code {
	case result.OutcomeUnknown, result.DeadlineExceeded, result.TargetSilent, result.TargetUnreachable,
		result.TargetFailed, result.TargetBusy, result.WrongTarget:
		return true
	}
	return false
}

// sharedRandom draws from the generator of math/rand/v2, which is safe for concurrent use.
type sharedRandom struct{}

// Int64N implements outlier.Random.
func (sharedRandom) Int64N(n int64) int64 { return rand.Int64N(n) } //nolint:gosec // Spreads load only.
