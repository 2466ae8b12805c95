// Package metrics counts and times what a daemon does. Counters, gauges and
// histograms go through a tally scope into memory, where HTTP reads them.
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

// reportPeriod is how often the scope hands its values over, and so the greatest
// age of what HTTP reads.
const reportPeriod = 250 * time.Millisecond

// Registry is a daemon's root scope with the values that it reported.
type Registry struct {
	scope  tally.Scope
	closer io.Closer
	store  *store
}

// New starts a registry; Close ends it.
func New() *Registry {
	s := &store{counters: map[string]*Counter{}, gauges: map[string]*Gauge{}, histograms: map[string]*Histogram{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter:         s,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return &Registry{scope: scope, closer: closer, store: s}
}

// Provide makes a registry that ends with the application.
func Provide(lc fx.Lifecycle) *Registry {
	r := New()
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return r.Close() }})
	return r
}

// Close reports what is left and stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }

// Snapshot returns a copy of all values as last reported.
func (r *Registry) Snapshot() Snapshot { return r.store.snapshot() }

// Tags are the labels of a metric.
type Tags map[string]string

// Counter is a count that only rises.
type Counter struct {
	Name  string `json:"name"`
	Tags  Tags   `json:"tags"`
	Value int64  `json:"value"`
}

// Gauge is a value of the moment.
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

// Bucket counts the durations up to its bound and above the one before.
type Bucket struct {
	// UpTo is written as a Go duration, or "inf".
	UpTo  string `json:"up_to"`
	Count int64  `json:"count"`
}

// Snapshot is what /metrics.json serves.
type Snapshot struct {
	Counters   []Counter   `json:"counters"`
	Gauges     []Gauge     `json:"gauges"`
	Histograms []Histogram `json:"histograms"`
}

// store is a tally reporter that keeps the values in memory.
type store struct {
	mu         sync.Mutex
	counters   map[string]*Counter
	gauges     map[string]*Gauge
	histograms map[string]*Histogram
}

// metricID names a metric with its tags: name{a="x",b="y"}.
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

func (s *store) snapshot() Snapshot {
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
