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
	// Small, as the runs below parse it very often.
	doc.Groups, doc.Classes = doc.Groups[:1], doc.Classes[:1]
	for i := range doc.Presets {
		doc.Presets[i].Classes = nil
	}
	return doc
}

// faulty is the platform with outages, answers lost after or before the change
// took effect, and commits that arrive late, drawn call by call. Between calls
// the other operator may act.
type faulty struct {
	*platform.Memory
	draw func(name string, n int) int
	// late are commits whose answer was lost and that have not arrived yet.
	late  []platform.Txn
	other func()
}

const (
	calm = iota + 5
	outage
	lostAnswer
	lostRequest
	lateRequest
	kinds
)

func (f *faulty) step() {
	if len(f.late) > 0 && f.draw("arrives", 3) == 0 {
		f.arrive()
	}
	if f.other != nil && f.draw("other acts", 6) == 0 {
		act := f.other
		f.other = nil
		act()
		f.other = act
	}
}

func (f *faulty) arrive() {
	_, _ = f.Memory.Commit(context.Background(), f.late[0])
	f.late = f.late[1:]
}

func (f *faulty) Scan(ctx context.Context, prefix string, since uint64) ([]platform.Row, uint64, error) {
	f.step()
	if f.draw("scan", 8) == 0 {
		return nil, 0, platform.ErrUnavailable
	}
	return f.Memory.Scan(ctx, prefix, since)
}

func (f *faulty) Commit(ctx context.Context, txn platform.Txn) (platform.Outcome, error) {
	f.step()
	switch f.draw("commit", kinds) {
	case outage:
		return platform.Outcome{}, platform.ErrUnavailable
	case lostAnswer:
		_, _ = f.Memory.Commit(ctx, txn)
		return platform.Outcome{}, platform.ErrUnknown
	case lostRequest:
		return platform.Outcome{}, platform.ErrUnknown
	case lateRequest:
		f.late = append(f.late, txn)
		return platform.Outcome{}, platform.ErrUnknown
	}
	return f.Memory.Commit(ctx, txn)
}

// bench is two operators on one platform, with the books that the test keeps.
type bench struct {
	t        *rapid.T
	platform *faulty
	clean    *store.Store
	docs     []*config.Document
	ids      int
	// accepted and refused hold change ids as the operators were told.
	accepted map[string]uint64
	refused  map[string]error
	highest  config.Versions
}

func newBench(t *rapid.T, docs []*config.Document) *bench {
	b := &bench{t: t, docs: docs, accepted: map[string]uint64{}, refused: map[string]error{}}
	b.platform = &faulty{Memory: platform.NewMemory()}
	b.platform.draw = func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
	b.platform.other = func() { b.act("other") }
	b.clean = &store.Store{Platform: b.platform.Memory}
	return b
}

// act runs one operator's change, from what it sees to what it is told.
func (b *bench) act(operator string) {
	id := ""
	sleeps := b.platform.draw("patience", 12)
	s := &store.Store{
		Platform: b.platform,
		Now:      func() time.Time { return time.Unix(0, 0) },
		NewChangeID: func() string {
			b.ids++
			id = fmt.Sprintf("%s-%d", operator, b.ids)
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
	version, err := b.change(s, operator)
	b.told(id, operator, version, err)
}

func (b *bench) change(s *store.Store, operator string) (uint64, error) {
	ctx := context.Background()
	seen, err := b.clean.Read(ctx)
	if err != nil {
		b.t.Fatal(err)
	}
	switch b.platform.draw("change", 4) {
	case 0:
		preset := []string{"ordinary", "peak"}[b.platform.draw("preset", 2)]
		return s.SwitchPreset(ctx, preset, seen.Preset.Version, operator)
	case 1:
		return s.Rollback(ctx, 1, seen.Config.Version, operator)
	default:
		doc := b.docs[b.platform.draw("document", len(b.docs))]
		return s.Apply(ctx, doc, seen.Config.Version, operator)
	}
}

func (b *bench) told(id, operator string, version uint64, err error) {
	if err == nil {
		b.accepted[id] = version
		return
	}
	told := result.From(err)
	if told.Code == result.Internal || told.Code == result.InvariantBroken {
		b.t.Fatal(err)
	}
	if told.Ran == result.NotRun && id != "" {
		b.refused[id] = err
	}
}

// check compares the platform with what the operators were told.
func (b *bench) check() {
	ctx := context.Background()
	state, err := b.clean.Read(ctx)
	if err != nil || !state.Versions().AtLeast(b.highest) {
		b.t.Fatalf("%+v after %+v: %v", state.Versions(), b.highest, err)
	}
	b.highest = state.Versions()
	stamps := map[string]uint64{}
	configs, _ := b.clean.History(ctx)
	for i, v := range configs {
		b.inOrder(stamps, v.Stamp, i)
	}
	switches, _ := b.clean.Switches(ctx)
	for i, v := range switches {
		b.inOrder(stamps, v.Stamp, i)
	}
	for id, version := range b.accepted {
		if stamps[id] != version {
			b.t.Fatalf("%s was told version %d; the history has %d", id, version, stamps[id])
		}
	}
	for id, why := range b.refused {
		if _, made := stamps[id]; made {
			b.t.Fatalf("%s was told %v, but is in the history", id, why)
		}
	}
	b.presetExists(state)
}

func (b *bench) inOrder(stamps map[string]uint64, s store.Stamp, i int) {
	if _, twice := stamps[s.ChangeID]; twice || s.Version != uint64(i+1) {
		b.t.Fatalf("history entry %d is %+v, twice: %v", i, s, twice)
	}
	stamps[s.ChangeID] = s.Version
}

func (b *bench) presetExists(state store.State) {
	if state.Config.Version == 0 {
		return
	}
	doc, err := b.clean.Load(context.Background(), state.Config)
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := config.Effective(doc, state.Preset.Preset); err != nil {
		b.t.Fatal(err)
	}
}

var _ = Describe("Store", func() {
	// Two operators change documents and presets at the same time. The platform
	// has outages, loses answers after the change took effect, loses requests,
	// and applies requests long after their sender gave up. An operator who was
	// told "accepted" finds the change in the history exactly once, one who was
	// told "not run" never finds it, and versions only go up.
	It("does what it tells, whatever the platform does", func() {
		full, small := document(), document()
		small.Presets = small.Presets[:1]
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench(t, []*config.Document{full, small})
			t.Repeat(map[string]func(*rapid.T){
				"change": func(*rapid.T) { b.act("one") },
				"arrive": func(t *rapid.T) {
					if len(b.platform.late) == 0 {
						t.Skip("nothing is late")
					}
					b.platform.arrive()
				},
				"": func(*rapid.T) { b.check() },
			})
			for len(b.platform.late) > 0 {
				b.platform.arrive()
			}
			b.check()
		})
	})

	Context("on a calm platform", func() {
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
			Expect(s.Apply(ctx, document(), 0, "mari")).To(Equal(uint64(1)))
		})

		It("tells the loser what it lost to", func() {
			_, err := s.Apply(ctx, document(), 0, "piero")
			Expect(result.From(err).Code).To(Equal(result.ConfigConflict))
			Expect(err).To(MatchError(ContainSubstring("version 1 by mari at 1970-01-12T13:46:40Z")))
		})

		It("refuses a document without the preset in force and a preset without a document", func() {
			Expect(s.SwitchPreset(ctx, "peak", 0, "mari")).To(Equal(uint64(1)))
			small := document()
			small.Presets = small.Presets[:1]
			Expect(code(s.Apply(ctx, small, 1, "piero"))).To(Equal(result.ConfigInvalid))
			Expect(code(s.SwitchPreset(ctx, "storm", 1, "piero"))).To(Equal(result.UnknownPreset))
			Expect(code(s.Rollback(ctx, 9, 1, "piero"))).To(Equal(result.NotFound))
		})

		It("rolls back by a new version with the old content", func() {
			next := document()
			next.Members[0].Weight = 99
			Expect(s.Apply(ctx, next, 1, "mari")).To(Equal(uint64(2)))
			Expect(s.Rollback(ctx, 1, 2, "mari")).To(Equal(uint64(3)))
			state, err := s.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(state.Config.RollbackOf).To(Equal(uint64(1)))
			Expect(s.Load(ctx, state.Config)).To(Equal(document()))
		})

		It("keeps a bounded history", func() {
			for v := range uint64(store.HistoryLength + 5) {
				Expect(s.SwitchPreset(ctx, "peak", v, "mari")).To(Equal(v + 1))
			}
			switches, err := s.Switches(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(switches).To(HaveLen(store.HistoryLength))
			Expect(switches[0].Version).To(Equal(uint64(6)))
		})
	})
})
