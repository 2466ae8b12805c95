package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/ctl"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/internal/status"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const operatorSecret = "the operators' secret of the tests"

// ctl runs the operators' command-line tool and returns its exit code, standard
// output and standard error.
func (d *deployment) ctl(secret string, argv ...string) (int, string, string) {
	raw, err := json.Marshal(ctl.Settings{
		PlatformURL: d.url, Operator: "mari", Daemon: d.admins[0],
		OperatorSecret: secret, Timeout: settings.Duration(15 * time.Second),
	})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "ctl.json")
	Expect(os.WriteFile(file, raw, 0o600)).To(Succeed())
	var stdout, stderr bytes.Buffer
	code := ctl.Run(context.Background(), append(argv, "--settings", file), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (d *deployment) mustCtl(argv ...string) string {
	GinkgoHelper()
	code, stdout, stderr := d.ctl(operatorSecret, argv...)
	Expect(code).To(Equal(ctl.ExitOK), stderr)
	return stdout
}

// ctlJSON runs a command of the operators' tool and decodes its JSON output.
func ctlJSON[T any](d *deployment, argv ...string) (value T) {
	GinkgoHelper()
	Expect(json.Unmarshal([]byte(d.mustCtl(append(argv, "--json")...)), &value)).To(Succeed())
	return value
}

func (d *deployment) reportedPrimary() string {
	return string(ctlJSON[[]status.Group](d, "status", "groups")[0].Primary)
}

// counter returns the sum of a counter of a class over all proxies, as last published.
func (d *deployment) counter(name, class string) (sum int64) {
	GinkgoHelper()
	for _, address := range d.admins {
		resp, err := http.Get("http://" + address + metrics.PathJSON)
		Expect(err).NotTo(HaveOccurred())
		var s metrics.Snapshot
		Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
		Expect(resp.Body.Close()).To(Succeed())
		for _, c := range s.Counters {
			if c.Name == name && c.Tags[metrics.TagClass] == class {
				sum += c.Value
			}
		}
	}
	return sum
}

// countReadRetries reads through every proxy and returns how many attempts of these reads were retried. It returns
// once the counts are published, so that a later call does not count them.
func (d *deployment) countReadRetries() int64 {
	GinkgoHelper()
	const class, readsPerProxy = "balance-overview", 40
	retries, requests := d.counter(metrics.Retries, class), d.counter(metrics.Requests, class)
	for i := range d.proxies {
		reader := d.mustConnect(i, class)
		for range readsPerProxy {
			Expect(get(reader, "ready")).To(Equal("yes"))
		}
	}
	reads := int64(readsPerProxy * len(d.proxies))
	Eventually(func() int64 { return d.counter(metrics.Requests, class) - requests }).
		WithTimeout(10 * time.Second).Should(BeNumerically(">=", reads))
	time.Sleep(2 * metrics.ReportPeriod) // The retries may be published one period after the requests.
	return d.counter(metrics.Retries, class) - retries
}

var _ = Describe("Operators", func() {
	It("ask daemons, and are refused without the secret", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		Expect(ctlJSON[[]status.Target](d, "status", "targets")).To(HaveLen(3))
		Expect(ctlJSON[status.Sessions](d, "status", "sessions").Serving).To(BeTrue())
		d.mustCtl("apply", d.configFile(), "--expect-version", "0")
		d.mustCtl("preset", "switch", "peak")
		Eventually(func(g Gomega) {
			all := ctlJSON[[]status.Config](d, "config", "status")
			g.Expect(all).To(HaveLen(3))
			for _, c := range all {
				g.Expect(c.Config).To(Equal(uint64(1)))
				g.Expect(c.Preset).To(Equal("peak"))
			}
		}).WithTimeout(10 * time.Second).Should(Succeed())
		explanation := ctlJSON[routing.Explanation](d, "explain", "--service", "quota-ledger", "--class", "landing-report", "--group", "g1")
		Expect(string(explanation.Chosen)).To(Equal(d.reportedPrimary()))
		code, _, stderr := d.ctl("some other secret, wrong", "status", "vms")
		Expect(code).To(Equal(ctl.ExitRefused))
		Expect(stderr).To(HavePrefix("BTS-1306 "))
		code, _, _ = d.ctl(operatorSecret, "switchover", "quota-ledger/g1", "--to", "nobody")
		Expect(code).To(Equal(ctl.ExitRefused))
		d.mustCtl("drain", "--vm", "vm-3")
		stopped := make(chan error)
		go func() { stopped <- d.proxies[2].cmd.Wait() }()
		Eventually(stopped).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})

	// No request fails while an operator switches the primary over and then drains the
	// new primary, which starts a switchover automatically. Afterwards the leaving
	// target is frozen: reads that were still routed to it would have to be retried.
	It("switch over and drain under load without a failed request", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3})
		d.mustCtl("apply", d.configFile(), "--expect-version", "0")
		l := d.startCallers(6)
		before := d.reportedPrimary()
		d.mustCtl("switchover", "quota-ledger/g1")
		leaving := d.reportedPrimary()
		Expect(leaving).NotTo(Equal(before))
		d.mustCtl("drain", leaving)
		Eventually(d.reportedPrimary).WithTimeout(10 * time.Second).ShouldNot(Equal(leaving))
		l.end()
		Eventually(func(g Gomega) {
			for _, c := range ctlJSON[[]status.Config](d, "config", "status") {
				g.Expect(c.Config).To(Equal(uint64(2)))
			}
		}).WithTimeout(10 * time.Second).Should(Succeed())
		Eventually(d.countReadRetries).WithTimeout(15 * time.Second).Should(BeZero())
		explanation := ctlJSON[routing.Explanation](d, "explain", "--service", "quota-ledger", "--class", "balance-overview", "--group", "g1")
		Expect(explanation.Candidates).To(ContainElement(And(
			HaveField("Target", topology.TargetID(leaving)), HaveField("Reason", routing.TargetLeaving),
		)))
		hung := d.databases[topology.TargetID(leaving)]
		hung.freeze()
		defer hung.thaw()
		Expect(d.countReadRetries()).To(BeZero())
	})
})
