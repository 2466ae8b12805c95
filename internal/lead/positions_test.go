package lead

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fakePositions fakes the positions that a VM knows.
type fakePositions struct {
	samples map[topology.GroupID]routing.Sample
	renewed []topology.GroupID
}

func (p *fakePositions) Newest(group topology.GroupID) (routing.Sample, bool) {
	s, ok := p.samples[group]
	return s, ok
}

func (p *fakePositions) Add(group topology.GroupID, s routing.Sample) { p.samples[group] = s }

func (p *fakePositions) Renew(group topology.GroupID, _ time.Duration) {
	p.renewed = append(p.renewed, group)
}

// Guards against requests for positions from each VM to each primary, as many as the callers'
// reads: the coordinator sends its own samples, and none appears newer at another VM than it is.
func TestACoordinatorSendsPositions(t *testing.T) {
	coordinator, vm, clock := newPair(4)
	const age = 150 * time.Millisecond
	holds := position.Position{Term: 1, Index: 42}
	at := &fakePositions{samples: map[topology.GroupID]routing.Sample{
		groupNumber(0): {Begun: clock.Now().Add(-age), Position: holds},
		groupNumber(1): {Begun: clock.Now().Add(-time.Minute), Position: holds},
		groupNumber(2): {Begun: clock.Now().Add(-age), Position: position.Position{Term: 7, Index: 1}}, // Of another term.
	}}
	coordinator.SharePositions(at)
	coordinator.renewPositions()
	if len(at.renewed) != 4 {
		t.Fatalf("renews %v", at.renewed)
	}
	to := &fakePositions{samples: map[topology.GroupID]routing.Sample{}}
	vm.SharePositions(to)
	request := renewalOf(vm)
	sent := clock.Now()
	const way = 30 * time.Millisecond
	clock.T = clock.T.Add(way)
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: 1}
	coordinator.promiseByDigest(request, answer, clock.Now())
	clock.T = clock.T.Add(way)
	vm.handlePromise(answer)
	if len(to.samples) != 1 {
		t.Fatalf("took %v", to.samples)
	}
	s := to.samples[groupNumber(0)]
	if s.Position != holds || s.Begun.After(sent.Add(-age)) || s.Begun.Before(sent.Add(-age-2*way)) {
		t.Fatalf("took %v, begun %v before the renewal was sent", s.Position, sent.Sub(s.Begun))
	}
}

// Guards against positions that were sent under rows which have changed since.
func TestPositionsForOutdatedRowsAreIgnored(t *testing.T) {
	coordinator, vm, clock := newPair(4)
	coordinator.SharePositions(&fakePositions{samples: map[topology.GroupID]routing.Sample{
		groupNumber(0): {Begun: clock.Now(), Position: position.Position{Term: 1, Index: 42}},
	}})
	coordinator.renewPositions()
	to := &fakePositions{samples: map[topology.GroupID]routing.Sample{}}
	vm.SharePositions(to)
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: 1}
	coordinator.promiseByDigest(renewalOf(vm), answer, clock.Now())
	vm.holder.Adopt(rowNumber(0).Closed(primaryFailed))
	vm.handlePromise(answer)
	if len(to.samples) != 0 {
		t.Fatalf("took %v", to.samples)
	}
}
