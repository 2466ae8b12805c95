package integration_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Failures on the path", func() {
	// The caller's reads are answered although a replica hangs. The frozen replica
	// accepts connections but never answers. A read that is routed to it gets no
	// position from it and is sent to another target within the same request.
	It("serves reads while a replica is frozen", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
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

	// The caller's transaction commits. The daemon is asked to stop while the
	// transaction is open and waits for its end before it exits.
	It("finishes an open transaction before a planned stop", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
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
