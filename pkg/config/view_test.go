package config_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func effective(doc *config.Document, preset string) *config.View {
	GinkgoHelper()
	view, err := config.Effective(doc, preset)
	Expect(err).NotTo(HaveOccurred())
	return view
}

var _ = Describe("View", func() {
	It("applies the preset and nothing else", func() {
		doc := example("both.json")
		ordinary, peak := effective(doc, "ordinary"), effective(doc, "peak")
		before, _ := ordinary.Class("permessi-db", "trip-list")
		during, _ := peak.Class("permessi-db", "trip-list")
		Expect(before.Staleness.String()).To(Equal("5s"))
		Expect(during.Staleness.String()).To(Equal("20s"))
		Expect(during.Deadline).To(Equal(before.Deadline))
		Expect(ordinary.RetryBudget().Percent).To(Equal(10))
		Expect(peak.RetryBudget().Percent).To(Equal(5))
	})

	It("finds targets and groups", func() {
		view := effective(example("both.json"), "ordinary")
		Expect(view.Groups("quota-ledger")).To(HaveLen(3))
		Expect(view.TargetsIn("mestre")).To(HaveLen(3))
		target, ok := view.Target("quota-g2-b")
		Expect(ok).To(BeTrue())
		Expect(target.Group).To(Equal(topology.GroupID("quota-ledger/g2")))
		_, ok = view.GroupOf("no-service", "k")
		Expect(ok).To(BeFalse())
	})

	It("rejects a preset that the document lacks", func() {
		_, err := config.Effective(example("both.json"), "storm")
		Expect(result.From(err).Code).To(Equal(result.UnknownPreset))
	})

	It("spreads shard keys evenly over the groups and moves keys only to an added group", func() {
		doc := example("kalakvoot.json")
		before := effective(doc, "ordinary")
		doc.Groups = append(doc.Groups, config.Group{Service: "quota-ledger", Name: "g4"})
		after := effective(doc, "ordinary")
		const keys = 12_000
		counts := map[topology.GroupID]int{}
		for i := range keys {
			key := fmt.Sprintf("skipper-%d", i)
			groupBefore, _ := before.GroupOf("quota-ledger", key)
			groupAfter, _ := after.GroupOf("quota-ledger", key)
			counts[groupBefore]++
			Expect(groupAfter).To(Or(Equal(groupBefore), Equal(topology.GroupID("quota-ledger/g4"))))
		}
		for id, n := range counts {
			Expect(n).To(BeNumerically("~", keys/3, keys/30), string(id))
		}
	})
})

var _ = Describe("Diff", func() {
	It("is empty for equal documents and identifies records by name", func() {
		before, after := example("both.json"), example("both.json")
		Expect(config.Diff(before, after)).To(BeEmpty())
		after.Members[0].Weight = 20
		after.Classes = after.Classes[1:]
		after.Presets[1].RetryBudget = nil
		after.DataCentres = append(after.DataCentres, config.DataCentre{Name: "new", Region: "r"})
		changes := config.Diff(before, after)
		Expect(changes).To(HaveLen(4))
		Expect(changes[0].String()).To(Equal(`+ data_centres[new] = {"name":"new","region":"r"}`))
		Expect(changes[1].String()).To(Equal("~ members[kalakvoot].weight: 10 -> 20"))
		Expect(changes[2].String()).To(HavePrefix(`- classes[quota-ledger/trade-confirmation] = {`))
		Expect(changes[3].String()).To(Equal(`- presets[peak].retry_budget = {"percent":5,"burst":20}`))
	})
})

var _ = Describe("InForce", func() {
	// Offers of old and new versions arrive in any order, from the platform and
	// from peers, some with a document that lacks a preset that was in force
	// earlier. The versions in force must never decrease, whatever is rejected.
	It("never decreases the versions in force", func() {
		full, small := example("kalakvoot.json"), example("kalakvoot.json")
		small.Presets = small.Presets[:1]
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var f config.InForce
			for range rapid.IntRange(1, 30).Draw(t, "offers") {
				o := config.Offer{Document: full, Preset: "ordinary"}
				o.Versions.Config = rapid.Uint64Range(1, 9).Draw(t, "config")
				o.Versions.Preset = rapid.Uint64Range(0, 9).Draw(t, "preset")
				if o.Versions.Config%3 == 0 {
					o.Document = small
				}
				if o.Versions.Preset%2 == 1 {
					o.Preset = "peak"
				}
				o.Hash = fmt.Sprint(o.Versions.Config)
				before := f.Versions()
				changed, err := f.Accept(o)
				if !f.Versions().AtLeast(before) || changed != (f.Versions() != before) {
					t.Fatalf("%+v after %+v, changed %v", f.Versions(), before, changed)
				}
				if err != nil && result.From(err).Code == result.InvariantBroken {
					t.Fatal(err)
				}
				if err == nil && !f.Versions().AtLeast(o.Versions) {
					t.Fatalf("offer %+v accepted, but %+v in force", o.Versions, f.Versions())
				}
			}
		})
	})

	It("reports two documents under one version", func() {
		var f config.InForce
		o := config.Offer{Versions: config.Versions{Config: 1}, Document: example("kalakvoot.json"), Hash: "x"}
		Expect(f.Accept(o)).To(BeTrue())
		o.Hash = "y"
		_, err := f.Accept(o)
		Expect(result.From(err).Code).To(Equal(result.InvariantBroken))
	})

	It("starts from the highest versions that peers hold, in any order of reports", func() {
		reports := []config.PeerReport{
			{VM: "b", Versions: config.Versions{Config: 7, Preset: 2}},
			{VM: "c", Versions: config.Versions{Config: 6, Preset: 3}},
			{VM: "a", Versions: config.Versions{Config: 7, Preset: 1}},
		}
		want := config.StartPlan{ConfigFrom: "a", PresetFrom: "c", Versions: config.Versions{Config: 7, Preset: 3}}
		plan, ok := config.PlanStart(reports)
		Expect(ok).To(BeTrue())
		Expect(plan).To(Equal(want))
		reports[0], reports[2] = reports[2], reports[0]
		plan, _ = config.PlanStart(reports)
		Expect(plan).To(Equal(want))
		_, ok = config.PlanStart([]config.PeerReport{{VM: "a"}})
		Expect(ok).To(BeFalse())
	})
})
