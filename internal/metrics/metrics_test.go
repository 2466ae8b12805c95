package metrics_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

func fetch(url string) (int, string) {
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(body)
}

var _ = Describe("The admin address", func() {
	It("serves the recorded values as text and as JSON", func() {
		r := metrics.New()
		e, p := metrics.NewEntry(r), metrics.NewPooler(r)
		e.Request("kalakvoot", "quota-balance", nil, 3*time.Millisecond)
		e.Request("kalakvoot", "quota-balance", nil, time.Hour)
		e.Request("", "", result.New(result.UnknownClass, "x"), time.Millisecond)
		e.ReadServed("kalakvoot", "quota-balance", false)
		e.ReadServed("kalakvoot", "quota-balance", true)
		e.Retry("kalakvoot", "quota-balance")
		p.Queued("kalakvoot", "quota-balance", time.Millisecond)
		p.Connections("quota-g1-a", 4)
		Expect(r.Close()).To(Succeed()) // Flushes the remaining values.
		server := httptest.NewServer(metrics.Handler(r, func() string { return "" }))
		defer server.Close()
		_, text := fetch(server.URL + metrics.PathText)
		Expect(text).To(And(
			ContainSubstring(`requests{class="quota-balance",member="kalakvoot",result="ok"} 2`),
			ContainSubstring(`requests{class="unknown",member="unknown",result="UnknownClass"} 1`),
			ContainSubstring(`reads_served{class="quota-balance",member="kalakvoot",role="replica"} 1`),
			ContainSubstring(`reads_served{class="quota-balance",member="kalakvoot",role="primary"} 1`),
			ContainSubstring(`request_latency{class="quota-balance",member="kalakvoot",up_to="5ms"} 1`),
			ContainSubstring(`request_latency{class="quota-balance",member="kalakvoot",up_to="inf"} 1`),
			ContainSubstring(`connections_in_use{target="quota-g1-a"} 4`),
		))
		_, json := fetch(server.URL + metrics.PathJSON)
		Expect(json).To(ContainSubstring(`"name":"retries"`))
	})

	It("is ready once nothing is missing, and healthy before", func() {
		r := metrics.New()
		defer r.Close()
		missing := "no configuration is in force"
		server := httptest.NewServer(metrics.Handler(r, func() string { return missing }))
		defer server.Close()
		status, body := fetch(server.URL + metrics.PathReady)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(missing))
		status, _ = fetch(server.URL + metrics.PathHealth)
		Expect(status).To(Equal(http.StatusOK))
		missing = ""
		status, _ = fetch(server.URL + metrics.PathReady)
		Expect(status).To(Equal(http.StatusOK))
	})

	It("records nothing without a registry", func() {
		var e *metrics.Entry
		var p *metrics.Pooler
		e.Request("m", "c", nil, 0)
		e.ReadServed("m", "c", true)
		e.Retry("m", "c")
		p.Queued("m", "c", 0)
		p.Ran("m", "c", 0)
		p.Connections("t", 1)
	})
})
