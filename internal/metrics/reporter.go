package metrics

import (
	"math"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reporting and Tagging implement tally.Capabilities.
func (s *store) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (s *store) Tagging() bool { return true }

// Capabilities implements tally.BaseStatsReporter.
func (s *store) Capabilities() tally.Capabilities { return s }

// Flush implements tally.BaseStatsReporter; values are in memory already.
func (s *store) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (s *store) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := metricID(name, tags)
	if s.counters[id] == nil {
		s.counters[id] = &Counter{Name: name, Tags: tags}
	}
	return counter{s, s.counters[id]}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (s *store) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := metricID(name, tags)
	if s.gauges[id] == nil {
		s.gauges[id] = &Gauge{Name: name, Tags: tags}
	}
	return gauge{s, s.gauges[id]}
}

// AllocateTimer implements tally.CachedStatsReporter; the daemon has histograms
// in place of timers.
func (s *store) AllocateTimer(string, map[string]string) tally.CachedTimer { return noTimer{} }

// AllocateHistogram implements tally.CachedStatsReporter.
func (s *store) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
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
	store *store
	value *Counter
}

// ReportCount adds what came since the last report.
func (c counter) ReportCount(delta int64) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.value.Value += delta
}

type gauge struct {
	store *store
	value *Gauge
}

// ReportGauge replaces the value.
func (g gauge) ReportGauge(value float64) {
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	g.value.Value = value
}

type noTimer struct{}

// ReportTimer drops the value.
func (noTimer) ReportTimer(time.Duration) {}

type histogram struct {
	store *store
	value *Histogram
}

// ValueBucket implements tally.CachedHistogram; all histograms hold durations.
func (h histogram) ValueBucket(_, _ float64) tally.CachedHistogramBucket { return noBucket{} }

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upTo time.Duration) tally.CachedHistogramBucket {
	name := boundName(upTo)
	for i := range h.value.Buckets {
		if h.value.Buckets[i].UpTo == name {
			return bucket{h.store, &h.value.Buckets[i]}
		}
	}
	return noBucket{}
}

type bucket struct {
	store *store
	value *Bucket
}

// ReportSamples adds what came since the last report.
func (b bucket) ReportSamples(delta int64) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.value.Count += delta
}

type noBucket struct{}

// ReportSamples drops the samples.
func (noBucket) ReportSamples(int64) {}
