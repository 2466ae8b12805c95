package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

func applyRow(v *view.View, g *topology.Group) {
	raw, err := json.Marshal(g)
	Expect(err).NotTo(HaveOccurred())
	_, err = v.ApplyRows([]platform.Row{{Key: view.GroupPrefix + string(g.ID), Value: raw}})
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("An answer from a later term than the row", func() {
	// Guards against a read that misses a lost write of its session without an error.
	// The target was promoted and answers before the entry has received the group's
	// new row.
	It("waits for the newer row and reports the lost write", func() {
		v := view.New(topology.VM{ID: "vm-1", DataCentre: "a", Incarnation: 1}, mono.System{})
		before := &topology.Group{ID: "s/g", Version: 1, Term: 1, Primary: "t1"}
		applyRow(v, before)
		s := &callerSession{server: New(Options{View: v, Clock: mono.System{}}), session: &session.Session{}}
		s.session.Acknowledged("s/g", position.Position{Term: 1, Index: 5})
		go func() {
			time.Sleep(50 * time.Millisecond)
			applyRow(v, &topology.Group{
				ID: "s/g", Version: 2, Term: 2, Primary: "t2",
				History: []topology.TermEnd{{Term: 1, End: position.Position{Term: 1, Index: 3}}},
			})
		}()
		answer := &peerpb.ExecuteResponse{Position: peers.PositionTo(position.Position{Term: 2, Index: 4})}
		req := &request{group: "s/g", class: config.Class{Kind: config.Read}}
		_, failure := s.accept(context.Background(), req, before, answer)
		Expect(failure).NotTo(BeNil())
		Expect(failure.Code).To(Equal(result.WriteLost))
		got, failure := s.accept(context.Background(), req, before, answer)
		Expect(failure).To(BeNil(), "a lost write is reported once")
		Expect(got).To(BeIdenticalTo(answer))
	})
})
