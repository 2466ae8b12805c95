package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/daemon"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
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

// awaitSettled waits until both replicas are synced and no earlier list of promoters
// is still valid.
func (d *deployment) awaitSettled() {
	Eventually(func() bool {
		row := d.row()
		synced := 0
		for _, p := range row.Promoters {
			if p.Synced {
				synced++
			}
		}
		return synced == 2 && len(row.Unsettled) == 0
	}).WithTimeout(20 * time.Second).Should(BeTrue())
}

// allSettled reports whether there are n groups, each with two synced replicas
// and no earlier list of promoters that is still valid.
func (d *deployment) allSettled(n int) bool {
	table := platform.NewRemote(d.url, "test", http.DefaultClient)
	rows, _, err := table.Scan(context.Background(), "group/", 0)
	Expect(err).NotTo(HaveOccurred())
	for _, r := range rows {
		var g topology.Group
		Expect(json.Unmarshal(r.Value, &g)).To(Succeed())
		unsynced := slices.ContainsFunc(g.Promoters, func(p topology.Promoter) bool { return !p.Synced })
		if unsynced || len(g.Promoters) != 2 || len(g.Unsettled) > 0 {
			return false
		}
	}
	return len(rows) == n
}

// killAll kills a data centre's VMs and databases.
func (d *deployment) killAll(dc topology.DataCentre) {
	for i, p := range d.proxySettings {
		if p.DataCentre == dc {
			d.proxies[i].kill()
		}
	}
	for id, p := range d.databases {
		if d.dataCentreOf(id) == dc {
			p.kill()
		}
	}
}

// dataCentreOf returns the data centre of a target of any group.
func (d *deployment) dataCentreOf(id topology.TargetID) topology.DataCentre {
	for _, g := range d.doc.Groups {
		for _, t := range g.Targets {
			if t.ID == id {
				return t.DataCentre
			}
		}
	}
	return ""
}

// proxyIn returns the index of the first proxy that is in the data centre, or,
// when in is false, of the first that is not.
func (d *deployment) proxyIn(dc topology.DataCentre, in bool) int {
	return slices.IndexFunc(d.proxySettings, func(s daemon.Settings) bool { return (s.DataCentre == dc) == in })
}

// setPlatformDown starts or ends an outage of the platform for all VMs; the test
// itself can still reach it.
func (d *deployment) setPlatformDown(down bool) {
	req := &platformpb.SetFaultsRequest{}
	if down {
		req.Faults = []*platformpb.Fault{{CallerPrefix: "vm-", Unavailable: true}}
	}
	_, err := d.standIn.SetFaults(context.Background(), req)
	Expect(err).NotTo(HaveOccurred())
}

// checkNothingLost reads the writer's key and checks that it is at least the
// newest acknowledged value.
func (d *deployment) checkNothingLost(proxy int, w *writer) {
	reader := d.mustConnect(proxy, "quota-balance", "session", w.key)
	var value string
	Eventually(func() (err error) {
		value, err = get(reader, w.key)
		return err
	}).WithTimeout(10 * time.Second).Should(Succeed())
	seen, err := strconv.Atoi(value)
	Expect(err).NotTo(HaveOccurred())
	Expect(seen).To(BeNumerically(">=", w.value()))
}

// failovers returns how many failovers are run for each cause; BTS_FAILOVERS
// sets more for a measurement.
func failovers() int {
	n, err := strconv.Atoi(os.Getenv("BTS_FAILOVERS"))
	if err != nil {
		return 1
	}
	return n
}

// failoverTimes holds the times of one cause's failovers: the gaps without an
// acknowledged write, and the times from the failure until the primary was found
// dead and until the row with the next term was committed.
type failoverTimes struct{ gaps, detected, committed []time.Duration }

func (m *failoverTimes) add(d *deployment, at time.Time, term uint64, gap time.Duration) {
	m.gaps = append(m.gaps, gap)
	if dead, ok := d.firstEvent(at, "event=target_health", "health=dead"); ok {
		m.detected = append(m.detected, dead.Sub(at))
	}
	if row, ok := d.firstEvent(at, "event=row_commit", fmt.Sprintf(" term=%d ", term), " status=1 "); ok {
		m.committed = append(m.committed, row.Sub(at))
	}
}

func (m *failoverTimes) report(cause string) {
	for _, part := range []struct {
		name   string
		values []time.Duration
	}{{"gap", m.gaps}, {"found dead after", m.detected}, {"row committed after", m.committed}} {
		slices.Sort(part.values)
		n := len(part.values)
		if n == 0 {
			continue
		}
		fmt.Printf("failover %s: %s n=%d p50=%v p95=%v max=%v\n", cause, part.name, n,
			part.values[n/2].Round(time.Millisecond), part.values[min(n-1, n*95/100)].Round(time.Millisecond),
			part.values[n-1].Round(time.Millisecond))
	}
}

// firstEvent returns the time of the earliest line after at in the proxies' logs
// that contains all the words.
func (d *deployment) firstEvent(at time.Time, words ...string) (first time.Time, found bool) {
	for _, p := range d.proxies {
		raw, err := os.ReadFile(p.log)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(raw)) {
			when, ok := timeOf(line)
			missing := slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) })
			if !ok || missing || when.Before(at) || (found && !when.Before(first)) {
				continue
			}
			first, found = when, true
		}
	}
	return first, found
}

// timeOf returns the time at the start of a log line.
func timeOf(line string) (time.Time, bool) {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	when, err := time.Parse(time.RFC3339Nano, text)
	return when, err == nil
}

var _ = Describe("Failover", func() {
	// The caller's writes wait for about a second and then go on; no acknowledged
	// write is missing. The primary is killed or frozen, or its data centre is cut
	// off. Its pooler finds it dead or becomes unreachable; a promoter withdraws its
	// promise, waits until the right has ended and promotes its replica.
	DescribeTable("replaces a primary with nobody ordering it",
		func(cause string, links bool, fail func(*deployment, topology.TargetID)) {
			var m failoverTimes
			for range failovers() {
				d := deploy(deployOptions{groups: 1, proxies: 7, links: links})
				d.awaitSettled()
				before := d.row()
				from := d.proxyIn(d.dataCentreOf(before.Primary), false)
				w := d.startWriter(from, "landing-report", "boat-1")
				Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
				at := time.Now()
				fail(d, before.Primary)
				Eventually(func() uint64 { return d.row().Term }).WithTimeout(15 * time.Second).Should(BeNumerically(">", before.Term))
				n := w.count()
				Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", n+50))
				m.add(d, at, before.Term+1, w.gap(at))
				w.end()
				fmt.Fprintf(GinkgoWriter, "gap %v failures %v\n", w.gap(at), w.failures)
				d.checkNothingLost(from, w)
				d.end()
			}
			m.report(cause)
		},
		Entry("killed", "killed", false, func(d *deployment, t topology.TargetID) { d.databases[t].kill() }),
		Entry("frozen", "frozen", false, func(d *deployment, t topology.TargetID) { d.databases[t].freeze() }),
		Entry("its data centre cut off", "data centre cut off", true, func(d *deployment, t topology.TargetID) {
			d.cutBetween(d.dataCentreOf(t), anywhere, true)
		}),
		Entry("killed with every VM of its data centre", "with its VMs", false, func(d *deployment, t topology.TargetID) {
			for i, p := range d.proxySettings {
				if p.DataCentre == d.dataCentreOf(t) {
					d.proxies[i].kill()
				}
			}
			d.databases[t].kill()
		}),
	)

	// No write of the caller fails. The platform is out for longer than the promises
	// last; the VMs renew them among themselves, so the right stays valid.
	It("acknowledges writes through an outage of the platform", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitSettled()
		w := d.startWriter(1, "landing-report", "boat-2")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		at := time.Now()
		d.setPlatformDown(true)
		time.Sleep(6 * time.Second)
		gap := w.gap(at)
		fmt.Printf("platform outage: longest time without a write %v, failures %v\n", gap.Round(time.Millisecond), w.failures)
		d.setPlatformDown(false)
		w.end()
		Expect(w.failures).To(BeEmpty())
		Expect(w.count()).To(BeNumerically(">", 100))
	})

	// The caller's writes are refused as not run while the platform is out and the
	// primary is dead, because the next term can't be committed. After the outage a
	// replica is promoted, writes go on, and no acknowledged write is missing.
	It("waits with a promotion for the platform", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitSettled()
		before := d.row()
		w := d.startWriter(1, "landing-report", "boat-3")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		d.setPlatformDown(true)
		d.databases[before.Primary].kill()
		time.Sleep(3 * time.Second)
		Expect(d.row().Term).To(Equal(before.Term))
		d.setPlatformDown(false)
		n := w.count()
		Eventually(w.count).WithTimeout(15 * time.Second).Should(BeNumerically(">", n+20))
		w.end()
		d.checkNothingLost(2, w)
	})

	// The caller's writes go on, later than usual. The platform answers each call
	// after half a second when the primary dies. Of a promotion, only the promoter's
	// read and commit need the platform and take that long.
	It("promotes through a slow platform", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitSettled()
		before := d.row()
		w := d.startWriter(1, "landing-report", "boat-9")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		_, err := d.standIn.SetFaults(context.Background(), &platformpb.SetFaultsRequest{
			Faults: []*platformpb.Fault{{CallerPrefix: "vm-", LatencyMs: 500}},
		})
		Expect(err).NotTo(HaveOccurred())
		at := time.Now()
		d.databases[before.Primary].kill()
		n := w.count()
		Eventually(w.count).WithTimeout(30 * time.Second).Should(BeNumerically(">", n+50))
		fmt.Printf("slow platform: gap %v failures %v\n", w.gap(at).Round(time.Millisecond), w.failures)
		w.end()
		d.setPlatformDown(false)
		Expect(d.row().Term).To(BeNumerically(">", before.Term))
		d.checkNothingLost(2, w)
	})

	// The writes of every group's callers go on. A data centre with the primaries of
	// all three groups is lost, together with its VMs. Each group's own promoters
	// promote a replica, with a few writes to the platform's table for each group.
	It("replaces every primary of a lost data centre", func() {
		d := deploy(deployOptions{groups: 3, proxies: 7})
		Eventually(func() bool { return d.allSettled(3) }).WithTimeout(20 * time.Second).Should(BeTrue())
		dc := d.dataCentreOf(d.row().Primary)
		Expect(dc).NotTo(BeEmpty())
		from := d.proxyIn(dc, false)
		var writers []*writer
		for _, g := range d.doc.Groups {
			w := d.startGroupWriter(from, "landing-report", "boat-"+g.Name, g.Name)
			writers = append(writers, w)
			Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		}
		before, err := d.standIn.Stats(context.Background(), &platformpb.StatsRequest{})
		Expect(err).NotTo(HaveOccurred())
		at := time.Now()
		d.killAll(dc)
		for _, w := range writers {
			n := w.count()
			Eventually(w.count).WithTimeout(20 * time.Second).Should(BeNumerically(">", n+50))
			fmt.Printf("data centre lost: gap %v failures %v\n", w.gap(at).Round(time.Millisecond), w.failures)
			w.end()
		}
		after, err := d.standIn.Stats(context.Background(), &platformpb.StatsRequest{})
		Expect(err).NotTo(HaveOccurred())
		fmt.Printf("data centre lost: %d writes and %d reads of the platform in %v\n",
			after.Writes-before.Writes, after.Reads-before.Reads, time.Since(at).Round(time.Millisecond))
	})

	// No write of the caller fails. A replica that writes wait for is killed; the
	// primary stops waiting for it, the holder of the right removes it from the list,
	// and pending writes are acknowledged once the other replica has them.
	It("goes on without a dead replica", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitSettled()
		before := d.row()
		w := d.startWriter(1, "landing-report", "boat-6")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		at := time.Now()
		d.databases[before.Promoters[0].Replica].kill()
		n := w.count()
		Eventually(w.count).WithTimeout(15 * time.Second).Should(BeNumerically(">", n+50))
		fmt.Printf("replica killed: gap %v failures %v\n", w.gap(at).Round(time.Millisecond), w.failures)
		w.end()
		Expect(w.failures).To(BeEmpty())
		Expect(d.row().Term).To(Equal(before.Term))
		d.checkNothingLost(2, w)
	})

	// The caller's writes go on. The primary's data centre is cut off from the
	// platform only, which no write needs, so no replica is promoted.
	It("needs no promotion when a data centre loses the platform", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7, links: true})
		d.awaitSettled()
		before := d.row()
		dc := d.dataCentreOf(before.Primary)
		w := d.startWriter(d.proxyIn(dc, true), "landing-report", "boat-7")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		at := time.Now()
		d.cutBetween(dc, isPlatform, true)
		time.Sleep(4 * time.Second)
		fmt.Printf("data centre without platform: gap %v failures %v\n", w.gap(at).Round(time.Millisecond), w.failures)
		d.cutBetween(dc, isPlatform, false)
		w.end()
		Expect(w.failures).To(BeEmpty())
		Expect(d.row().Term).To(Equal(before.Term))
	})

	// The caller's writes go on after a wait, and no acknowledged write is missing.
	// The primary's data centre is cut off from the others but not from the platform:
	// either its pooler replaces the promoters that it can't reach, or one of them
	// promotes its replica. The platform's table lets only one of the two succeed.
	It("goes on when a data centre is cut off from the others", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7, links: true})
		d.awaitSettled()
		dc := d.dataCentreOf(d.row().Primary)
		w := d.startWriter(d.proxyIn(dc, false), "landing-report", "boat-8")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		at := time.Now()
		d.cutBetween(dc, notPlatform, true)
		n := w.count()
		Eventually(w.count).WithTimeout(20 * time.Second).Should(BeNumerically(">", n+50))
		fmt.Printf("data centre cut off from the others: gap %v failures %v\n", w.gap(at).Round(time.Millisecond), w.failures)
		d.cutBetween(dc, notPlatform, false)
		w.end()
		d.checkNothingLost(d.proxyIn(dc, false), w)
	})

	// The caller's writes go on within about a second. Only the pooler's VM dies and
	// the database stays up, so the next VM of the data centre becomes its pooler and
	// no replica is promoted.
	It("replaces a dead pooler without a promotion", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitSettled()
		before := d.row()
		dc := d.dataCentreOf(before.Primary)
		from := d.proxyIn(dc, false)
		w := d.startWriter(from, "landing-report", "boat-4")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		at := time.Now()
		for i, p := range d.proxySettings {
			if p.DataCentre == dc && i != d.lastProxyIn(dc) {
				d.proxies[i].kill()
			}
		}
		n := w.count()
		Eventually(w.count).WithTimeout(15 * time.Second).Should(BeNumerically(">", n+50))
		fmt.Printf("pooler killed: gap %v failures %v\n", w.gap(at).Round(time.Millisecond), w.failures)
		w.end()
		Expect(d.row().Term).To(Equal(before.Term))
		d.checkNothingLost(from, w)
	})

	// No acknowledged write is missing. All VMs of the primary's data centre and the
	// primary are frozen until the pooler's right has ended and a replica has been
	// promoted. After they resume, the pooler still has its expired right and may get
	// answers of the old primary. It re-reads the clock and acknowledges none.
	It("keeps a paused pooler from acknowledging after its right ended", func() {
		d := deploy(deployOptions{groups: 1, proxies: 7})
		d.awaitSettled()
		before := d.row()
		dc := d.dataCentreOf(before.Primary)
		w := d.startWriter(d.proxyIn(dc, true), "landing-report", "boat-5")
		Eventually(w.count).WithTimeout(10 * time.Second).Should(BeNumerically(">", 20))
		for i, p := range d.proxySettings {
			if p.DataCentre == dc {
				d.proxies[i].freeze()
			}
		}
		d.databases[before.Primary].freeze()
		Eventually(func() uint64 { return d.row().Term }).WithTimeout(15 * time.Second).Should(BeNumerically(">", before.Term))
		d.databases[before.Primary].thaw()
		for i, p := range d.proxySettings {
			if p.DataCentre == dc {
				d.proxies[i].thaw()
			}
		}
		n := w.count()
		Eventually(w.count).WithTimeout(20 * time.Second).Should(BeNumerically(">", n+20))
		w.end()
		d.checkNothingLost(d.proxyIn(dc, false), w)
	})
})

// lastProxyIn returns the index of the last proxy in a data centre, or -1.
func (d *deployment) lastProxyIn(dc topology.DataCentre) int {
	last := -1
	for i, p := range d.proxySettings {
		if p.DataCentre == dc {
			last = i
		}
	}
	return last
}
