package integration_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Failures on the path", func() {
	// The caller sees its read answered although a replica hangs. The replica is
	// frozen first: it accepts connections and stays silent. Reads that go to it
	// get no position and are sent to another target within the same request.
	It("serves reads while a replica is frozen", func() {
		d := deploy(shape{groups: 1, proxies: 3})
		replica := d.databases[d.doc.Groups[0].Targets[1].ID]
		writer := d.mustConnect(0, "landing-report")
		Expect(put(writer, "boat-8", "7")).To(Succeed())
		replica.freeze()
		defer replica.thaw()
		reader := d.mustConnect(1, "quota-balance")
		for range 6 {
			Expect(get(reader, "boat-8")).To(Equal("7"))
		}
	})

	// The caller sees its transaction commit. The daemon is asked to stop while
	// the transaction is open; it lets the transaction end before it exits.
	It("finishes an open transaction before a planned stop", func() {
		d := deploy(shape{groups: 1, proxies: 3})
		c := d.mustConnect(0, "landing-report")
		tx, err := c.Begin(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(context.Background(), putSQL, "boat-9", "1")
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan time.Duration)
		go func() {
			defer GinkgoRecover()
			stopped <- d.proxies[0].stop()
		}()
		Consistently(stopped, 300*time.Millisecond).ShouldNot(Receive())
		Expect(tx.Commit(context.Background())).To(Succeed())
		Eventually(stopped).WithTimeout(20 * time.Second).Should(Receive())
	})
})
