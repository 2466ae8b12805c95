package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/outlier"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	ms    = mono.Time(time.Millisecond)
	class = "reads"
)

var (
	targets  = []topology.TargetID{"p", "r1", "r2"}
	replicas = targets[1:]
)

// load is a simulated load of one VM on the targets of a group, in virtual time, with a fixed answer time and
// failure rate for each target.
type load struct {
	detector *outlier.Detector
	random   *rand.Rand
	took     map[topology.TargetID]time.Duration
	failing  map[topology.TargetID]float64
	now      mono.Time
}

func newLoad() *load {
	l := &load{detector: outlier.NewDetector(), random: rand.New(rand.NewPCG(1, 1)), took: map[topology.TargetID]time.Duration{}, failing: map[topology.TargetID]float64{}}
	for _, id := range targets {
		l.took[id] = 20 * time.Millisecond
	}
	return l
}

// answer records one answer of a target, with a time that varies by a half.
func (l *load) answer(id topology.TargetID) {
	took := time.Duration(float64(l.took[id]) * (0.5 + l.random.Float64()))
	l.detector.Record(id, class, took, l.random.Float64() < l.failing[id], l.now)
}

// answers records answers of all targets at an interval, and reports whether id was ever an outlier.
func (l *load) answers(n int, interval mono.Time, id topology.TargetID) bool {
	ever := false
	for range n {
		l.now += interval
		for _, t := range targets {
			l.answer(t)
			ever = ever || l.outlier(id)
		}
	}
	return ever
}

func (l *load) outlier(id topology.TargetID) bool { return l.detector.Weight(id, l.now) < 1 }

// read routes a read to one of the replicas and records its answer.
func (l *load) read(t *testing.T) topology.TargetID {
	t.Helper()
	l.now += 10 * ms
	candidates := make([]routing.Candidate, 0, len(replicas))
	for _, id := range replicas {
		service, _ := l.detector.Service(id, class, l.now)
		candidates = append(candidates, routing.Candidate{Target: id, SameDC: true, Latency: service, Service: service, Slots: 4, Weight: l.detector.Weight(id, l.now)})
	}
	f := routing.NewFreshness(time.Second, time.Millisecond)
	f.AddSample(routing.Sample{Begun: l.now, Position: position.Position{Term: 1, Index: 1}})
	e, err := routing.Choose(l.now, routing.Request{Staleness: routing.AnyAge}, f, candidates, l.random)
	if err != nil {
		t.Fatal(err)
	}
	l.answer(e.Chosen)
	return e.Chosen
}

// Guards against reads that keep going to a target that is slow or fails, and against a target that gets none again
// after it has recovered.
func TestOutlierGetsOnlyProbesUntilItRecovers(t *testing.T) {
	for name, spoil := range map[string]func(*load){
		"slow":    func(l *load) { l.took["r1"] = 400 * time.Millisecond },
		"failing": func(l *load) { l.failing["r1"] = 0.7 },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoad()
			l.answers(20, 20*ms, "r1")
			spoil(l)
			if !l.answers(20, 20*ms, "r1") {
				t.Fatal("no outlier")
			}
			const reads = 2000
			sent := 0
			for range reads {
				if l.read(t) == "r1" {
					sent++
				}
			}
			if sent == 0 || sent > reads/10 {
				t.Fatalf("the outlier got %d of %d reads", sent, reads)
			}
			l.took["r1"], l.failing["r1"] = 20*time.Millisecond, 0
			sent = 0
			for range reads {
				if l.read(t) == "r1" {
					sent++
				}
			}
			if sent < reads/5 {
				t.Fatalf("after its recovery it got %d of %d reads", sent, reads)
			}
		})
	}
}

// Guards against a group whose targets are avoided although the others are no better.
func TestEquallyBadTargetsAreNoOutliers(t *testing.T) {
	l := newLoad()
	l.answers(20, 20*ms, "r1")
	for _, id := range targets {
		l.took[id], l.failing[id] = 300*time.Millisecond, 0.5
	}
	// Only a target that changes before the others may be an outlier for a while.
	l.answers(40, 20*ms, "r1")
	if l.answers(200, 20*ms, "r1") {
		t.Fatal("outlier among equals")
	}
}

// Guards against verdicts on targets that answer about as fast as the others.
func TestUsualVariationIsNoOutlier(t *testing.T) {
	l := newLoad()
	l.took["r1"] = 35 * time.Millisecond
	l.failing["r1"], l.failing["r2"] = 0.05, 0.05
	if l.answers(2000, 20*ms, "r1") {
		t.Fatal("outlier by chance")
	}
}

// Guards against slow targets that are not recognized by VMs that send them few statements.
func TestSparseAnswersAreEnough(t *testing.T) {
	l := newLoad()
	l.took["r1"] = 200 * time.Millisecond
	if !l.answers(6, 2000*ms, "r1") {
		t.Fatal("no outlier after six slow answers in 12 s")
	}
}

// Guards against a class with long statements that makes its target an outlier.
func TestClassesAreComparedSeparately(t *testing.T) {
	d := outlier.NewDetector()
	now := mono.Time(0)
	for range 50 {
		now += 20 * ms
		d.Record("r1", "long", 300*time.Millisecond, false, now)
		for _, id := range targets {
			d.Record(id, "short", 5*time.Millisecond, false, now)
		}
	}
	if d.Weight("r1", now) < 1 {
		t.Fatal("outlier because of its class")
	}
}

// Guards against a slow primary that counts as recovered because of statements that only a primary serves.
func TestAnswersThatCannotBeComparedShowNoRecovery(t *testing.T) {
	l := newLoad()
	l.took["p"] = 200 * time.Millisecond
	if !l.answers(20, 20*ms, "p") {
		t.Fatal("no outlier")
	}
	for range 50 {
		l.now += 20 * ms
		l.detector.Record("p", "writes", 5*time.Millisecond, false, l.now)
	}
	if !l.outlier("p") {
		t.Fatal("recovered")
	}
}
