package ctl

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// customerRow is the sessions and requests of one customer, summed over the VMs queried.
type customerRow struct {
	Customer string           `json:"customer"`
	Sessions int              `json:"sessions"`
	Served   int64            `json:"served"`
	Limited  int64            `json:"limited"`
	Failed   int64            `json:"failed"`
	Results  map[string]int64 `json:"results"`
	// P50 and P99 are the upper bounds of the histogram buckets that hold these
	// quantiles of the latency; empty without requests.
	P50 string `json:"p50"`
	P99 string `json:"p99"`

	buckets []metrics.Bucket
}

// customers prints the daemons' per-customer metrics, summed over the daemons. It needs no
// settings file: it reads the admin addresses given as arguments.
func (t *tool) customers(ctx context.Context, c *customersCommand) error {
	all, err := readAllMetrics(ctx, c.Addresses)
	if err != nil {
		return err
	}
	rows := map[string]*customerRow{}
	for _, s := range all {
		addMetrics(rows, s)
	}
	if c.Why != "" {
		return t.why(rows, c.Why)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *customerRow) int {
		return cmp.Or(cmp.Compare(b.Served, a.Served), cmp.Compare(a.Customer, b.Customer))
	})
	refusals := map[string]bool{}
	for _, r := range sorted {
		r.P50, r.P99 = quantile(r.buckets, 0.5), quantile(r.buckets, 0.99)
		for name := range r.Results {
			if isRefusal(name) && name != result.MemberLimit.Name() { // MemberLimit has a column of its own.
				refusals[name] = true
			}
		}
	}
	columns := slices.Sorted(maps.Keys(refusals))
	table := table{header: append([]string{"CUSTOMER", "SESSIONS", "SERVED", "OVER LIMIT", "FAILED", "P50", "P99"}, columns...)}
	for _, r := range sorted {
		row := []string{
			r.Customer, strconv.Itoa(r.Sessions), strconv.FormatInt(r.Served, 10), strconv.FormatInt(r.Limited, 10),
			strconv.FormatInt(r.Failed, 10), orDash(r.P50), orDash(r.P99),
		}
		for _, name := range columns {
			row = append(row, strconv.FormatInt(r.Results[name], 10))
		}
		table.rows = append(table.rows, row)
	}
	return t.out.answer(sorted, table)
}

func addMetrics(rows map[string]*customerRow, s metrics.Snapshot) {
	row := func(tags metrics.Tags) *customerRow {
		name := tags[metrics.TagCustomer]
		if rows[name] == nil {
			rows[name] = &customerRow{Customer: name, Results: map[string]int64{}}
		}
		return rows[name]
	}
	for _, c := range s.Counters {
		if c.Name == metrics.CustomerRequests {
			row(c.Tags).addResult(c.Tags[metrics.TagResult], c.Value)
		}
	}
	for _, g := range s.Gauges {
		if g.Name == metrics.CustomerSessions {
			row(g.Tags).Sessions += int(g.Value)
		}
	}
	for _, h := range s.Histograms {
		if h.Name == metrics.CustomerLatency {
			r := row(h.Tags)
			r.buckets = addBuckets(r.buckets, h.Buckets)
		}
	}
}

func (r *customerRow) addResult(outcome string, n int64) {
	r.Results[outcome] += n
	switch outcome {
	case metrics.ResultOK:
		r.Served += n
	case result.MemberLimit.Name():
		r.Limited += n
	default:
		r.Failed += n
	}
}

// addBuckets adds the counts of a histogram to sum; all daemons use the same bucket bounds.
func addBuckets(sum, more []metrics.Bucket) []metrics.Bucket {
	if sum == nil {
		return slices.Clone(more)
	}
	for i := range min(len(sum), len(more)) {
		sum[i].Count += more[i].Count
	}
	return sum
}

// quantile returns the upper bound of the bucket that holds quantile q (0 to 1), or "" if the
// histogram is empty.
func quantile(buckets []metrics.Bucket, q float64) string {
	total := int64(0)
	for _, b := range buckets {
		total += b.Count
	}
	seen := int64(0)
	for _, b := range buckets {
		seen += b.Count
		if total > 0 && float64(seen) >= q*float64(total) {
			return b.UpTo
		}
	}
	return ""
}
