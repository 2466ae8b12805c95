package peers_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

// slowPooler reports the messages of a request once proceed is closed.
type slowPooler struct {
	peerpb.Pooler
	proceed chan struct{}
	read    chan string
}

func (s *slowPooler) Execute(_ context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	<-s.proceed
	s.read <- string(req.Messages)
	return &peerpb.ExecuteResponse{HopId: req.HopId}, nil
}

var _ = Describe("The pooler of the same VM", func() {
	// The entry gives up a call, and the pooler still runs its request. By then the
	// entry's buffer holds the next request, whose bytes the pooler must not send.
	It("keeps the messages of a call that the entry has given up", func() {
		slow := &slowPooler{proceed: make(chan struct{}), read: make(chan string, 1)}
		table := peers.NewTable(nil, nil, mono.System{})
		table.ServeLocally("127.0.0.1:1", slow)
		client := table.Get(topology.VM{ID: "vm-1", PeerAddress: "127.0.0.1:1"})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		req := &peerpb.ExecuteRequest{Messages: []byte("first")}
		_, err := client.Execute(ctx, req)
		Expect(err).To(MatchError(context.Canceled))
		copy(req.Messages, "other")
		close(slow.proceed)
		Eventually(slow.read).Should(Receive(Equal("first")))
	})
})
