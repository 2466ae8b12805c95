package config_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func example(name string) *config.Document {
	GinkgoHelper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	Expect(err).NotTo(HaveOccurred())
	doc, problems := config.Parse(name, raw)
	Expect(problems).To(BeEmpty())
	return doc
}

var _ = Describe("The examples", func() {
	for _, name := range []string{"kalakvoot.json", "permessi.json", "both.json"} {
		It(name+" is valid without warnings under each preset and is equal after encoding and parsing", func() {
			doc := example(name)
			for _, preset := range []string{"ordinary", "peak", "maintenance"} {
				_, err := config.Effective(doc, preset)
				Expect(err).NotTo(HaveOccurred())
			}
			raw, err := json.Marshal(doc)
			Expect(err).NotTo(HaveOccurred())
			reparsed, problems := config.Parse("encoded", raw)
			Expect(problems).To(BeEmpty())
			Expect(reparsed).To(Equal(doc))
		})
	}
})
