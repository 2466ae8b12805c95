package integration_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	faultsoak "github.com/buckthornshore/buckthornshore/internal/standin/soak"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Default seeds of the soak and its length per seed, in seconds. The environment
// overrides them, for example BTS_SOAK_SEEDS=1000-1049 BTS_SOAK_SECONDS=20.
const (
	soakSeeds   = "1-1"
	soakSeconds = 8
	// soakRecoveryLimit bounds the time after the last fault until every writer is served again.
	// A failed primary is replaced within 2 s, and the targets of a killed proxy move to
	// another pooler within 3 s.
	soakRecoveryLimit = 20 * time.Second
)

// failedSeeds are seeds that once failed, each with the cause. They are run every time.
var failedSeeds = []uint64{
	225, // Two faults hit one process; the second signalled a process that had exited. The defect was in the soak itself.
}

// soak is the run of one seed: a random series of faults that can overlap, while writers in
// each data centre keep their sessions open.
type soak struct {
	*deployment
	random *rand.Rand
	// faulted is the set of processes that are under a fault.
	faulted map[*process]bool
	log     []string
}

func (s *soak) dataCentre() topology.DataCentre {
	return s.doc.DataCentres[s.random.IntN(len(s.doc.DataCentres))].Name
}

// inject starts a fault on a process, unless the process is already under one, and returns
// the function that ends it.
func (s *soak) inject(p *process, begin func(), end func()) (heal func()) {
	if s.faulted[p] {
		return func() {}
	}
	s.faulted[p] = true
	begin()
	return func() {
		end()
		delete(s.faulted, p)
	}
}

func (s *soak) proxy() *process   { return s.proxies[s.random.IntN(len(s.proxies))] }
func (s *soak) primary() *process { return s.databases[s.row().Primary] }

var faults = []faultsoak.Fault[*soak]{
	{Name: "a proxy is killed", Inject: func(s *soak) func() {
		p := s.proxy()
		return s.inject(p, p.kill, p.start)
	}},
	{Name: "a proxy is stopped as planned", Inject: func(s *soak) func() {
		p := s.proxy()
		return s.inject(p, func() { p.stop() }, p.start)
	}},
	{Name: "a proxy is frozen", Inject: func(s *soak) func() {
		p := s.proxy()
		return s.inject(p, p.freeze, p.thaw)
	}},
	{Name: "the primary is frozen", Inject: func(s *soak) func() {
		p := s.primary()
		return s.inject(p, p.freeze, p.thaw)
	}},
	{Name: "the primary is killed", Inject: func(s *soak) func() {
		p := s.primary()
		return s.inject(p, p.kill, p.start)
	}},
	{Name: "a data centre is cut off without resets", Inject: func(s *soak) func() {
		dc := s.dataCentre()
		s.cutBetween(dc, anywhere, true)
		return func() { s.cutBetween(dc, anywhere, false) }
	}},
	{Name: "answers to a data centre are lost, its requests arrive", Inject: func(s *soak) func() {
		dc := s.dataCentre()
		setAnswersCut := func(cut bool) {
			for _, l := range s.links {
				if l.from == dc {
					l.SetAnswersCut(cut)
				}
			}
		}
		setAnswersCut(true)
		return func() { setAnswersCut(false) }
	}},
	{Name: "connections between data centres are reset", Inject: func(s *soak) func() {
		for _, l := range s.links {
			if s.random.IntN(2) == 0 {
				l.Reset()
			}
		}
		return func() {}
	}},
	{Name: "open connections fall silent, new ones work", Inject: func(s *soak) func() {
		for _, l := range s.links {
			if s.random.IntN(2) == 0 {
				l.Silence()
			}
		}
		return func() {}
	}},
	{Name: "links between data centres are slow", Inject: func(s *soak) func() {
		s.delayLinks(time.Duration(20+s.random.IntN(100)) * time.Millisecond)
		return func() { s.delayLinks(0) }
	}},
	{Name: "the platform is out", Inject: func(s *soak) func() {
		s.setPlatformDown(true)
		return func() { s.setPlatformDown(false) }
	}},
}

var _ = Describe("Faults in any order", func() {
	// Callers in every data centre write and keep their sessions while processes are killed,
	// stopped, frozen and started again, and links between data centres are cut, slowed,
	// silenced or reset, two faults at a time. In any order of faults, every acknowledged
	// write is there at the end, and all callers are served again once the faults are over.
	It("lose no acknowledged write, and all callers are served after them", func() {
		seconds, err := strconv.Atoi(faultsoak.EnvOr("BTS_SOAK_SECONDS", fmt.Sprint(soakSeconds)))
		Expect(err).NotTo(HaveOccurred())
		seeds, err := faultsoak.ParseSeeds(faultsoak.EnvOr("BTS_SOAK_SEEDS", soakSeeds))
		Expect(err).NotTo(HaveOccurred())
		for _, seed := range append(seeds, failedSeeds...) {
			playSeed(seed, time.Duration(seconds)*time.Second)
		}
	})
})

func playSeed(seed uint64, length time.Duration) {
	s := &soak{deployment: deploy(deployOptions{groups: 1, proxies: 6, links: true}), random: rand.New(rand.NewPCG(seed, seed)), faulted: map[*process]bool{}}
	s.awaitStableView()
	var writers []*writer
	for i := range s.proxies {
		writers = append(writers, s.startWriter(i, "landing-report", fmt.Sprintf("soak-%d-%d", seed, i)))
	}
	s.log = faultsoak.Run(s, faults, s.random, length)
	over := time.Now()
	acked := 0
	for i, w := range writers {
		before := w.count()
		Eventually(w.count).WithTimeout(soakRecoveryLimit).Should(BeNumerically(">", before),
			"seed %d: the writer at vm-%d is not served after %v", seed, i+1, s.log)
		w.end()
		acked += w.count()
	}
	fmt.Printf("soak seed %d: %d faults, %d writes acknowledged, all served again after %v\n", seed, len(s.log), acked, time.Since(over).Round(time.Millisecond))
	for i, w := range writers {
		By(fmt.Sprintf("seed %d: what vm-%d acknowledged is there after %v", seed, i+1, s.log))
		s.checkNothingLost(i, w)
	}
	s.end()
	for _, l := range s.links {
		l.Close()
	}
}
