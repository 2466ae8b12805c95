package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// lateAnswers is a pooler that answers every request after the first with the answer
// to the previous request.
type lateAnswers struct {
	peerpb.Pooler
	before *peerpb.ExecuteResponse
}

func (l *lateAnswers) Execute(_ context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	answer := &peerpb.ExecuteResponse{HopId: req.HopId, Messages: []byte("rows of " + req.Session)}
	if l.before != nil {
		answer, l.before = l.before, answer
		return answer, nil
	}
	l.before = answer
	return answer, nil
}

var _ = Describe("A late answer to an earlier request", func() {
	// Guards against a caller receiving the rows of another. An answer that arrives
	// late on the connection between entry and pooler is read as the answer to the
	// next request. It has another hop id, so the entry must discard it.
	It("is discarded by its hop id", func() {
		pooler := httptest.NewServer(peerpb.NewPoolerServer(&lateAnswers{}))
		defer pooler.Close()
		v := view.New(topology.VM{ID: "vm-1", DataCentre: "a", Incarnation: 1}, mono.System{})
		table := peers.NewTable(&net.Dialer{}, v, mono.System{})
		server := New(Options{View: v, Peers: table, Clock: mono.System{}})
		d := destination{target: "t1", pooler: topology.VM{ID: "vm-2", PeerAddress: pooler.Listener.Addr().String()}}
		req := &request{group: "s/g", class: config.Class{Kind: config.Write}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		ask := func(who string) (*peerpb.ExecuteResponse, *result.Error) {
			s := &callerSession{server: server, session: &session.Session{}, options: options{session: who}}
			return s.hop(ctx, req, d, false)
		}
		got, failure := ask("first")
		Expect(failure).To(BeNil())
		Expect(string(got.Messages)).To(Equal("rows of first"))
		got, failure = ask("second")
		Expect(got).To(BeNil())
		Expect(failure).To(HaveField("Code", result.InvariantBroken))
		Expect(failure.Ran).To(Equal(result.Unknown), "the request itself may have run")
	})
})
