package integration_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A write with a long deadline", func() {
	// The caller waits, and its write succeeds. The primary is dead and the platform
	// is out, so no replica can be promoted. The outage is longer than the attempts
	// of the retry policy last, but shorter than the class's deadline of three
	// minutes.
	It("outlasts an interruption", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		d.awaitSettled()
		before := d.row()
		c := d.mustConnect(1, "landing-report")
		d.setPlatformDown(true)
		d.databases[before.Primary].kill()
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := c.Exec(ctx, putSQL, "patient", "1")
			ended <- err
		}()
		Consistently(ended, 7*time.Second).ShouldNot(Receive())
		d.setPlatformDown(false)
		Eventually(ended).WithTimeout(30 * time.Second).Should(Receive(BeNil()))
		Expect(get(d.mustConnect(2, "quota-balance"), "patient")).To(Equal("1"))
	})
})
