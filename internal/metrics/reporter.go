package metrics

import (
	"math"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reporting and Tagging implement tally.Capabilities.
func (s *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (s *reporter) Tagging() bool { return true }

// Capabilities implements tally.BaseStatsReporter.
func (s *reporter) Capabilities() tally.Capabilities { return s }

// Flush implements tally.BaseStatsReporter. It does nothing, since values are in
// memory already.
func (s *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (s *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := metricID(name, tags)
	if s.counters[id] == nil {
		s.counters[id] = &Counter{Name: name, Tags: tags}
	}
	return counter{s, s.counters[id]}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (s *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := metricID(name, tags)
	if s.gauges[id] == nil {
		s.gauges[id] = &Gauge{Name: name, Tags: tags}
	}
	return gauge{s, s.gauges[id]}
}

// AllocateTimer implements tally.CachedStatsReporter. The daemon uses histograms
// instead of timers, so the timer drops its values.
func (s *reporter) AllocateTimer(string, map[string]string) tally.CachedTimer { return noTimer{} }

// AllocateHistogram implements tally.CachedStatsReporter.
func (s *reporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := metricID(name, tags)
	if s.histograms[id] == nil {
		h := &Histogram{Name: name, Tags: tags}
		for _, upTo := range buckets.AsDurations() {
			h.Buckets = append(h.Buckets, Bucket{UpTo: boundName(upTo)})
		}
		h.Buckets = append(h.Buckets, Bucket{UpTo: boundName(math.MaxInt64)})
		s.histograms[id] = h
	}
	return histogram{s, s.histograms[id]}
}

func boundName(d time.Duration) string {
	if d == math.MaxInt64 {
		return "inf"
	}
	return d.String()
}

type counter struct {
	reporter *reporter
	value    *Counter
}

// ReportCount adds the increase since the last report.
func (c counter) ReportCount(delta int64) {
	c.reporter.mu.Lock()
	defer c.reporter.mu.Unlock()
	c.value.Value += delta
}

type gauge struct {
	reporter *reporter
	value    *Gauge
}

// ReportGauge replaces the value.
func (g gauge) ReportGauge(value float64) {
	g.reporter.mu.Lock()
	defer g.reporter.mu.Unlock()
	g.value.Value = value
}

type noTimer struct{}

// ReportTimer drops the value.
func (noTimer) ReportTimer(time.Duration) {}

type histogram struct {
	reporter *reporter
	value    *Histogram
}

// ValueBucket implements tally.CachedHistogram. All histograms hold durations, so
// the bucket drops its samples.
func (h histogram) ValueBucket(_, _ float64) tally.CachedHistogramBucket { return noBucket{} }

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upTo time.Duration) tally.CachedHistogramBucket {
	name := boundName(upTo)
	for i := range h.value.Buckets {
		if h.value.Buckets[i].UpTo == name {
			return bucket{h.reporter, &h.value.Buckets[i]}
		}
	}
	return noBucket{}
}

type bucket struct {
	reporter *reporter
	value    *Bucket
}

// ReportSamples adds the samples since the last report.
func (b bucket) ReportSamples(delta int64) {
	b.reporter.mu.Lock()
	defer b.reporter.mu.Unlock()
	b.value.Count += delta
}

type noBucket struct{}

// ReportSamples drops the samples.
func (noBucket) ReportSamples(int64) {}
