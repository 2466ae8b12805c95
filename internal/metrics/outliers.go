package metrics

import (
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Names of the metrics of outlier detection and of bounded attempts.
const (
	// TargetOutlier is 1 while this VM sends a target fewer reads, else 0, by target.
	TargetOutlier = "target_outlier"
	// OutlierVerdicts counts how often a target became an outlier, by reason.
	OutlierVerdicts = "outlier_verdicts"
	// OutlierProbes counts the reads that were sent to an outlier, by target.
	OutlierProbes = "outlier_probes"
	// AttemptsExhausted counts requests that were refused after the largest number of attempts, by class.
	AttemptsExhausted = "attempts_exhausted"
	// ReadsBehind counts reads that were refused because no replica held the position in time and the primary was
	// saturated, by class.
	ReadsBehind = "reads_refused_behind"
	// ReadWaits counts the waits of reads for a replica to catch up, by class.
	ReadWaits = "read_waits_for_replica"

	tagOutlierReason = "reason"
)

// Outliers records the decisions of outlier detection and of bounded attempts. A nil Outliers records nothing.
type Outliers struct{ scopes scopes }

// NewOutliers returns a recorder that reports to the registry.
func NewOutliers(r *Registry) *Outliers { return &Outliers{scopes{root: r.scope}} }

// Verdict records that a target became an outlier for a reason, or ceased to be one if the reason is empty.
func (o *Outliers) Verdict(target topology.TargetID, reason string) {
	if o == nil {
		return
	}
	gauge := o.scopes.get(scopeKey{extraName: TagTarget, extra: string(target)}).Gauge(TargetOutlier)
	if reason == "" {
		gauge.Update(0)
		return
	}
	gauge.Update(1)
	o.scopes.get(scopeKey{extraName: tagOutlierReason, extra: reason}).Counter(OutlierVerdicts).Inc(1)
}

// Probe counts a read that was sent to an outlier.
func (o *Outliers) Probe(target topology.TargetID) {
	if o == nil {
		return
	}
	o.scopes.get(scopeKey{extraName: TagTarget, extra: string(target)}).Counter(OutlierProbes).Inc(1)
}

// Count counts a decision of one of the metrics by class.
func (o *Outliers) Count(metric, class string) {
	if o == nil {
		return
	}
	o.scopes.get(scopeKey{class: class}).Counter(metric).Inc(1)
}
