// Package metrics records a daemon's metrics. Counters, gauges and histograms are
// reported through a tally scope to memory, from which they are served over HTTP.
package metrics

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
)

// ReportPeriod is how often the scope reports its values, and so the largest age of
// the values served over HTTP.
const ReportPeriod = 250 * time.Millisecond

// Registry is a daemon's root scope with the values that it has reported.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// New returns a registry and starts its reporting. Close stops it.
func New() *Registry {
	s := &reporter{counters: map[string]*Counter{}, gauges: map[string]*Gauge{}, histograms: map[string]*Histogram{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter:         s,
		OmitCardinalityMetrics: true,
	}, ReportPeriod)
	return &Registry{scope: scope, closer: closer, reporter: s}
}

// Provide returns a registry that is closed when the application stops.
func Provide(lc fx.Lifecycle) *Registry {
	r := New()
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return r.Close() }})
	return r
}

// Close reports the remaining values and stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }

// Snapshot returns a copy of all values as last reported.
func (r *Registry) Snapshot() Snapshot { return r.reporter.snapshot() }

// Tags are the labels of a metric.
type Tags map[string]string

// Counter is a count that only increases.
type Counter struct {
	Name  string `json:"name"`
	Tags  Tags   `json:"tags"`
	Value int64  `json:"value"`
}

// Gauge is a current value.
type Gauge struct {
	Name  string  `json:"name"`
	Tags  Tags    `json:"tags"`
	Value float64 `json:"value"`
}

// Histogram counts durations by bucket.
type Histogram struct {
	Name    string   `json:"name"`
	Tags    Tags     `json:"tags"`
	Buckets []Bucket `json:"buckets"`
}

// Bucket counts the durations up to its bound and above the previous bucket's.
type Bucket struct {
	// UpTo is the upper bound, formatted as a Go duration, or "inf".
	UpTo  string `json:"up_to"`
	Count int64  `json:"count"`
}

// Snapshot is what /metrics.json serves.
type Snapshot struct {
	Counters   []Counter   `json:"counters"`
	Gauges     []Gauge     `json:"gauges"`
	Histograms []Histogram `json:"histograms"`
}

// reporter is a tally reporter that keeps the values in memory.
type reporter struct {
	mu         sync.Mutex
	counters   map[string]*Counter
	gauges     map[string]*Gauge
	histograms map[string]*Histogram
}

// metricID returns a metric's name with its tags, such as name{a="x",b="y"}.
func metricID(name string, tags Tags) string {
	if len(tags) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	separator := byte('{')
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		b.WriteByte(separator)
		b.WriteString(key + `="` + tags[key] + `"`)
		separator = ','
	}
	b.WriteByte('}')
	return b.String()
}

func (s *reporter) snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Snapshot{}
	for _, id := range slices.Sorted(maps.Keys(s.counters)) {
		out.Counters = append(out.Counters, *s.counters[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.gauges)) {
		out.Gauges = append(out.Gauges, *s.gauges[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.histograms)) {
		h := *s.histograms[id]
		h.Buckets = slices.Clone(h.Buckets)
		out.Histograms = append(out.Histograms, h)
	}
	return out
}
