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

// settledView waits until the list has stayed the same for a second: the VMs know
// each other.
func (d *deployment) settledView() {
	d.settled()
	version, since := d.row().Version, time.Now()
	Eventually(func() bool {
		if v := d.row().Version; v != version {
			version, since = v, time.Now()
		}
		return time.Since(since) > time.Second
	}).WithTimeout(20 * time.Second).Should(BeTrue())
	d.settled()
}

// number returns the number of the proxy with the VM's name.
func (d *deployment) number(vm topology.VMID) int {
	return slices.IndexFunc(d.plans, func(s daemon.Settings) bool { return s.VM == vm })
}

// committer is the VM whose change the row is.
func (d *deployment) committer(row topology.Group) topology.VMID {
	return topology.VMID(strings.Split(row.ChangeID, "/")[1])
}

// putAt writes to a database past all proxies, without waiting for a replica.
func (d *deployment) putAt(id topology.TargetID, key, value string) error {
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

// calmBound is how many promotions the spacing lets through within a time: two at
// once, then one after each doubled distance.
func calmBound(within time.Duration) uint64 {
	n := uint64(2)
	wait := authority.DefaultFlapBase
	for within >= wait {
		n++
		within -= wait
		wait = min(2*wait, authority.DefaultFlapMax)
	}
	return n
}

// logged reports whether some proxy logged a line with all the texts.
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

// writesGoOn waits for n more acknowledged writes.
func (w *writer) writesGoOn(n int) {
	from := w.count()
	Eventually(w.count).WithTimeout(20 * time.Second).Should(BeNumerically(">", from+n))
}

var _ = Describe("Failover under faults", func() {
	// The caller sees short gaps while the link of the primary's data centre comes
	// and goes, and writes afterwards. Each promotion costs callers a gap, so from
	// the third one on they are spaced, whatever the link does.
	It("spaces promotions while a link flaps", func() {
		d := deploy(shape{groups: 1, proxies: 7, links: true})
		d.settledView()
		before := d.row()
		dc := d.placeOf(before.Primary)
		from := d.proxyIn(dc, false)
		w := d.startWriter(from, "landing-report", "boat-11")
		w.writesGoOn(20)
		began := time.Now()
		for range 4 {
			d.cutBetween(dc, notPlatform, true)
			time.Sleep(1200 * time.Millisecond)
			d.cutBetween(dc, notPlatform, false)
			time.Sleep(300 * time.Millisecond)
		}
		took := time.Since(began)
		Expect(d.row().Term - before.Term).To(BeNumerically("<=", calmBound(took)))
		w.writesGoOn(50)
		w.end()
		d.checkNothingLost(from, w)
	})

	// The caller sees one gap. The primary and a VM that could promote its replica
	// die at once, so the list has to do without it; the other one promotes.
	DescribeTable("replaces a primary that dies with a promoter", func(dies int) {
		d := deploy(shape{groups: 1, proxies: 7})
		d.settledView()
		before := d.row()
		victim := before.Promoters[dies%len(before.Promoters)].VM
		from := slices.IndexFunc(d.plans, func(s daemon.Settings) bool {
			return s.VM != victim && s.DataCentre != d.placeOf(before.Primary)
		})
		w := d.startWriter(from, "landing-report", "boat-12")
		w.writesGoOn(20)
		d.proxies[d.number(victim)].kill()
		d.databases[before.Primary].kill()
		Eventually(func() uint64 { return d.row().Term }).WithTimeout(20 * time.Second).Should(BeNumerically(">", before.Term))
		w.writesGoOn(50)
		w.end()
		d.checkNothingLost(from, w)
	},
		Entry("the first one listed", 0),
		Entry("the second one listed", 1),
	)

	// The caller sees one gap. The VM that committed the next term dies before it
	// told anybody, so others find the row and bring the new primary into its role.
	It("goes on when the promoter dies right after its commit", func() {
		d := deploy(shape{groups: 1, proxies: 7})
		d.settledView()
		before := d.row()
		d.databases[before.Primary].kill()
		var after topology.Group
		Eventually(func() uint64 {
			after = d.row()
			return after.Term
		}).WithTimeout(20 * time.Second).WithPolling(2 * time.Millisecond).Should(BeNumerically(">", before.Term))
		victim := d.number(d.committer(after))
		d.proxies[victim].kill()
		w := d.startWriter((victim+1)%len(d.plans), "landing-report", "boat-13")
		w.writesGoOn(50)
		w.end()
		d.checkNothingLost((victim+1)%len(d.plans), w)
	})

	// The operator reads which writes were lost, and no caller reads them again.
	// The primary takes a write whose class does not wait while its replicas are
	// frozen, and dies; a replica is promoted without it. The old primary comes
	// back with the write, and must cut it off before it serves anybody.
	It("reports and cuts off what a returning primary holds beyond its term", func() {
		d := deploy(shape{groups: 1, proxies: 7})
		d.settledView()
		before := d.row()
		from := d.proxyIn(d.placeOf(before.Primary), true)
		for _, p := range before.Promoters {
			d.databases[p.Replica].freeze()
		}
		Expect(d.putAt(before.Primary, "boat-14", "surplus")).To(Succeed())
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

	// The caller sees slower answers and no gap. Between data centres everything
	// takes ten times as long: late is not dead, so nobody promotes.
	It("promotes nobody while links are slow", func() {
		d := deploy(shape{groups: 1, proxies: 7, links: true})
		d.settledView()
		before := d.row()
		w := d.startWriter(d.proxyIn(d.placeOf(before.Primary), true), "landing-report", "boat-15")
		w.writesGoOn(20)
		d.delayLinks(10 * time.Millisecond)
		time.Sleep(5 * time.Second)
		Expect(d.row().Term).To(Equal(before.Term))
		w.writesGoOn(20)
		d.delayLinks(0)
		w.end()
		Expect(d.row().Term).To(Equal(before.Term))
	})
})
