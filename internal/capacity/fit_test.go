package capacity_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/capacity"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Capacity")
}

var _ = Describe("Fit", func() {
	It("finds the line through points that lie on one", func() {
		line := capacity.Fit([]capacity.Point{{Size: 1, Value: 5}, {Size: 3, Value: 9}, {Size: 10, Value: 23}})
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.Base).To(BeNumerically("~", 3, 1e-9))
		Expect(line.At(100)).To(BeNumerically("~", 203, 1e-9))
	})

	It("minimises the squared errors of points that are not on one line", func() {
		line := capacity.Fit([]capacity.Point{{Size: 0, Value: 0}, {Size: 1, Value: 3}, {Size: 2, Value: 3}})
		Expect(line.Slope).To(BeNumerically("~", 1.5, 1e-9))
		Expect(line.Base).To(BeNumerically("~", 0.5, 1e-9))
	})

	It("is flat with points of only one size", func() {
		Expect(capacity.Fit([]capacity.Point{{Size: 4, Value: 1}, {Size: 4, Value: 3}})).To(Equal(capacity.Line{Base: 2}))
		Expect(capacity.Fit(nil)).To(Equal(capacity.Line{}))
	})
})

var _ = Describe("SpreadOf", func() {
	It("returns the median and the extremes", func() {
		Expect(capacity.SpreadOf([]float64{9, 1, 5})).To(Equal(capacity.Spread{Median: 5, Least: 1, Greatest: 9}))
		Expect(capacity.SpreadOf(nil)).To(Equal(capacity.Spread{}))
	})
})

var _ = Describe("Document", func() {
	It("is a valid configuration at every measured size", func() {
		for _, shape := range []capacity.Shape{{Daemons: 3, Groups: 1}, {Daemons: 6, Groups: 180}} {
			raw, err := config.Canonical(capacity.Document(shape))
			Expect(err).NotTo(HaveOccurred())
			doc, problems := config.Parse("generated", raw)
			Expect(config.Err(problems)).To(Succeed())
			Expect(doc.Groups).To(HaveLen(shape.Groups))
		}
	})

	It("has the planned number of targets, with none in the last data centre", func() {
		raw, err := config.Canonical(capacity.PlannedDocument())
		Expect(err).NotTo(HaveOccurred())
		doc, problems := config.Parse("generated", raw)
		Expect(config.Err(problems)).To(Succeed())
		targets := 0
		for _, g := range doc.Groups {
			targets += len(g.Targets)
			for _, t := range g.Targets {
				Expect(t.DataCentre).NotTo(Equal(doc.DataCentres[len(doc.DataCentres)-1].Name))
			}
		}
		Expect(targets).To(Equal(capacity.PlannedTargets))
	})
})
