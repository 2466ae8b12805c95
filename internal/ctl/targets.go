package ctl

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
)

// targetRow is the load of one target, summed over the VMs queried.
type targetRow struct {
	Target string `json:"target"`
	// Holders is the number of VMs that have connections to the target, or an allowance of its slots.
	Holders   int   `json:"holders"`
	Open      int   `json:"open"`
	Opened    int64 `json:"opened"`
	Reused    int64 `json:"reused"`
	InFlight  int   `json:"in_flight"`
	Allowance int   `json:"allowance"`
	// Closed are the closed connections by reason, and Lowered the reductions of allowances by reason.
	Closed  map[string]int64 `json:"closed"`
	Lowered map[string]int64 `json:"allowance_lowered"`
	// Waiting are the requests that wait for a connection, by priority.
	Waiting map[string]int `json:"waiting"`
	// Refused are the refused requests by result. RefusedInQueue and Expired are those of them, by priority, that were
	// refused at once since they would have waited for too long, and that waited until their deadline.
	Refused        map[string]int64 `json:"refused"`
	RefusedInQueue map[string]int64 `json:"refused_in_queue"`
	Expired        map[string]int64 `json:"expired_in_queue"`
}

// targetRows are rows by target.
type targetRows map[string]*targetRow

func (rows targetRows) get(id string) *targetRow {
	if rows[id] == nil {
		rows[id] = &targetRow{
			Target: id, Closed: map[string]int64{}, Lowered: map[string]int64{}, Waiting: map[string]int{},
			Refused: map[string]int64{}, RefusedInQueue: map[string]int64{}, Expired: map[string]int64{},
		}
	}
	return rows[id]
}

// targets prints the load of targets, summed over the daemons with the admin addresses given as arguments.
func (t *tool) targets(ctx context.Context, c *targetsCommand) error {
	all, err := readAllMetrics(ctx, c.Addresses)
	if err != nil {
		return err
	}
	rows := targetRows{}
	for _, s := range all {
		rows.addCounters(s.Counters)
		rows.addGauges(s.Gauges)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *targetRow) int { return cmp.Compare(a.Target, b.Target) })
	table := table{header: []string{
		"TARGET", "HOLDERS", "OPEN", "OPENED", "REUSED", "CLOSED", "IN FLIGHT", "ALLOWANCE", "WAITING", "REFUSED",
	}}
	for _, r := range sorted {
		table.rows = append(table.rows, []string{
			r.Target, strconv.Itoa(r.Holders), strconv.Itoa(r.Open), strconv.FormatInt(r.Opened, 10),
			strconv.FormatInt(r.Reused, 10), formatCounts(r.Closed), strconv.Itoa(r.InFlight), strconv.Itoa(r.Allowance),
			formatCounts(r.Waiting), formatCounts(r.Refused),
		})
	}
	return t.out.answer(sorted, table)
}

func (rows targetRows) addCounters(counters []metrics.Counter) {
	for _, c := range counters {
		id, priority := c.Tags[metrics.TagTarget], c.Tags[metrics.TagPriority]
		switch c.Name {
		case metrics.TargetConnectionsOpened:
			rows.get(id).Opened += c.Value
		case metrics.TargetConnectionsReused:
			rows.get(id).Reused += c.Value
		case metrics.TargetConnectionsClosed:
			rows.get(id).Closed[c.Tags[metrics.TagReason]] += c.Value
		case metrics.SlotLowered:
			rows.get(id).Lowered[c.Tags[metrics.TagReason]] += c.Value
		case metrics.TargetRefusals:
			rows.get(id).Refused[c.Tags[metrics.TagResult]] += c.Value
		case metrics.FairQueueRefused:
			rows.get(id).RefusedInQueue[priority] += c.Value
		case metrics.FairQueueExpired:
			rows.get(id).Expired[priority] += c.Value
		}
	}
}

// queue identifies the requests of one priority that wait for a target.
type queue struct{ target, priority string }

// addGauges adds the gauges of one VM.
func (rows targetRows) addGauges(gauges []metrics.Gauge) {
	holds, waiting := map[string]bool{}, map[queue]int{}
	for _, g := range gauges {
		id, n := g.Tags[metrics.TagTarget], int(g.Value)
		switch g.Name {
		case metrics.TargetConnections:
			rows.get(id).Open += n
			holds[id] = holds[id] || n > 0
		case metrics.SlotStatements:
			rows.get(id).InFlight += n
		case metrics.SlotAllowance:
			rows.get(id).Allowance += n
			holds[id] = holds[id] || n > 0
		case metrics.SlotWaiting, metrics.FairQueueWaiting:
			// A VM with both mechanisms reports the same requests twice.
			q := queue{id, g.Tags[metrics.TagPriority]}
			waiting[q] = max(waiting[q], n)
		}
	}
	for id, held := range holds {
		if held {
			rows.get(id).Holders++
		}
	}
	for q, n := range waiting {
		rows.get(q.target).Waiting[q.priority] += n
	}
}
