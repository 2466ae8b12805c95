package integration_test

import (
	"context"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/ctl"
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// deployBare starts the platform and seven proxies without databases and without
// a configuration file: their configuration comes from the platform alone.
func deployBare() *deployment {
	d := &deployment{dir: GinkgoT().TempDir(), databases: map[topology.TargetID]*process{}}
	DeferCleanup(d.end)
	d.readExample(1)
	d.startPlatform()
	d.planProxies(7, false)
	for i := range d.proxySettings {
		d.proxySettings[i].ConfigFile = ""
		d.proxySettings[i].LogLevel = "info"
		d.proxySettings[i].Peers = []string{d.proxySettings[(i+1)%7].PeerAddress, d.proxySettings[(i+2)%7].PeerAddress}
	}
	for i := range d.proxySettings {
		d.startProxy(i)
	}
	Eventually(func() string {
		_, stdout, _ := d.ctl(operatorSecret, "status", "vms")
		return stdout
	}).WithTimeout(10 * time.Second).Should(ContainSubstring("vm-7"))
	return d
}

// awaitInForce waits until every daemon except the absent ones has these versions
// in force. It returns the time at which each daemon put them in force, by the
// daemon's clock, which is this machine's.
func (d *deployment) awaitInForce(v config.Versions, absent ...topology.VMID) (since []time.Time) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		since = nil
		for _, c := range ctlJSON[[]status.Config](d, "config", "status") {
			if slices.Contains(absent, c.VM) {
				continue
			}
			g.Expect(config.Versions{Config: c.Config, Preset: c.PresetVersion}).To(Equal(v), string(c.VM))
			since = append(since, c.Since)
		}
		g.Expect(since).To(HaveLen(7 - len(absent)))
	}).WithTimeout(15 * time.Second).WithPolling(50 * time.Millisecond).Should(Succeed())
	return since
}

// setOutage makes the platform refuse every caller whose name starts with one of
// the prefixes.
func (d *deployment) setOutage(callers ...string) {
	GinkgoHelper()
	req := &platformpb.SetFaultsRequest{}
	for _, c := range callers {
		req.Faults = append(req.Faults, &platformpb.Fault{CallerPrefix: c, Unavailable: true})
	}
	_, err := d.standIn.SetFaults(context.Background(), req)
	Expect(err).NotTo(HaveOccurred())
}

// expectNoOlderVersion checks in the logs that no daemon, between one start and the
// next, went back to an older version.
func (d *deployment) expectNoOlderVersion() {
	GinkgoHelper()
	for _, p := range d.proxies {
		raw, err := os.ReadFile(p.log)
		Expect(err).NotTo(HaveOccurred())
		var previous config.Versions
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, "event=peers_served") {
				previous = config.Versions{}
			}
			m := versionsInForce.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			var next config.Versions
			next.Config, _ = strconv.ParseUint(m[1], 10, 64)
			next.Preset, _ = strconv.ParseUint(m[2], 10, 64)
			Expect(next.AtLeast(previous)).To(BeTrue(), "%s: %s", p.name, line)
			previous = next
		}
	}
}

var versionsInForce = regexp.MustCompile(`event=config_in_force.* config=(\d+) preset=(\d+)`)

var _ = Describe("Configuration in force", func() {
	// Every daemon gets the version that the platform accepted, whatever fails on the
	// way: two operators switch presets at the same time, a relay dies while it
	// distributes a change, a data centre loses the platform, answers are lost, and a
	// daemon starts during an outage.
	It("reaches every daemon and never goes back", func() {
		d := deployBare()
		d.mustCtl("apply", d.configFile(), "--expect-version", "0")
		d.awaitInForce(config.Versions{Config: 1})

		By("two operators switching at once")
		codes := make([]int, 2)
		var wait sync.WaitGroup
		for i, preset := range []string{"peak", "maintenance"} {
			wait.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wait.Done()
				codes[i], _, _ = d.ctl(operatorSecret, "preset", "switch", preset, "--expect-version", "0")
			}()
		}
		wait.Wait()
		Expect(codes).To(ConsistOf(ctl.ExitOK, ctl.ExitRefused))
		d.awaitInForce(config.Versions{Config: 1, Preset: 1})

		By("a relay dying while it distributes a change; vm-2 is one of two VMs of its data centre")
		d.mustCtl("preset", "switch", "ordinary")
		d.proxies[1].kill()
		d.awaitInForce(config.Versions{Config: 1, Preset: 2}, "vm-2")

		By("a data centre without the platform")
		d.setOutage("vm-1", "vm-4", "vm-7")
		d.mustCtl("apply", d.configFile(), "--expect-version", "1")
		d.awaitInForce(config.Versions{Config: 2, Preset: 2}, "vm-2")

		By("a daemon that starts while the platform refuses every VM")
		d.setOutage("vm-")
		d.proxies[1].start()
		d.awaitInForce(config.Versions{Config: 2, Preset: 2})
		raw, err := os.ReadFile(d.proxies[1].log)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring("event=started_from_peers"))

		By("the platform being available again, but losing answers")
		_, err = d.standIn.SetFaults(context.Background(), &platformpb.SetFaultsRequest{
			Faults: []*platformpb.Fault{{CallerPrefix: "bts-ctl", LostAnswers: 1}},
		})
		Expect(err).NotTo(HaveOccurred())
		d.mustCtl("preset", "switch", "peak")
		d.awaitInForce(config.Versions{Config: 2, Preset: 3})
		d.expectNoOlderVersion()
	})

	It("is measured", func() {
		d := deployBare()
		time.Sleep(restWindow) // Wait until the messages of the start-up are over.
		cpu, io := d.usage()
		time.Sleep(restWindow)
		cpuAfter, ioAfter := d.usage()
		d.mustCtl("apply", d.configFile(), "--expect-version", "0")
		d.awaitInForce(config.Versions{Config: 1})
		var took []time.Duration
		for n := range changeCount() {
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			d.mustCtl("preset", "switch", []string{"peak", "ordinary"}[n%2])
			accepted := time.Now()
			for _, at := range d.awaitInForce(config.Versions{Config: 1, Preset: uint64(n + 1)}) {
				took = append(took, max(0, at.Sub(accepted)))
			}
		}
		slices.Sort(took)
		at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))] }
		seconds := restWindow.Seconds()
		for i := range d.proxies {
			GinkgoWriter.Printf("idle %s: cpu %.2f%% read+written %.0f B/s\n", d.proxies[i].name,
				100*(cpuAfter[i]-cpu[i])/seconds, float64(ioAfter[i]-io[i])/seconds)
		}
		GinkgoWriter.Printf("in force: %d of %d changes, p50 %v p99 %v max %v\n", len(took), changeCount(), at(.5), at(.99), at(1))
	})
})

// restWindow is how long the usage of idle daemons is measured.
const restWindow = 5 * time.Second

// changeCount returns the number of preset switches; BTS_CHANGES sets more for a
// measurement.
func changeCount() int {
	if n, err := strconv.Atoi(os.Getenv("BTS_CHANGES")); err == nil {
		return n
	}
	return 5
}

// ticksPerSecond is USER_HZ, which Linux fixes for /proc.
const ticksPerSecond = 100

// usage returns each proxy's CPU time in seconds and the bytes that it has read
// and written, through sockets and to the log.
func (d *deployment) usage() (cpu []float64, bytes []uint64) {
	GinkgoHelper()
	for _, p := range d.proxies {
		dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/"
		stat, err := os.ReadFile(dir + "stat")
		Expect(err).NotTo(HaveOccurred())
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		cpu = append(cpu, (user+system)/ticksPerSecond)
		counts, err := os.ReadFile(dir + "io")
		Expect(err).NotTo(HaveOccurred())
		var sum uint64
		for line := range strings.Lines(string(counts)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if name == "rchar" || name == "wchar" {
				n, _ := strconv.ParseUint(value, 10, 64)
				sum += n
			}
		}
		bytes = append(bytes, sum)
	}
	return cpu, bytes
}
