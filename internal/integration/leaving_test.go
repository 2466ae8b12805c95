package integration_test

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

var _ = Describe("Leaving", func() {
	// No request fails while every daemon is stopped and started again, one after the
	// other. A stopping daemon announces its stop to each session and still serves
	// its next request, so that a caller which then reconnects loses nothing. The
	// roles of pooler and promoter move to other VMs while requests use them.
	It("restarts all daemons under load without a failed request", func() {
		d := deploy(deployOptions{groups: 1, proxies: 5})
		l := d.startCallers(10)
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

	// At worst, answers are slower. A daemon that pools targets is frozen for a short
	// time, repeatedly. Each time it is suspected and probed, but stays the pooler of
	// its targets: moving them to another VM and back would cost more.
	It("keeps poolers where they are while their VM pauses for a moment", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		poolers := func() (ids []topology.VMID) {
			for _, t := range ctlJSON[[]status.Target](d, "status", "targets") {
				ids = append(ids, t.Pooler)
			}
			return ids
		}
		Eventually(func() int { return len(slices.Compact(poolers())) }).WithTimeout(10 * time.Second).Should(Equal(3))
		before := poolers()
		l := d.startCallers(6)
		for range 5 {
			d.proxies[1].freeze()
			begun := time.Now()
			for time.Since(begun) < 300*time.Millisecond {
				Expect(poolers()).To(Equal(before))
			}
			d.proxies[1].thaw()
			Consistently(poolers, 500*time.Millisecond).Should(Equal(before))
		}
		l.end()
	})
})

var _ = Describe("A planned stop", func() {
	// Two sessions are idle when the daemon is asked to stop, which it announces to
	// both. One sends its next request; it is answered, and only then the connection
	// ends. The other stays idle and is ended with "not run" after the drain time.
	It("serves an idle session once more, and ends one that stays idle", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		d.doc.Limits.DrainTime = config.Duration(8 * time.Second)
		raw, err := json.Marshal(d.doc)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(d.configFile(), raw, 0o600)).To(Succeed())
		d.mustCtl("apply", d.configFile(), "--expect-version", "0")
		Eventually(func() uint64 { return ctlJSON[status.Config](d, "status", "config").Config }).
			WithTimeout(10 * time.Second).Should(Equal(uint64(1)))
		next := d.mustConnect(0, "landing-report")
		idle := d.mustConnect(0, "landing-report")
		Expect(put(next, "boat-10", "1")).To(Succeed())
		d.proxies[0].signal(syscall.SIGTERM)
		Eventually(func() error {
			c, err := d.connect(0, "landing-report")
			closeConn(c)
			return err
		}).WithTimeout(5 * time.Second).Should(MatchError(ContainSubstring(leavingSQLState)))
		Expect(put(next, "boat-10", "2")).To(Succeed())
		Expect(next.PgConn().ParameterStatus("buckthornshore.leaving")).To(Equal("on"))
		Expect(put(next, "boat-10", "3")).NotTo(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(idle.PgConn().WaitForNotification(ctx)).To(MatchError(ContainSubstring(leavingSQLState)))
		_, _ = d.proxies[0].cmd.Process.Wait()
		other := d.mustConnect(1, "quota-balance")
		Expect(get(other, "boat-10")).To(Equal("2"))
	})
})
