package result_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

func TestResult(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "result")
}

const (
	tableFile = "../../docs/RESULT-CODES.md"
	// updateVariable makes the test write the table first: make docs.
	updateVariable = "UPDATE_DOCS"
)

var _ = Describe("The result codes", func() {
	It("equal the table in the docs", func() {
		if os.Getenv(updateVariable) != "" {
			Expect(os.WriteFile(tableFile, []byte(result.Table()), 0o644)).To(Succeed())
		}
		raw, err := os.ReadFile(tableFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(Equal(result.Table()))
	})

	It("each have a name, a text and an SQLSTATE that no other has", func() {
		names, states := map[string]bool{}, map[string]bool{}
		for _, c := range result.All() {
			Expect(c.Text()).NotTo(BeEmpty())
			names[c.Name()] = true
			states[c.SQLState()] = true
		}
		Expect(names).To(HaveLen(len(result.All())))
		Expect(states).To(HaveLen(len(result.All())))
	})

	It("send nobody back blindly with a request that may have run", func() {
		for _, c := range result.All() {
			if c.Ran() != result.NotRun {
				Expect(c.Advice()).NotTo(BeElementOf(result.ComeBack, result.Reconnect, result.BeginAgain), c.Name())
			}
		}
	})
})
