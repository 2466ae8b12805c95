package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

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

// metricsTimeout is the timeout for reading the metrics of one VM.
const metricsTimeout = 3 * time.Second

// customers prints the daemons' per-customer metrics, summed over the daemons. It needs no
// settings file: it reads the admin addresses given as arguments.
func (t *tool) customers(ctx context.Context, c *customersCommand) error {
	rows := map[string]*customerRow{}
	for _, address := range c.Addresses {
		s, err := readMetrics(ctx, address)
		if err != nil {
			return result.New(result.PlatformUnavailable, "%s: %v", address, err)
		}
		addMetrics(rows, s)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *customerRow) int {
		return cmp.Or(cmp.Compare(b.Served, a.Served), cmp.Compare(a.Customer, b.Customer))
	})
	for _, r := range sorted {
		r.P50, r.P99 = quantile(r.buckets, 0.5), quantile(r.buckets, 0.99)
	}
	table := table{header: []string{"CUSTOMER", "SESSIONS", "SERVED", "OVER LIMIT", "FAILED", "P50", "P99"}}
	for _, r := range sorted {
		table.rows = append(table.rows, []string{
			r.Customer, strconv.Itoa(r.Sessions), strconv.FormatInt(r.Served, 10), strconv.FormatInt(r.Limited, 10),
			strconv.FormatInt(r.Failed, 10), orDash(r.P50), orDash(r.P99),
		})
	}
	return t.out.answer(sorted, table)
}

func readMetrics(ctx context.Context, address string) (metrics.Snapshot, error) {
	var s metrics.Snapshot
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metrics.PathJSON, nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
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
