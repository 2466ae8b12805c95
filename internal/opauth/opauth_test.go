package opauth_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/opauth"
)

func TestOpauth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "opauth")
}

const secret = "sixteen bytes or more"

// tamperingTransport is a transport that modifies a request after it was signed.
type tamperingTransport struct{ change func(*http.Request) }

func (t tamperingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.change(r)
	return http.DefaultTransport.RoundTrip(r)
}

var _ = Describe("An operator's request", func() {
	var daemon *httptest.Server
	now := time.Now()

	send := func(key string, at time.Time, change func(*http.Request)) int {
		GinkgoHelper()
		client := http.Client{Transport: &opauth.Signer{
			Secret: key, Next: tamperingTransport{change}, Now: func() time.Time { return at },
		}}
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, daemon.URL+"/status", strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		resp, err := client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		return resp.StatusCode
	}
	unchanged := func(*http.Request) {}

	BeforeEach(func() {
		next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			Expect(string(body)).To(Equal("body"))
		})
		v := &opauth.Verifier{Secret: secret, Next: next, Now: func() time.Time { return now }}
		daemon = httptest.NewServer(v)
		DeferCleanup(daemon.Close)
	})

	It("is served when it is signed correctly", func() {
		Expect(send(secret, now, unchanged)).To(Equal(http.StatusOK))
	})

	// Guards against an attacker on the network who sends a request without the
	// secret, modifies one in transit, or replays one, such as a switchover.
	DescribeTable("is refused", func(key string, at time.Time, change func(*http.Request)) {
		Expect(send(key, at, change)).To(Equal(http.StatusUnauthorized))
	},
		Entry("with another secret", "another secret of some length", now, unchanged),
		Entry("without a signature", secret, now, func(r *http.Request) { r.Header.Del("Bts-Signature") }),
		Entry("with another path", secret, now, func(r *http.Request) { r.URL.Path = "/switchover" }),
		Entry("with another body", secret, now, func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader("BODY"))
		}),
		Entry("with another time", secret, now.Add(-time.Hour), func(r *http.Request) {
			r.Header.Set("Bts-Time", "1")
		}),
		Entry("when it is old", secret, now.Add(-opauth.MaxClockSkew-time.Second), unchanged),
	)

	It("is refused when it is replayed", func() {
		var first http.Header
		Expect(send(secret, now, func(r *http.Request) { first = r.Header.Clone() })).To(Equal(http.StatusOK))
		again := send(secret, now, func(r *http.Request) { r.Header = first })
		Expect(again).To(Equal(http.StatusUnauthorized))
	})

	It("is refused by a daemon without a secret", func() {
		daemon.Config.Handler = &opauth.Verifier{Now: time.Now}
		Expect(send("", now, unchanged)).To(Equal(http.StatusUnauthorized))
	})
})
