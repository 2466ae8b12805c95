package invariant_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/invariant"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

func TestInvariant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "invariant")
}

var _ = Describe("Check", func() {
	It("panics with code InvariantBroken unless the checks are off", func() {
		broken := func() { invariant.Check(false, "slots %d", 3) }
		Expect(broken).To(PanicWith(HaveField("Code", result.InvariantBroken)))
		invariant.Enable(false)
		DeferCleanup(invariant.Enable, true)
		Expect(broken).NotTo(Panic())
	})
})
