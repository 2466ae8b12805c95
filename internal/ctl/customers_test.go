package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// serveCustomers serves the metrics of a VM with requests of two customers that are counted by name, and of one
// that is not.
func serveCustomers(t *testing.T) string {
	t.Helper()
	r := metrics.New()
	c := metrics.NewCustomers(r)
	c.SetNamed([]topology.CustomerID{"amber", "birch"})
	c.Session("amber")
	c.Session("amber")()
	for range 9 {
		c.Request("amber", nil, 3*time.Millisecond)
	}
	c.Request("amber", result.New(result.MemberLimit, ""), 0)
	c.Request("birch", result.New(result.NoRight, ""), time.Second)
	c.Request("small", nil, time.Millisecond)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(metrics.Handler(r, func() string { return "" }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// serveResults serves the metrics of a VM that gave one customer each of these results once.
func serveResults(t *testing.T, customer topology.CustomerID, codes ...result.Code) string {
	t.Helper()
	return serveMetrics(t, func(r *metrics.Registry) {
		c := metrics.NewCustomers(r)
		c.SetNamed([]topology.CustomerID{customer})
		for _, code := range codes {
			c.Request(customer, result.New(code, ""), 0)
		}
	})
}

// serveMetrics serves the metrics of a VM that record makes.
func serveMetrics(t *testing.T, record func(*metrics.Registry)) string {
	t.Helper()
	r := metrics.New()
	record(r)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(metrics.Handler(r, func() string { return "" }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCustomersSumsOverAllVMs(t *testing.T) {
	one, two := serveCustomers(t), serveCustomers(t)
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"--json", "customers", one, two}, &out, &errs); code != 0 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	var rows []customerRow
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	if len(rows) != 3 || rows[0].Customer != "amber" || rows[1].Customer != metrics.OtherCustomers {
		t.Fatalf("%+v", rows)
	}
	if a := rows[0]; a.Sessions != 2 || a.Served != 18 || a.Limited != 2 || a.Failed != 0 || a.P50 != "5ms" {
		t.Errorf("%+v", a)
	}
	if b := rows[2]; b.Failed != 2 || b.Results["NoRight"] != 2 {
		t.Errorf("%+v", b)
	}
	out.Reset()
	if code := Run(t.Context(), []string{"customers", one}, &out, &errs); code != 0 || !strings.Contains(out.String(), "OVER LIMIT") {
		t.Fatalf("code %d: %s", code, out.String())
	}
}

// Guards against refusals whose cause the table hides, and against outcomes that aren't refusals among them.
func TestCustomersHasAColumnForEachRefusal(t *testing.T) {
	address := serveResults(t, "amber", result.MemberLimit, result.QueueFull, result.TargetBusy, result.OutcomeUnknown)
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"customers", address}, &out, &errs); code != 0 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	header, row, _ := strings.Cut(out.String(), "\n")
	if want := "CUSTOMER SESSIONS SERVED OVER LIMIT FAILED P50 P99 QueueFull TargetBusy"; strings.Join(strings.Fields(header), " ") != want {
		t.Errorf("header %q", header)
	}
	if got := strings.Join(strings.Fields(row), " "); !strings.HasPrefix(got, "amber 0 0 1 3 ") || !strings.HasSuffix(got, " 1 1") {
		t.Errorf("row %q", row)
	}
}

// Guards against refusals in the wrong group, against sums over only one VM, and against refusals that no group counts.
func TestWhyGroupsRefusalsOfOneCustomer(t *testing.T) {
	one := serveResults(t, "amber", result.MemberLimit, result.QueueFull, result.DeadlineInQueue, result.TargetBusy, result.OutcomeUnknown)
	two := serveResults(t, "amber", result.MemberLimit, result.ReplicaBehind)
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"--json", "customers", "--why", "amber", one, two}, &out, &errs); code != 0 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	var got whyAnswer
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := whyAnswer{Customer: "amber", Refused: []refusalRow{
		{reasonLimit, 2, map[string]int64{"MemberLimit": 2}},
		{reasonQueue, 2, map[string]int64{"QueueFull": 1, "DeadlineInQueue": 1}},
		{reasonTarget, 2, map[string]int64{"TargetBusy": 1, "ReplicaBehind": 1}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
	out.Reset()
	three := serveResults(t, "amber", result.BadCredentials)
	if code := Run(t.Context(), []string{"customers", "--why", "amber", three}, &out, &errs); code != 0 ||
		!strings.Contains(out.String(), "other") || !strings.Contains(out.String(), "BadCredentials=1") {
		t.Errorf("code %d: %s", code, out.String())
	}
}

// Guards against bad input that is answered with an empty table or with an error without a number.
func TestDaemonMetricsRefuseBadInput(t *testing.T) {
	address := serveResults(t, "amber", result.MemberLimit)
	missing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(missing.Close)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for name, test := range map[string]struct {
		argv []string
		code int
		want string
	}{
		"customers: no address":       {[]string{"customers"}, ExitUsage, "BTS-1308"},
		"targets: no address":         {[]string{"targets"}, ExitUsage, "BTS-1308"},
		"targets: no port":            {[]string{"targets", "127.0.0.1"}, ExitUsage, "BTS-1308"},
		"targets: unreachable daemon": {[]string{"targets", address, strings.TrimPrefix(gone.URL, "http://")}, ExitUnavailable, "BTS-1303"},
		"targets: no admin address":   {[]string{"targets", strings.TrimPrefix(missing.URL, "http://")}, ExitUnavailable, "404"},
		"why: unknown customer":       {[]string{"customers", "--why", "birch", address}, ExitRefused, "BTS-1307"},
		"why: which are known":        {[]string{"customers", "--why", "birch", address}, ExitRefused, "amber"},
	} {
		var out, errs bytes.Buffer
		if code := Run(t.Context(), test.argv, &out, &errs); code != test.code || !strings.Contains(errs.String(), test.want) || out.Len() > 0 {
			t.Errorf("%s: code %d, %q, %q", name, code, errs.String(), out.String())
		}
	}
}

func TestCustomersFailsIfAVMIsUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"customers", strings.TrimPrefix(server.URL, "http://")}, &out, &errs); code != 3 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
}
