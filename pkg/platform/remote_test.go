package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var _ = Describe("Remote.Commit", func() {
	commit := func(url string, client *http.Client) error {
		_, err := platform.NewRemote(url, "test", client).Commit(context.Background(), platform.Txn{})
		return err
	}

	// The platform's process is down and the connection is refused: the commit was
	// never sent, so its writer may abandon it at once. If it counted as unknown, a
	// promoter would keep its withdrawal and callers' writes would stay refused.
	It("returns ErrUnavailable when no connection could be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		url := "http://" + l.Addr().String()
		Expect(l.Close()).To(Succeed())
		err = commit(url, &http.Client{})
		Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, platform.ErrUnknown)).To(BeFalse())
	})

	// The connection was open and no answer arrived: the commit may have taken
	// effect, so its writer has to retry the same commit.
	It("returns ErrUnknown once the commit may have been sent", func() {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer server.Close()
		defer close(release)
		err := commit(server.URL, &http.Client{Timeout: 100 * time.Millisecond})
		Expect(errors.Is(err, platform.ErrUnknown)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, platform.ErrUnavailable)).To(BeFalse())
	})
})
