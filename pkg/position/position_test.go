package position_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestPosition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "position")
}

var _ = Describe("Position", func() {
	It("parses what it writes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := position.Position{Term: rapid.Uint64().Draw(t, "term"), Index: rapid.Uint64().Draw(t, "index")}
			q, err := position.Parse(p.String())
			if err != nil || p != q {
				t.Fatalf("%v became %v: %v", p, q, err)
			}
		})
	})

	It("puts a later term after every index of an earlier one", func() {
		Expect(position.Position{Term: 1, Index: 900}.Less(position.Position{Term: 2, Index: 1})).To(BeTrue())
	})
})
