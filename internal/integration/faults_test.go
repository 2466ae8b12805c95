package integration_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// awaitStableView waits until the group's row has not changed for a second, which
// shows that the VMs' views of the membership agree.
func (d *deployment) awaitStableView() {
	d.awaitSettled()
	version, since := d.row().Version, time.Now()
	Eventually(func() bool {
		if v := d.row().Version; v != version {
			version, since = v, time.Now()
		}
		return time.Since(since) > time.Second
	}).WithTimeout(20 * time.Second).Should(BeTrue())
	d.awaitSettled()
}

// proxyIndex returns the index of the proxy on the VM, or -1.
func (d *deployment) proxyIndex(vm topology.VMID) int {
	return slices.IndexFunc(d.proxySettings, func(s daemon.Settings) bool { return s.VM == vm })
}

// committer returns the VM that committed the row.
func (d *deployment) committer(row topology.Group) topology.VMID {
	return topology.VMID(strings.Split(row.ChangeID, "/")[1])
}

// putDirectly writes to a database directly, not through a proxy, and without waiting
// for a replica.
func (d *deployment) putDirectly(id topology.TargetID, key, value string) error {
	for _, t := range d.doc.Groups[0].Targets {
		if t.ID != id {
			continue
		}
		c, err := pgx.Connect(context.Background(), "postgres://test@"+t.Address+"/quota?sslmode=disable")
		if err != nil {
			return err
		}
		defer c.Close(context.Background())
		return put(c, key, value)
	}
	return fmt.Errorf("no target %s", id)
}

// maxPromotions returns how many promotions the flap limit permits within a time: two
// without a wait, then one after each wait, which doubles every time.
func maxPromotions(within time.Duration) uint64 {
	n := uint64(2)
	wait := authority.DefaultFlapBase
	for within >= wait {
		n++
		within -= wait
		wait = min(2*wait, authority.DefaultFlapMax)
	}
	return n
}

// logged reports whether any proxy logged a line that contains all the texts.
func (d *deployment) logged(texts ...string) bool {
	for _, p := range d.proxies {
		raw, err := os.ReadFile(p.log)
		Expect(err).NotTo(HaveOccurred())
		for _, line := range strings.Split(string(raw), "\n") {
			if !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(line, t) }) {
				return true
			}
		}
	}
	return false
}

// awaitMoreWrites waits for n more acknowledged writes.
func (w *writer) awaitMoreWrites(n int) {
	from := w.count()
	Eventually(w.count).WithTimeout(20 * time.Second).Should(BeNumerically(">", from+n))
}

var _ = Describe("Failover under faults", func() {
	// The caller's writes have short gaps while the link of the primary's data centre
	// flaps, and go on afterwards. Each promotion costs callers a gap, so from the
	// third one on promotions are spaced, however often the link fails.
	It("spaces promotions while a link flaps", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7, links: true})
		d.awaitStableView()
		before := d.row()
		dc := d.dataCentreOf(before.Primary)
		from := d.proxyIn(dc, false)
		w := d.startWriter(from, "landing-report", "boat-11")
		w.awaitMoreWrites(20)
		began := time.Now()
		for range 4 {
			d.cutBetween(dc, notPlatform, true)
			time.Sleep(1200 * time.Millisecond)
			d.cutBetween(dc, notPlatform, false)
			time.Sleep(300 * time.Millisecond)
		}
		took := time.Since(began)
		Expect(d.row().Term - before.Term).To(BeNumerically("<=", maxPromotions(took)))
		w.awaitMoreWrites(50)
		w.end()
		d.checkNothingLost(from, w)
	})

	// The caller's writes have one gap. The primary and one of the two promoters die
	// at the same time, so the promotion has to do without one of the listed promoters;
	// the other one promotes its replica.
	DescribeTable("replaces a primary that dies with a promoter", func(promoterIndex int) {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitStableView()
		before := d.row()
		victim := before.Promoters[promoterIndex%len(before.Promoters)].VM
		from := slices.IndexFunc(d.proxySettings, func(s daemon.Settings) bool {
			return s.VM != victim && s.DataCentre != d.dataCentreOf(before.Primary)
		})
		w := d.startWriter(from, "landing-report", "boat-12")
		w.awaitMoreWrites(20)
		d.proxies[d.proxyIndex(victim)].kill()
		d.databases[before.Primary].kill()
		Eventually(func() uint64 { return d.row().Term }).WithTimeout(20 * time.Second).Should(BeNumerically(">", before.Term))
		w.awaitMoreWrites(50)
		w.end()
		d.checkNothingLost(from, w)
	},
		Entry("the first one listed", 0),
		Entry("the second one listed", 1),
	)

	// The caller's writes have one gap. The VM that committed the next term dies
	// before it announced it, so other VMs find the row and complete the promotion.
	It("goes on when the promoter dies right after its commit", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitStableView()
		before := d.row()
		d.databases[before.Primary].kill()
		var after topology.Group
		Eventually(func() uint64 {
			after = d.row()
			return after.Term
		}).WithTimeout(20 * time.Second).WithPolling(2 * time.Millisecond).Should(BeNumerically(">", before.Term))
		victim := d.proxyIndex(d.committer(after))
		d.proxies[victim].kill()
		w := d.startWriter((victim+1)%len(d.proxySettings), "landing-report", "boat-13")
		w.awaitMoreWrites(50)
		w.end()
		d.checkNothingLost((victim+1)%len(d.proxySettings), w)
	})

	// The logs report which writes were lost, and no caller reads them any more. The
	// primary commits a write that waits for no replica while its replicas are
	// frozen, and dies; a replica is promoted without the write. The old primary
	// returns with the write and must discard it before it serves any request.
	It("reports and cuts off what a returning primary holds beyond its term", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitStableView()
		before := d.row()
		from := d.proxyIn(d.dataCentreOf(before.Primary), true)
		for _, p := range before.Promoters {
			d.databases[p.Replica].freeze()
		}
		Expect(d.putDirectly(before.Primary, "boat-14", "surplus")).To(Succeed())
		d.databases[before.Primary].kill()
		for _, p := range before.Promoters {
			d.databases[p.Replica].thaw()
		}
		Eventually(func() uint64 { return d.row().Term }).WithTimeout(20 * time.Second).Should(BeNumerically(">", before.Term))
		d.databases[before.Primary].start()
		for _, class := range []string{"quota-balance", "balance-overview"} {
			reader := d.mustConnect(from, class)
			for range 20 {
				_, err := get(reader, "boat-14")
				Expect(err).To(MatchError(pgx.ErrNoRows))
			}
		}
		Eventually(func() bool {
			return d.logged("event=writes_lost", "target="+string(before.Primary))
		}).WithTimeout(15 * time.Second).Should(BeTrue())
		for _, class := range []string{"quota-balance", "balance-overview"} {
			_, err := get(d.mustConnect(from, class), "boat-14")
			Expect(err).To(MatchError(pgx.ErrNoRows))
		}
	})

	// The caller's writes become slower but have no gap. Links between data centres
	// are ten times as slow. Late answers are not a reason to promote a replica.
	It("promotes nobody while links are slow", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7, links: true})
		d.awaitStableView()
		before := d.row()
		w := d.startWriter(d.proxyIn(d.dataCentreOf(before.Primary), true), "landing-report", "boat-15")
		w.awaitMoreWrites(20)
		d.delayLinks(10 * time.Millisecond)
		time.Sleep(5 * time.Second)
		Expect(d.row().Term).To(Equal(before.Term))
		w.awaitMoreWrites(20)
		d.delayLinks(0)
		w.end()
		Expect(d.row().Term).To(Equal(before.Term))
	})
})
