package integration_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Leaving", func() {
	// The callers see no request fail while every daemon is stopped and started
	// again, one after the other. A stop tells each session to go; its next
	// request is still served, so a caller that connects anew loses nothing. The
	// poolers and promoters move while requests run on them.
	It("restarts all daemons under load without a failed request", func() {
		d := deploy(shape{groups: 1, proxies: 5})
		l := d.startLoad(10)
		for i, p := range d.proxies {
			GinkgoWriter.Printf("%s stopped in %v\n", p.name, p.stop())
			p.start()
			Eventually(func() error {
				c, err := d.connect(i, "landing-report")
				closeConn(c)
				return err
			}).WithTimeout(20 * time.Second).Should(Succeed())
		}
		l.end()
	})
})
