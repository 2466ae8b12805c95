package load

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// RunReport holds the measurements of a run and the results of its checks.
type RunReport struct {
	Label string    `json:"label"`
	Begun time.Time `json:"begun"`
	// Loaded is the time from the start of the load to the last answer.
	Loaded     time.Duration    `json:"loaded_ns"`
	WarmUp     time.Duration    `json:"warm_up_ns"`
	Multiplier float64          `json:"multiplier"`
	Seed       uint64           `json:"seed"`
	Classes    []ClassReport    `json:"classes"`
	Faults     []Injection      `json:"faults,omitempty"`
	Gaps       []Gap            `json:"gaps,omitempty"`
	Share      ReplicaShare     `json:"replica_share"`
	Verdicts   []MemberVerdicts `json:"verdicts"`
	Notes      []string         `json:"notes,omitempty"`
}

// MemberVerdicts holds the results of the checks of one member's history.
type MemberVerdicts struct {
	Member   string    `json:"member"`
	Verdicts []Verdict `json:"verdicts"`
}

// ClassReport holds the figures of one class without the warm-up.
type ClassReport struct {
	Member string `json:"member"`
	Class  string `json:"class"`
	Write  bool   `json:"write"`
	// Offered is the number of arrivals, Overrun the number of those that were not
	// sent since too many requests were outstanding.
	Offered   int            `json:"offered"`
	Completed int            `json:"completed"`
	NotRun    int            `json:"not_run"`
	Unknown   int            `json:"unknown"`
	Overrun   int            `json:"overrun"`
	Codes     map[string]int `json:"codes"`
	// PerSecond is the rate of completed requests.
	PerSecond float64 `json:"per_second"`
	// Latency holds the latencies of the completed requests, Refused those of all
	// others that were sent.
	Latency Percentiles `json:"latency"`
	Refused Percentiles `json:"refused"`
	// Waited is the part of the latency before the first attempt, when no session
	// was free. Large values mean that the profile needs more sessions.
	Waited Percentiles `json:"waited"`
	// Seconds is the number of completed requests in each second of the run.
	Seconds []int `json:"seconds"`
}

// Percentiles holds percentiles of latencies, measured from the intended arrival.
type Percentiles struct {
	P50  time.Duration `json:"p50_ns"`
	P90  time.Duration `json:"p90_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	Max  time.Duration `json:"max_ns"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
	}
	return Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: time.Duration(h.Max()) * time.Microsecond}
}

// Violations returns the number of violations that all checks found.
func (r *RunReport) Violations() int {
	n := 0
	for _, m := range r.Verdicts {
		for _, v := range m.Verdicts {
			n += v.Count
		}
	}
	return n
}

func (r *run) report(injections []Injection, loaded time.Duration, share ReplicaShare) *RunReport {
	first := r.o.Profiles[0]
	report := &RunReport{
		Label:      r.o.Label,
		Begun:      r.begun,
		Loaded:     loaded,
		WarmUp:     first.WarmUp.Std(),
		Multiplier: first.Multiplier,
		Seed:       first.Seed,
		Faults:     injections,
		Share:      share,
	}
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	measured := (first.Duration - first.WarmUp).Std()
	for _, key := range sortedKeys(r.stats.classes) {
		report.Classes = append(report.Classes, r.stats.classes[key].report(key, measured))
	}
	for n, injection := range injections {
		if !injection.measuresGap() {
			continue
		}
		at := faultWindow{start: first.WarmUp.Std(), at: injection.At, next: nextFault(injections[n+1:], loaded), end: first.Duration.Std()}
		report.Gaps = append(report.Gaps, r.gapsAfter(injection, at)...)
	}
	return report
}

// nextFault returns when the next fault that may stop writes was injected, or end.
func nextFault(later []Injection, end time.Duration) time.Duration {
	for _, n := range later {
		if n.measuresGap() {
			return n.At
		}
	}
	return end
}

// gapsAfter measures the gap of the group that the fault hit, or of every group
// when it hit no single one.
func (r *run) gapsAfter(n Injection, s faultWindow) []Gap {
	var gaps []Gap
	for _, group := range r.groupNames() {
		if n.Group != "" && n.Group != group {
			continue
		}
		g := measureGap(r.stats.writes[group], r.stats.refusals[group], s)
		g.Group, g.Fault = group, n.Fault
		gaps = append(gaps, g)
	}
	return gaps
}

func (r *run) groupNames() []string {
	var names []string
	for _, p := range r.o.Profiles {
		for _, id := range r.o.Config.Groups(p.Service) {
			names = append(names, string(id))
		}
	}
	return names
}

func (c *classStats) report(key classKey, measured time.Duration) ClassReport {
	return ClassReport{
		Member:    key.Member,
		Class:     key.Class,
		Write:     c.write,
		Offered:   c.offered,
		Completed: c.outcomes[Completed],
		NotRun:    c.outcomes[NotRun],
		Unknown:   c.outcomes[Unknown],
		Overrun:   c.overrun,
		Codes:     c.codes,
		PerSecond: float64(c.outcomes[Completed]) / measured.Seconds(),
		Latency:   percentiles(c.completed),
		Refused:   percentiles(c.refused),
		Waited:    percentiles(c.waited),
		Seconds:   c.seconds,
	}
}

func sortedKeys[V any](m map[classKey]V) []classKey {
	keys := make([]classKey, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b classKey) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Class, b.Class))
	})
	return keys
}

// WriteJSON writes the report as JSON, which ReadReport reads.
func (r *RunReport) WriteJSON(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(path, raw, fileMode), "report")
}

// fileMode is the mode of reports and histories, which every user may read.
const fileMode = 0o644

// ReadReport reads a report that WriteJSON wrote.
func ReadReport(path string) (*RunReport, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	r := &RunReport{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, errors.Wrapf(err, "report %s", path)
	}
	return r, nil
}
