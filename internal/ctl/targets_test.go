package ctl

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// serveTargets serves the metrics of a VM that holds target a, where both mechanisms count the waiting requests, and
// that once held target b.
func serveTargets(t *testing.T) string {
	t.Helper()
	return serveMetrics(t, func(r *metrics.Registry) {
		connections, slots := metrics.NewConnections(r), metrics.NewSlots(r)
		queue, refusals := metrics.NewFairQueue(r), metrics.NewRefusals(r)
		connections.Opened("a", 1)
		connections.Opened("a", 2)
		connections.Opened("a", 3)
		connections.Reused("a")
		connections.Closed("a", "idle", 2)
		connections.Opened("b", 1)
		connections.Closed("b", "ended", 0)
		slots.Use("a", 3, 4, map[int]int{0: 2, 1: 5})
		slots.Lowered("a", "refused")
		queue.Waiting("a", 0, 2)
		queue.Waiting("a", 1, 4)
		queue.Refused("a", 1)
		queue.Expired("a", 0)
		queue.Granted("a", 0, time.Millisecond)
		refusals.Request("a", result.New(result.TargetBusy, ""))
		refusals.Request("a", result.New(result.OutcomeUnknown, ""))
		refusals.Request("b", nil)
		refusals.Request("", result.New(result.NoRight, ""))
	})
}

// Guards against sums over only some VMs, against waiting requests that are counted twice, against former holders that
// count as holders, and against refusals with an unknown outcome or without a target.
func TestTargetsSumsOverAllVMs(t *testing.T) {
	one, two := serveTargets(t), serveTargets(t)
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"--json", "targets", one, two, one}, &out, &errs); code != 0 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	var rows []targetRow
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	none, noneWaiting := map[string]int64{}, map[string]int{}
	want := []targetRow{{
		Target: "a", Holders: 2, Open: 4, Opened: 6, Reused: 2, InFlight: 6, Allowance: 8,
		Closed: map[string]int64{"idle": 2}, Lowered: map[string]int64{"refused": 2}, Waiting: map[string]int{"0": 4, "1": 10},
		Refused: map[string]int64{"TargetBusy": 2}, RefusedInQueue: map[string]int64{"1": 2}, Expired: map[string]int64{"0": 2},
	}, {
		Target: "b", Opened: 2, Closed: map[string]int64{"ended": 2}, Lowered: none, Waiting: noneWaiting,
		Refused: none, RefusedInQueue: none, Expired: none,
	}}
	if !reflect.DeepEqual(rows, want) {
		t.Errorf("%+v", rows)
	}
	out.Reset()
	if code := Run(t.Context(), []string{"targets", one, two}, &out, &errs); code != 0 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if got := strings.Join(strings.Fields(lines[1]), " "); len(lines) != 3 || got != "a 2 4 6 2 idle=2 6 8 0=4 1=10 TargetBusy=2" {
		t.Errorf("%s", out.String())
	}
}

// Guards against a target that is missing or that counts as held because its only entry is a gauge of a statement limit.
func TestTargetsShowsAHolderWithoutConnections(t *testing.T) {
	address := serveMetrics(t, func(r *metrics.Registry) {
		slots := metrics.NewSlots(r)
		slots.Use(topology.TargetID("held"), 0, 2, nil)
		slots.Use(topology.TargetID("released"), 0, 0, nil)
	})
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"--json", "targets", address}, &out, &errs); code != 0 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	var rows []targetRow
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	if len(rows) != 2 || rows[0].Holders != 1 || rows[1].Holders != 0 {
		t.Errorf("%+v", rows)
	}
}
