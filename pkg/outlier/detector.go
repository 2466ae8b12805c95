// Package outlier decides which targets of a group get fewer reads because they fail more, or answer more slowly,
// than the others, and how often a request that is refused is tried again.
//
// It does no I/O, reads no clock and has no random source of its own. Its types are not safe for concurrent use.
package outlier

import (
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// ProbeShare is the share of the reads that an outlier still gets.
	ProbeShare = 1.0 / 20
	// maxFailureRate is the share of its statements that a target may fail before it is an outlier.
	maxFailureRate = 0.2
	// slowFactor is how many times as long as the median of the others a target's answers take before it is an
	// outlier.
	slowFactor = 3
	// recoveryAnswers is how many of its last answers must be good before an outlier counts as usual again.
	recoveryAnswers = 5
)

// Reason is why a target is an outlier.
type Reason string

// The reasons.
const (
	// Usual is the reason of a target that is no outlier.
	Usual   Reason = ""
	Failing Reason = "failing"
	Slow    Reason = "slow"
)

// Detector compares the targets of one group by their answers. Use NewDetector.
type Detector struct{ targets map[topology.TargetID]*record }

// record is what is known of one target.
type record struct {
	classes map[string]*window
	reason  Reason
	// good is the number of consecutive good answers since the target became an outlier, and judged when the last
	// answer was judged good or bad.
	good   int
	judged mono.Time
}

// NewDetector returns a detector without any answers, for which no target is an outlier.
func NewDetector() *Detector { return &Detector{targets: map[topology.TargetID]*record{}} }

// Record adds a target's answer to a statement of a class, which took the given time, or failed. It returns the
// target's state before and after it.
func (d *Detector) Record(target topology.TargetID, class string, took time.Duration, failed bool, now mono.Time) (before, after Reason) {
	r := d.record(target, now)
	w := r.classes[class]
	if w == nil {
		w = &window{}
		r.classes[class] = w
	}
	w.add(answer{at: now, took: took, failed: failed})
	before = r.reason
	if before == Usual {
		r.reason, r.good, r.judged = d.compare(target, now), 0, now
	} else {
		d.recover(r, target, class, took, failed, now)
	}
	return before, r.reason
}

// record returns the target's record. When a new one is made, those of targets without recent answers are dropped.
func (d *Detector) record(target topology.TargetID, now mono.Time) *record {
	r := d.targets[target]
	if r != nil {
		return r
	}
	for id, other := range d.targets {
		if other.expired(now) {
			delete(d.targets, id)
		}
	}
	r = &record{classes: map[string]*window{}}
	d.targets[target] = r
	return r
}

func (r *record) expired(now mono.Time) bool {
	for _, w := range r.classes {
		if now.Sub(w.newest()) <= maxAge {
			return false
		}
	}
	return true
}

// recover ends the state of an outlier after enough good answers, once the others fail as well, or if its answers can
// no longer be compared. Answers of a class that no other target serves don't show whether a slow target has recovered.
func (d *Detector) recover(r *record, target topology.TargetID, class string, took time.Duration, failed bool, now mono.Time) {
	median, comparable := d.otherAnswerTime(target, class, now)
	switch {
	case failed || comparable && took > slowFactor*median:
		r.good, r.judged = 0, now
	case comparable || r.reason == Failing:
		r.good++
		r.judged = now
	}
	rate, known := d.otherFailureRate(target, now)
	othersFail := r.reason == Failing && known && rate > maxFailureRate
	if r.good >= recoveryAnswers || othersFail || now.Sub(r.judged) > maxAge {
		*r = record{classes: map[string]*window{}} // Answers from before the recovery would make it an outlier again.
	}
}

// Weight returns the share of a target's usual reads that it gets.
func (d *Detector) Weight(target topology.TargetID, _ mono.Time) float64 {
	if r := d.targets[target]; r != nil && r.reason != Usual {
		return ProbeShare
	}
	return 1
}

// priorAnswers is the number of answers as which the median of the others counts in Service, so that one slow answer
// does not turn all reads away from a target.
const priorAnswers = 3

// Service returns the expected answer time of a class at a target: the mean of its recent answers and the median of
// the other targets. It returns false if no target has answered. A target that was slow gets reads again once its
// answers are old. The answers of an outlier don't count, since its weight already limits its reads.
func (d *Detector) Service(target topology.TargetID, class string, now mono.Time) (time.Duration, bool) {
	others, known := d.otherAnswerTime(target, class, now)
	r := d.targets[target]
	if r == nil || r.reason != Usual || r.classes[class] == nil {
		return others, known
	}
	s := r.classes[class].summary(now, 0)
	if known {
		s.succeeded += priorAnswers
		s.took += priorAnswers * others
	}
	return s.mean(), s.succeeded > 0
}

// compare returns why a target is an outlier among the others.
func (d *Detector) compare(target topology.TargetID, now mono.Time) Reason {
	rate, known := d.targets[target].failureRate(now)
	others, othersKnown := d.otherFailureRate(target, now)
	if known && othersKnown && rate > maxFailureRate && others <= maxFailureRate {
		return Failing
	}
	var own, expected time.Duration
	answers := 0
	for class, w := range d.targets[target].classes {
		s := w.summary(now, leastAnswers)
		median, comparable := d.otherAnswerTime(target, class, now)
		if s.succeeded == 0 || !comparable {
			continue
		}
		answers += s.succeeded
		own += s.took
		expected += time.Duration(s.succeeded) * median
	}
	if answers >= leastAnswers && own > slowFactor*expected {
		return Slow
	}
	return Usual
}

// otherAnswerTime returns the median of the other targets' mean answer times of a class.
func (d *Detector) otherAnswerTime(target topology.TargetID, class string, now mono.Time) (time.Duration, bool) {
	var means []time.Duration
	for id, r := range d.targets {
		w := r.classes[class]
		if id == target || w == nil {
			continue
		}
		if s := w.summary(now, leastAnswers); s.succeeded >= leastCompared {
			means = append(means, s.mean())
		}
	}
	return median(means)
}

// otherFailureRate returns the median of the other targets' failure rates.
func (d *Detector) otherFailureRate(target topology.TargetID, now mono.Time) (float64, bool) {
	var rates []float64
	for id, r := range d.targets {
		if id == target {
			continue
		}
		if rate, known := r.failureRate(now); known {
			rates = append(rates, rate)
		}
	}
	return median(rates)
}

// failureRate returns the share of a target's statements that failed, over all classes.
func (r *record) failureRate(now mono.Time) (float64, bool) {
	failed, all := 0, 0
	for _, w := range r.classes {
		s := w.summary(now, leastAnswers)
		failed += s.failed
		all += s.failed + s.succeeded
	}
	if all < leastAnswers {
		return 0, false
	}
	return float64(failed) / float64(all), true
}

func median[T time.Duration | float64](values []T) (T, bool) {
	n := len(values)
	if n == 0 {
		return 0, false
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2, true
}
