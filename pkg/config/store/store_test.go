package store_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/config/store"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config store")
}

func document() *config.Document {
	GinkgoHelper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "kalakvoot.json"))
	Expect(err).NotTo(HaveOccurred())
	doc, problems := config.Parse("kalakvoot.json", raw)
	Expect(problems).To(BeEmpty())
	// The document is kept small, as the property test below parses it very often.
	doc.Groups, doc.Classes = doc.Groups[:1], doc.Classes[:1]
	for i := range doc.Presets {
		doc.Presets[i].Classes = nil
	}
	return doc
}

// faultyPlatform is the platform with faults drawn for every call: outages, answers
// lost before or after the commit took effect, and commits that take effect late.
// Between calls the other operator may make a change.
type faultyPlatform struct {
	*platform.Memory
	draw func(name string, n int) int
	// delayed holds commits whose answer was lost and that have not taken effect
	// yet.
	delayed       []platform.Txn
	otherOperator func()
}

// Outcomes that are drawn for a commit. Values up to noFault mean no fault.
const (
	noFault = iota + 5
	outage
	lostAnswer
	lostRequest
	delayedRequest
	commitOutcomes
)

func (f *faultyPlatform) betweenCalls() {
	if len(f.delayed) > 0 && f.draw("delayed commit takes effect", 3) == 0 {
		f.applyDelayed()
	}
	if f.otherOperator != nil && f.draw("other operator makes a change", 6) == 0 {
		change := f.otherOperator
		f.otherOperator = nil
		change()
		f.otherOperator = change
	}
}

func (f *faultyPlatform) applyDelayed() {
	_, _ = f.Memory.Commit(context.Background(), f.delayed[0])
	f.delayed = f.delayed[1:]
}

func (f *faultyPlatform) Scan(ctx context.Context, prefix string, since uint64) ([]platform.Row, uint64, error) {
	f.betweenCalls()
	if f.draw("scan", 8) == 0 {
		return nil, 0, platform.ErrUnavailable
	}
	return f.Memory.Scan(ctx, prefix, since)
}

func (f *faultyPlatform) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	f.betweenCalls()
	switch f.draw("commit", commitOutcomes) {
	case outage:
		return platform.Outcome{}, platform.ErrUnavailable
	case lostAnswer:
		_, _ = f.Memory.Commit(ctx, txn)
		return platform.Outcome{}, platform.ErrUnknown
	case lostRequest:
		return platform.Outcome{}, platform.ErrUnknown
	case delayedRequest:
		f.delayed = append(f.delayed, txn)
		return platform.Outcome{}, platform.ErrUnknown
	}
	return f.Memory.Commit(ctx, txn)
}

// harness runs two operators on one platform and records the answers that they get.
type harness struct {
	t         *rapid.T
	platform  *faultyPlatform
	reliable  *store.Store
	documents []*config.Document
	ids       int
	// accepted and refused hold the answer for each change id: the version of an
	// accepted change, and the error of one reported as not run.
	accepted map[string]uint64
	refused  map[string]error
	highest  config.Versions
}

func newHarness(t *rapid.T, documents []*config.Document) *harness {
	h := &harness{t: t, documents: documents, accepted: map[string]uint64{}, refused: map[string]error{}}
	h.platform = &faultyPlatform{Memory: platform.NewMemory()}
	h.platform.draw = func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
	h.platform.otherOperator = func() { h.runOperator("other") }
	h.reliable = &store.Store{Platform: h.platform.Memory}
	return h
}

// runOperator makes one operator's change to the state that it reads, and records
// the answer.
func (h *harness) runOperator(operator string) {
	id := ""
	sleeps := h.platform.draw("sleeps before the deadline", 12)
	s := &store.Store{
		Platform: h.platform,
		Now:      func() time.Time { return time.Unix(0, 0) },
		NewChangeID: func() string {
			h.ids++
			id = fmt.Sprintf("%s-%d", operator, h.ids)
			return id
		},
		Sleep: func(context.Context, time.Duration) error {
			sleeps--
			if sleeps < 0 {
				return context.DeadlineExceeded
			}
			return nil
		},
	}
	version, err := h.change(s, operator)
	h.answered(id, operator, version, err)
}

func (h *harness) change(s *store.Store, operator string) (uint64, error) {
	ctx := context.Background()
	seen, err := h.reliable.Read(ctx)
	if err != nil {
		h.t.Fatal(err)
	}
	switch h.platform.draw("change", 4) {
	case 0:
		preset := []string{"ordinary", "peak"}[h.platform.draw("preset", 2)]
		return s.SwitchPreset(ctx, preset, seen.Preset.Expected(), operator)
	case 1:
		return s.Rollback(ctx, 1, seen.Config.Expected(), operator)
	default:
		doc := h.documents[h.platform.draw("document", len(h.documents))]
		return s.Apply(ctx, doc, seen.Config.Expected(), operator)
	}
}

// answered records the answer to one change.
func (h *harness) answered(id, operator string, version uint64, err error) {
	if err == nil {
		h.accepted[id] = version
		return
	}
	answered := result.From(err)
	if answered.Code == result.Internal || answered.Code == result.InvariantBroken {
		h.t.Fatal(err)
	}
	if answered.Ran == result.NotRun && id != "" {
		h.refused[id] = err
	}
}

// check compares the state and the history on the platform with the recorded
// answers.
func (h *harness) check() {
	ctx := context.Background()
	state, err := h.reliable.Read(ctx)
	if err != nil || !state.Versions().AtLeast(h.highest) {
		h.t.Fatalf("%+v after %+v: %v", state.Versions(), h.highest, err)
	}
	h.highest = state.Versions()
	stamps := map[string]uint64{}
	configs, _ := h.reliable.History(ctx)
	for i, v := range configs {
		h.checkStamp(stamps, v.Stamp, i)
	}
	switches, _ := h.reliable.Switches(ctx)
	for i, v := range switches {
		h.checkStamp(stamps, v.Stamp, i)
	}
	for id, version := range h.accepted {
		if stamps[id] != version {
			h.t.Fatalf("%s was accepted as version %d; the history has %d", id, version, stamps[id])
		}
	}
	for id, reason := range h.refused {
		if _, recorded := stamps[id]; recorded {
			h.t.Fatalf("%s was refused with %v, but is in the history", id, reason)
		}
	}
	h.checkPreset(state)
}

func (h *harness) checkStamp(stamps map[string]uint64, s store.Stamp, i int) {
	if _, duplicate := stamps[s.ChangeID]; duplicate || s.Version != uint64(i+1) {
		h.t.Fatalf("history entry %d is %+v, duplicate: %v", i, s, duplicate)
	}
	stamps[s.ChangeID] = s.Version
}

func (h *harness) checkPreset(state store.State) {
	if state.Config.Version == 0 {
		return
	}
	doc, err := h.reliable.Load(context.Background(), state.Config)
	if err != nil {
		h.t.Fatal(err)
	}
	if _, err := config.Effective(doc, state.Preset.Preset); err != nil {
		h.t.Fatal(err)
	}
}

var _ = Describe("Store", func() {
	// Two operators change documents and presets at the same time. The platform
	// has outages, loses answers after the change took effect, loses requests,
	// and applies requests long after their sender gave up. A change reported as
	// accepted must be in the history exactly once, one reported as not run must
	// never be there, and versions must only increase.
	It("keeps the history consistent with the answers under platform faults", func() {
		full, small := document(), document()
		small.Presets = small.Presets[:1]
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := newHarness(t, []*config.Document{full, small})
			t.Repeat(map[string]func(*rapid.T){
				"change": func(*rapid.T) { h.runOperator("one") },
				"arrive": func(t *rapid.T) {
					if len(h.platform.delayed) == 0 {
						t.Skip("no commit is delayed")
					}
					h.platform.applyDelayed()
				},
				"": func(*rapid.T) { h.check() },
			})
			for len(h.platform.delayed) > 0 {
				h.platform.applyDelayed()
			}
			h.check()
		})
	})

	Context("on a platform without faults", func() {
		var s *store.Store
		ctx := context.Background()
		code := func(_ uint64, err error) result.Code { return result.From(err).Code }

		BeforeEach(func() {
			ids := 0
			s = &store.Store{
				Platform:    platform.NewMemory(),
				Now:         func() time.Time { return time.Unix(1_000_000, 0) },
				NewChangeID: func() string { ids++; return fmt.Sprint(ids) },
			}
			Expect(s.Apply(ctx, document(), store.Expected{}, "mari")).To(Equal(uint64(1)))
		})

		It("reports the change that came first on a conflict", func() {
			_, err := s.Apply(ctx, document(), store.Expected{}, "piero")
			Expect(result.From(err).Code).To(Equal(result.ConfigConflict))
			Expect(err).To(MatchError(ContainSubstring("version 1 by mari at 1970-01-12T13:46:40Z")))
		})

		It("rejects a document without the preset in force, and an unknown preset or version", func() {
			Expect(s.SwitchPreset(ctx, "peak", store.Expected{}, "mari")).To(Equal(uint64(1)))
			small := document()
			small.Presets = small.Presets[:1]
			Expect(code(s.Apply(ctx, small, store.Expected{Version: 1}, "piero"))).To(Equal(result.ConfigInvalid))
			Expect(code(s.SwitchPreset(ctx, "storm", store.Expected{Version: 1}, "piero"))).To(Equal(result.UnknownPreset))
			Expect(code(s.Rollback(ctx, 9, store.Expected{Version: 1}, "piero"))).To(Equal(result.NotFound))
		})

		It("rolls back by adding a version with the old content", func() {
			next := document()
			next.Members[0].Weight = 99
			Expect(s.Apply(ctx, next, store.Expected{Version: 1}, "mari")).To(Equal(uint64(2)))
			Expect(s.Rollback(ctx, 1, store.Expected{Version: 2}, "mari")).To(Equal(uint64(3)))
			state, err := s.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(state.Config.RollbackOf).To(Equal(uint64(1)))
			Expect(s.Load(ctx, state.Config)).To(Equal(document()))
		})

		// Guards against a change that is made over another operator's, to which the platform has given
		// the expected version again after it was restored from an older copy.
		It("refuses a change made from a version that was given out again", func() {
			seen, err := s.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			s.Platform = platform.NewMemory() // Restored from before the first version.
			Expect(s.Apply(ctx, document(), store.Expected{}, "piero")).To(Equal(uint64(1)))
			_, err = s.Apply(ctx, document(), seen.Config.Expected(), "mari")
			Expect(result.From(err).Code).To(Equal(result.ConfigConflict))
			Expect(err).To(MatchError(ContainSubstring("the platform was restored")))
			_, err = s.Rollback(ctx, 1, seen.Config.Expected(), "mari")
			Expect(result.From(err).Code).To(Equal(result.ConfigConflict))
		})

		It("keeps a bounded history", func() {
			for v := range uint64(store.HistoryLength + 5) {
				Expect(s.SwitchPreset(ctx, "peak", store.Expected{Version: v}, "mari")).To(Equal(v + 1))
			}
			switches, err := s.Switches(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(switches).To(HaveLen(store.HistoryLength))
			Expect(switches[0].Version).To(Equal(uint64(6)))
		})
	})
})
