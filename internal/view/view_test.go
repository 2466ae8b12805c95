package view_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "View")
}

const document = `{
  "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "members": [{"name": "m", "max_sessions": 10, "max_requests": 10}],
  "services": [{"member": "m", "name": "s"}],
  "groups": [{"service": "s", "name": "g", "targets": [
    {"id": "db-a", "data_centre": "a", "address": "127.0.0.1:5432", "slots": 1, "connections": 4},
    {"id": "db-b", "data_centre": "b", "address": "127.0.0.1:5433", "slots": 1, "connections": 4},
  ]}],
  "classes": [{"service": "s", "name": "r", "kind": "read"}],
  "presets": [{"name": "ordinary"}],
}`

// Guards against thousands of connections when a daemon starts: it knows only itself,
// so every configured target is assigned to it, though other VMs pool them. It waits
// for the rows of the other VMs, but only for a limited time.
var _ = Describe("A starting daemon", func() {
	self := topology.VM{ID: "vm-a", DataCentre: "a", Region: "r", Incarnation: 1}
	other := topology.VM{ID: "vm-b", DataCentre: "b", Region: "r", Incarnation: 1}

	start := func() (*view.View, *mono.Manual) {
		clock := &mono.Manual{}
		doc, problems := config.Parse("document", []byte(document))
		Expect(config.Err(problems)).To(Succeed())
		conf, err := config.Effective(doc, config.OrdinaryPreset)
		Expect(err).NotTo(HaveOccurred())
		v := view.New(self, clock)
		v.SetConfig(conf)
		return v, clock
	}

	It("pools no target before it knows another VM, and then only those assigned to it", func() {
		v, _ := start()
		Expect(v.Assignments()).To(BeEmpty())
		v.SetList([]topology.VM{self})
		Expect(v.Assignments()).To(BeEmpty())
		v.SetList([]topology.VM{self, other})
		Expect(v.Assignments()).To(HaveLen(1))
		Expect(v.Assignments()[0].Targets).To(Equal([]topology.TargetID{"db-a"}))
	})

	It("pools all targets after the grace period if no other VM is known", func() {
		v, clock := start()
		clock.T = clock.T.Add(5 * time.Second)
		Expect(v.Assignments()).To(HaveLen(1))
		Expect(v.Assignments()[0].Targets).To(ConsistOf(topology.TargetID("db-a"), topology.TargetID("db-b")))
	})

	// Guards against groups that nobody follows because another row of the table can't be read.
	It("follows all groups beside a row that can't be decoded", func() {
		v, _ := start()
		row := func(key, value string) platform.Row {
			return platform.Row{Key: view.GroupPrefix + key, Value: []byte(value)}
		}
		groups, err := v.ApplyRows([]platform.Row{row("odd", strings.Repeat("[", 20000)), row("g", `{"id":"g","version":3}`)})
		Expect(err).To(HaveOccurred())
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].Version).To(Equal(uint64(3)))
	})
})
