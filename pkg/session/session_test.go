package session_test

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func TestSession(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		NewWithT(t).Expect(seed.Value.Set("1")).To(Succeed())
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "session")
}

func ring(active session.KeyID, ids ...session.KeyID) *session.KeyRing {
	keys := map[session.KeyID][]byte{}
	for _, id := range ids {
		keys[id] = bytes.Repeat([]byte{byte(id)}, session.MinKeyLength)
	}
	r, err := session.NewKeyRing(active, keys)
	if err != nil {
		panic(err)
	}
	return r
}

func at(term, index uint64) position.Position { return position.Position{Term: term, Index: index} }

var _ = Describe("Token", func() {
	It("brings every floor to the next entry", func() {
		r := ring(1, 1)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, _ := session.Open("clerk", session.NewToken, r)
			for range rapid.IntRange(0, 40).Draw(t, "writes") {
				group := topology.GroupID(rapid.StringN(0, 20, 100).Draw(t, "group"))
				s.Acknowledged(group, at(rapid.Uint64().Draw(t, "term"), rapid.Uint64().Draw(t, "index")))
			}
			token, err := s.Token(r, 7)
			if err != nil {
				t.Fatal(err)
			}
			next, err := session.Open("clerk", token, r)
			if err != nil {
				t.Fatal(err)
			}
			again, _ := next.Token(r, 7)
			if again != token {
				t.Fatalf("the floors differ after decoding and encoding the token")
			}
		})
	})

	It("refuses a token of another session, a forged token and a malformed token", func() {
		r := ring(1, 1)
		s, _ := session.Open("clerk", session.NewToken, r)
		s.Acknowledged("quota/1", at(1, 5))
		token, err := s.Token(r, 1)
		Expect(err).NotTo(HaveOccurred())

		code := func(id, token string, r *session.KeyRing) result.Code {
			_, err := session.Open(id, token, r)
			return result.From(err).Code
		}
		Expect(code("broker", token, r)).To(Equal(result.BadToken))
		Expect(code("clerk", token, ring(2, 2))).To(Equal(result.TokenForged))
		Expect(code("clerk", "AQ"+"B"+token[3:], r)).To(Or(Equal(result.TokenForged), Equal(result.BadToken)))
		Expect(code("clerk", token[:20], r)).To(Equal(result.BadToken))
		Expect(code("", token, r)).To(Equal(result.BadOption))
		_, err = session.Open("clerk", token, ring(2, 1, 2))
		Expect(err).NotTo(HaveOccurred(), "a token signed with the previous key stays valid after a rotation")
	})

	It("fails to encode more than MaxFloors floors, and succeeds after Prune drops one that every target has reached", func() {
		r := ring(1, 1)
		s, _ := session.Open("clerk", session.NewToken, r)
		for i := range session.MaxFloors + 1 {
			s.Acknowledged(topology.GroupID(fmt.Sprint("quota/", i)), at(1, 5))
		}
		_, err := s.Token(r, 1)
		Expect(result.From(err).Code).To(Equal(result.BadToken))
		s.Floors.Prune(func(g topology.GroupID) (position.Position, bool) { return at(1, 5), g == "quota/3" })
		_, err = s.Token(r, 1)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Floors", func() {
	// A session's write is acknowledged at 1/100; the primary dies, and the new
	// primary holds only 1/90. The session's next read must fail once with WriteLost,
	// and later reads must see what survived. A write in term 2 before that read must
	// not hide the loss.
	DescribeTable("report a lost write once", func(writesBefore bool, floor position.Position) {
		s, _ := session.Open("", "", nil)
		g := &topology.Group{ID: "quota/1", Term: 2, History: []topology.TermEnd{{Term: 1, End: at(1, 90)}}}
		s.Acknowledged(g.ID, at(1, 100))
		if writesBefore {
			s.Acknowledged(g.ID, at(2, 95))
		}
		_, err := s.ReadFloor(g)
		Expect(result.From(err).Code).To(Equal(result.WriteLost))
		f, err := s.ReadFloor(g)
		Expect(err).NotTo(HaveOccurred())
		Expect(f).To(Equal(session.Floor{Position: floor}))
	},
		Entry("and then lower the floor", false, at(1, 90)),
		Entry("even if a later write raised the floor", true, at(2, 95)),
	)

	It("require a fetch when the session has an id but no token", func() {
		s, _ := session.Open("clerk", "", nil)
		Expect(s.ReadFloor(&topology.Group{ID: "quota/1"})).To(Equal(session.Floor{Fetch: true}))
	})
})

func FuzzDecode(f *testing.F) {
	r := ring(1, 1)
	s, _ := session.Open("clerk", session.NewToken, r)
	s.Acknowledged("quota/1", at(1, 5))
	token, _ := s.Token(r, 1)
	f.Add(token)
	f.Add("")
	f.Fuzz(func(t *testing.T, input string) {
		got, err := r.Decode(input, "clerk")
		if err == nil && input != token {
			t.Fatalf("accepted %q as %+v", input, got)
		}
		if err != nil && result.From(err).Code == result.Internal {
			t.Fatalf("untyped error %v", err)
		}
	})
}

func BenchmarkTokenRoundTrip(b *testing.B) {
	r := ring(1, 1)
	s, _ := session.Open("clerk", session.NewToken, r)
	for i := range 9 {
		s.Acknowledged(topology.GroupID(fmt.Sprint("quota-ledger/", i)), at(3, 1_000_000))
	}
	b.ReportAllocs()
	for b.Loop() {
		token, _ := s.Token(r, 1)
		if _, err := r.Decode(token, "clerk"); err != nil {
			b.Fatal(err)
		}
	}
}
