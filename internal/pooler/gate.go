package pooler

import (
	"context"
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// gate hands out a target's slots as pkg/admission decides. Safe for concurrent use.
type gate struct {
	clock mono.Clock

	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[uint64]chan *result.Error // nil sent: the slot is the request's
	nextID  uint64
}

func newGate(limits admission.Limits, clock mono.Clock) *gate {
	return &gate{clock: clock, queue: admission.NewQueue(limits), waiting: map[uint64]chan *result.Error{}}
}

// ticket is a request's slot; leave gives it back.
type ticket struct {
	gate *gate
	id   uint64
}

// enter waits for a slot. An error is final and proves that nothing has run.
func (g *gate) enter(ctx context.Context, r admission.Request) (*ticket, *result.Error) {
	verdict, id, refused := g.enqueue(ctx, r)
	if refused != nil {
		return nil, refused
	}
	select {
	case failure := <-verdict:
		if failure != nil {
			return nil, failure
		}
		return &ticket{g, id}, nil
	case <-ctx.Done():
		return g.giveUp(id, verdict)
	}
}

func (g *gate) enqueue(ctx context.Context, r admission.Request) (<-chan *result.Error, uint64, *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.nextID++
	r.ID = g.nextID
	r.Deadline = deadlineOf(ctx, now)
	answers, err := g.queue.Enqueue(now, r)
	g.answer(answers)
	if err != nil {
		return nil, 0, result.From(err)
	}
	verdict := make(chan *result.Error, 1)
	g.waiting[r.ID] = verdict
	g.pump(now)
	return verdict, r.ID, nil
}

// giveUp removes the request. It may have got its slot in the same instant; then
// the slot goes back, nothing having been sent.
func (g *gate) giveUp(id uint64, verdict <-chan *result.Error) (*ticket, *result.Error) {
	g.mu.Lock()
	cancelled := g.queue.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !cancelled {
		if failure := <-verdict; failure != nil {
			return nil, failure
		}
		(&ticket{g, id}).leave()
	}
	return nil, result.New(result.DeadlineInQueue, "no slot was free in time").After(verifyAfter)
}

func (t *ticket) leave() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	now := t.gate.clock.Now()
	t.gate.queue.Done(t.id, now)
	t.gate.pump(now)
}

// pump starts what may start and answers what has expired; the caller holds the
// lock.
func (g *gate) pump(now mono.Time) {
	start, expired := g.queue.Next(now)
	for _, r := range start {
		g.tell(r.ID, nil)
	}
	g.answer(expired)
}

func (g *gate) answer(answers []admission.Answer) {
	for _, a := range answers {
		g.tell(a.ID, a.Err)
	}
}

func (g *gate) tell(id uint64, failure *result.Error) {
	if verdict := g.waiting[id]; verdict != nil {
		delete(g.waiting, id)
		verdict <- failure
	}
}

// tick answers expired requests of a queue that nothing else moves.
func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Waiting() > 0 {
		g.pump(g.clock.Now())
	}
}

// setLimits puts other limits in force, as a switch of the preset does.
func (g *gate) setLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answer(g.queue.SetLimits(limits))
	g.pump(g.clock.Now())
}

func (g *gate) length() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}
