package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// figure is one number of a class report that Compare shows.
type figure struct {
	name  string
	value func(*ClassReport) float64
}

const nanosecondsPerMillisecond = 1e6

var figures = []figure{
	{"completed/s", func(c *ClassReport) float64 { return c.PerSecond }},
	{"p50 ms", func(c *ClassReport) float64 { return float64(c.Latency.P50) / nanosecondsPerMillisecond }},
	{"p99 ms", func(c *ClassReport) float64 { return float64(c.Latency.P99) / nanosecondsPerMillisecond }},
	{"not run", func(c *ClassReport) float64 { return float64(c.NotRun) }},
	{"unknown", func(c *ClassReport) float64 { return float64(c.Unknown) }},
}

// Compare writes, for each figure, the median over the reports of each label and
// its ratio to the first label's median.
func Compare(w io.Writer, reports []*RunReport) error {
	labels := labelsOf(reports)
	t := newTable(w)
	fmt.Fprint(t, "member\tclass\tfigure")
	for n, label := range labels {
		fmt.Fprintf(t, "\t%s (%d)", label, len(withLabel(reports, label)))
		if n > 0 {
			fmt.Fprint(t, "\tratio")
		}
	}
	fmt.Fprintln(t)
	for _, key := range classesOf(reports) {
		for _, f := range figures {
			writeComparison(t, reports, labels, fmt.Sprintf("%s\t%s\t%s", key.Member, key.Class, f.name), classValues(key, f))
		}
	}
	writeComparison(t, reports, labels, "\t\tlongest gap ms", gapValues)
	writeComparison(t, reports, labels, "\t\treplica reads %", shareValues)
	writeComparison(t, reports, labels, "\t\tviolations", func(r *RunReport) []float64 { return []float64{float64(r.Violations())} })
	return t.Flush()
}

func writeComparison(w io.Writer, reports []*RunReport, labels []string, title string, values func(*RunReport) []float64) {
	fmt.Fprint(w, title)
	var baseline float64
	for n, label := range labels {
		var samples []float64
		for _, r := range withLabel(reports, label) {
			samples = append(samples, values(r)...)
		}
		middle, ok := median(samples)
		if !ok {
			fmt.Fprint(w, "\t-")
		} else {
			fmt.Fprintf(w, "\t%.2f", middle)
		}
		if n == 0 {
			baseline = middle
			continue
		}
		fmt.Fprintf(w, "\t%s", ratio(middle, baseline, ok))
	}
	fmt.Fprintln(w)
}

func ratio(value, baseline float64, ok bool) string {
	if !ok || baseline == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/baseline)
}

func classValues(key classKey, f figure) func(*RunReport) []float64 {
	return func(r *RunReport) []float64 {
		for i := range r.Classes {
			c := &r.Classes[i]
			if c.Member == key.Member && c.Class == key.Class {
				return []float64{f.value(c)}
			}
		}
		return nil
	}
}

func gapValues(r *RunReport) []float64 {
	if len(r.Gaps) == 0 {
		return nil
	}
	longest := slices.MaxFunc(r.Gaps, func(a, b Gap) int { return cmp.Compare(a.Length, b.Length) })
	return []float64{float64(longest.Length) / nanosecondsPerMillisecond}
}

func shareValues(r *RunReport) []float64 {
	var total ClassShare
	for _, c := range r.Share.Classes {
		total.Replica += c.Replica
		total.Primary += c.Primary
	}
	if percent, ok := total.Percent(); ok {
		return []float64{percent}
	}
	return nil
}

// median returns the middle value, or the mean of the middle two.
func median(values []float64) (float64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half], true
	}
	return (sorted[half-1] + sorted[half]) / 2, true
}

func labelsOf(reports []*RunReport) []string {
	var labels []string
	for _, r := range reports {
		if !slices.Contains(labels, r.Label) {
			labels = append(labels, r.Label)
		}
	}
	return labels
}

func withLabel(reports []*RunReport, label string) []*RunReport {
	var out []*RunReport
	for _, r := range reports {
		if r.Label == label {
			out = append(out, r)
		}
	}
	return out
}

func classesOf(reports []*RunReport) []classKey {
	keys := map[classKey]bool{}
	for _, r := range reports {
		for _, c := range r.Classes {
			keys[classKey{c.Member, c.Class}] = true
		}
	}
	return sortedKeys(keys)
}
