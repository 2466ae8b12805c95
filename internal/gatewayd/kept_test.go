package gatewayd

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/platform"
)

// configurationRow returns a row with a configuration of the version that limits one customer.
func configurationRow(version string, rate string, at metastore.Version) metastore.Row {
	raw := `{"version":` + version + `,"routes":[],"services":[],"limits":{},"tenants":[{"name":"c","api_keys":["k"],"rate_per_s":` + rate + `,"burst":1}]}`
	return metastore.Row{Key: platform.ConfigurationKey, Value: []byte(raw), Version: at}
}

// rateOf returns the limit of the only customer in a configuration's row.
func rateOf(t *testing.T, row metastore.Row) float64 {
	t.Helper()
	c, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		t.Fatal(err)
	}
	limit, ok := c.Customers.Limit("c")
	if !ok {
		t.Fatal("the customer has no limit")
	}
	return limit.Rate
}

// Guards against a customer's limit that is raised again at VMs that start, since the store has lost the
// configuration that lowered it.
func TestAKeptConfigurationIsPassedOnInPlaceOfAnOlderOne(t *testing.T) {
	k := newKeptConfiguration()
	lowered := configurationRow("23", "10", metastore.Version{Era: 1, Number: 31})
	if lost := k.read(lowered, 23); lost != 0 {
		t.Fatalf("keeps %d in place of a newer one", lost)
	}
	older := configurationRow("14", "1000", metastore.Version{Era: 2, Number: 28})
	if lost := k.read(older, 14); lost != 23 {
		t.Fatalf("keeps %d", lost)
	}
	passed := k.passOn(older)
	if rate := rateOf(t, passed); rate != 10 || passed.Version != older.Version {
		t.Fatalf("passes on a limit of %v at %v", rate, passed.Version)
	}
	newer := configurationRow("27", "20", metastore.Version{Era: 2, Number: 29})
	if lost := k.read(newer, 27); lost != 0 {
		t.Fatalf("keeps %d in place of a newer one", lost)
	}
	if rate := rateOf(t, k.passOn(newer)); rate != 20 {
		t.Fatalf("passes on a limit of %v", rate)
	}
}

// Guards against rows of other keys, or malformed ones, that are replaced by a configuration.
func TestOnlyConfigurationsAreReplaced(t *testing.T) {
	k := newKeptConfiguration()
	k.read(configurationRow("23", "10", metastore.Version{Number: 31}), 23)
	for _, row := range []metastore.Row{
		{Key: "other", Value: []byte(`{"version":1}`)},
		{Key: platform.ConfigurationKey, Value: []byte(`{`)},
		{Key: platform.ConfigurationKey, Deleted: true},
	} {
		if passed := k.passOn(row); string(passed.Value) != string(row.Value) {
			t.Errorf("%s became %s", row.Value, passed.Value)
		}
	}
}
