package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// row reads the first group's row from the platform.
func (d *deployment) row() topology.Group {
	table := platform.NewRemote(d.url, "test", http.DefaultClient)
	rows, _, err := table.Scan(context.Background(), "group/", 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(rows).NotTo(BeEmpty())
	var g topology.Group
	Expect(json.Unmarshal(rows[0].Value, &g)).To(Succeed())
	return g
}

// settled waits until both replicas are synced and no earlier list counts any more.
func (d *deployment) settled() {
	Eventually(func() bool {
		row := d.row()
		synced := 0
		for _, p := range row.Promoters {
			if p.Synced {
				synced++
			}
		}
		return synced == 2 && len(row.Unsettled) == 0
	}).WithTimeout(15 * time.Second).Should(BeTrue())
}

var _ = Describe("Failover", func() {
	// The caller sees its writes wait for about a second and then go on; nothing
	// acknowledged is missing. The primary is killed; its pooler's probes are
	// refused, it gives up its right, and a promoter promotes its replica.
	DescribeTable("replaces a primary with nobody ordering it",
		func(fail func(*process)) {
			d := deploy(shape{groups: 1, proxies: 7})
			d.settled()
			w := d.startWriter(1, "landing-report", "boat-1")
			Eventually(w.count).Should(BeNumerically(">", 20))
			before := d.row()
			at := time.Now()
			fail(d.databases[before.Primary])
			Eventually(func() uint64 { return d.row().Term }).WithTimeout(15 * time.Second).Should(BeNumerically(">", before.Term))
			n := w.count()
			Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", n+50))
			gap := w.gap(at)
			w.end()
			AddReportEntry("failover gap", gap)
			fmt.Fprintf(GinkgoWriter, "gap %v failures %v\n", gap, w.failures)
			reader := d.mustConnect(2, "quota-balance", "session", "boat-1")
			value, err := get(reader, "boat-1")
			Expect(err).NotTo(HaveOccurred())
			seen, err := strconv.Atoi(value)
			Expect(err).NotTo(HaveOccurred())
			Expect(seen).To(BeNumerically(">=", w.value()))
		},
		Entry("killed", (*process).kill),
		Entry("frozen", (*process).freeze),
	)
})
