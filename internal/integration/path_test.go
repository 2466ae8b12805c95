package integration_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

var _ = BeforeSuite(buildPrograms)

var _ = Describe("The path of a request", func() {
	It("serves a write through one proxy and its read through another", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		writer := d.mustConnect(0, "landing-report", "session", "clerk-1")
		reader := d.mustConnect(1, "quota-balance", "session", "clerk-1")
		Expect(put(writer, "boat-7", "120")).To(Succeed())
		Expect(get(reader, "boat-7")).To(Equal("120"))
	})
})
