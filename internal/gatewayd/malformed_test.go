package gatewayd

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against an entry of another writer that hides the databases' own, ends the process, or fills the log with each time
// that it is written.
func TestAnOddEntryBelongsToNobody(t *testing.T) {
	var log bytes.Buffer
	registry := metrics.New()
	d := &daemon{
		Directory: directory.New(topology.VM{ID: "vm-1"}), Log: slog.New(slog.NewTextHandler(&log, nil)),
		Malformed: newMalformed(metrics.NewStore(registry)), Unconfirmed: newUnconfirmedEntries(),
	}
	entry := func(key string, born int) metastore.Row {
		raw := `{"service":"s","address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready","db_role":"replica","born":%d}`
		return metastore.Row{Key: key, Value: fmt.Appendf(nil, raw, born)}
	}
	d.applyTarget(entry("i-1", 1760000000000), directory.Timing{})
	for i := range 3 {
		odd := []metastore.Row{
			{Key: "odd", Value: []byte(strings.Repeat("[", 20000+i))},
			{Key: "i-1@1760000000000", Value: []byte(`{"service":"s","address":"10.0.0.8:80","zone":"z","slots":2,"state":"ready","db_role":"primary"}`)},
			entry("later", 9000000000000+i), // It would pass for a later start at the same address.
		}
		for _, row := range odd {
			d.applyTarget(row, directory.Timing{})
		}
	}
	targets := d.Directory.Targets()
	if len(targets) != 1 || targets[0].Registration != "i-1" || targets[0].Address != "10.0.0.9:80" {
		t.Fatalf("targets %+v", targets)
	}
	if n := strings.Count(log.String(), "event=registration_malformed"); n != 3 {
		t.Fatalf("%d lines for three entries:\n%s", n, log.String())
	}
	if err := registry.Close(); err != nil { // It reports what was counted.
		t.Fatal(err)
	}
	if n := registry.Snapshot().Counters; len(n) != 1 || n[0].Name != metrics.InvalidRegistrations || n[0].Value != 9 {
		t.Fatalf("counters %+v", n)
	}
}
