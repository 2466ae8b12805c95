package integration_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	loadtool "github.com/buckthornshore/buckthornshore/internal/load"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// profile returns the shipped load profile with the addresses of the deployment.
func (d *deployment) profile(duration time.Duration) loadtool.Profile {
	p, err := loadtool.ReadProfile("../../examples/load-kalakvoot.json")
	Expect(err).NotTo(HaveOccurred())
	p.Proxies, p.AdminAddresses, p.PlatformURL = d.callers, d.admins, d.url
	p.Duration, p.WarmUp = settings.Duration(duration), 0
	return p
}

func (d *deployment) load(p loadtool.Profile) *loadtool.RunReport {
	conf, err := config.Effective(d.doc, config.OrdinaryPreset)
	Expect(err).NotTo(HaveOccurred())
	processes := loadtool.Processes{}
	for id, database := range d.databases {
		processes[string(id)] = database.cmd.Process.Pid
	}
	report, err := loadtool.Run(context.Background(), loadtool.Options{
		Config:    conf,
		Profiles:  []loadtool.Profile{p},
		Processes: processes,
		Live:      GinkgoWriter,
		Log:       slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(report.WriteText(GinkgoWriter)).To(Succeed())
	return report
}

func fetch(address, path string) (int, string) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

var _ = Describe("Under load", func() {
	// The callers get refusals and late answers for a while, and no wrong answer. The
	// primary is killed under load; a replica that has every acknowledged write is
	// promoted. The answers that the callers got are compared, request by request,
	// with the rows afterwards.
	It("keeps the callers' history whole while a primary is killed", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		p := d.profile(6 * time.Second)
		p.Faults = []loadtool.Fault{{At: settings.Duration(2 * time.Second), Action: loadtool.Kill, Target: "primary:quota-ledger/g1"}}
		report := d.load(p)
		Expect(report.Faults).To(HaveLen(1))
		Expect(report.Faults[0].Error).To(BeEmpty())
		Expect(report.Violations()).To(BeZero())
		for _, v := range report.Verdicts[0].Verdicts {
			Expect(v.Unchecked).NotTo(ContainSubstring("quota-ledger/g1"), "%s", v.Check)
		}
	})

	It("shows at the admin address that it is ready and who served the reads", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		for _, address := range d.admins {
			Eventually(func() int {
				status, _ := fetch(address, metrics.PathReady)
				return status
			}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
		}
		report := d.load(d.profile(2 * time.Second))
		Expect(report.Share.Measured).To(Equal(3))
		Expect(report.Share.Classes).To(ConsistOf(
			HaveField("Class", "balance-overview"),
			HaveField("Class", "quota-balance"),
		))
		_, text := fetch(d.admins[0], metrics.PathText)
		Expect(text).To(And(ContainSubstring(metrics.RequestLatency), ContainSubstring(metrics.QueueTime), ContainSubstring(metrics.ConnectionsInUse)))
	})
})
