package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

func TestCustomersFailsIfAVMIsUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"customers", strings.TrimPrefix(server.URL, "http://")}, &out, &errs); code != 3 {
		t.Fatalf("code %d: %s", code, errs.String())
	}
}
