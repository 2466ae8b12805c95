package config_test

import (
	"fmt"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fullSizeDocument returns a document of the size that the system is designed for:
// 14,000 targets in 24 data centres.
func fullSizeDocument() *config.Document {
	const centres, groups = 24, 4667
	doc := &config.Document{
		Members:  []config.Member{{Name: "m", Weight: 1, MaxSessions: 1, MaxRequests: 1}},
		Services: []config.Service{{Member: "m", Name: "s"}},
		Classes:  []config.Class{},
		Presets:  []config.Preset{{Name: config.OrdinaryPreset}},
		Limits: config.Limits{
			SessionsPerDaemon: 1, MessageBytes: 1024, ResultBytes: 1024,
			IdleInTransactionTimeout: config.DefaultIdleInTransactionTimeout, DrainTime: config.DefaultDrainTime,
		},
	}
	for i := range centres {
		name := topology.DataCentre(fmt.Sprintf("dc-%02d", i))
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: name, Region: "r"})
	}
	for i := range groups {
		g := config.Group{Service: "s", Name: fmt.Sprintf("g%d", i)}
		for j := range 3 {
			g.Targets = append(g.Targets, config.Target{
				ID: topology.TargetID(fmt.Sprintf("t-%d-%d", i, j)), DataCentre: doc.DataCentres[(i+j)%centres].Name,
				Address: fmt.Sprintf("10.%d.%d.%d:5432", j, i/256, i%256), Slots: 2, Connections: 16,
			})
		}
		doc.Groups = append(doc.Groups, g)
	}
	return doc
}

func BenchmarkParseFullSize(b *testing.B) {
	raw, err := config.Canonical(fullSizeDocument())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if doc, problems := config.Parse("f", raw); doc == nil {
			b.Fatal(problems)
		}
	}
	b.ReportMetric(float64(len(raw)), "B/document")
}

func BenchmarkEffectiveFullSize(b *testing.B) {
	doc := fullSizeDocument()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Effective(doc, config.OrdinaryPreset); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkGroupOf(b *testing.B) {
	view, err := config.Effective(fullSizeDocument(), config.OrdinaryPreset)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		view.GroupOf("s", "skipper-1")
	}
}
