package pooler

import (
	"context"
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// gate assigns a target's slots in the order that pkg/admission decides. Safe for
// concurrent use.
type gate struct {
	clock mono.Clock

	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[uint64]chan *result.Error // receives nil when the request gets its slot
	nextID  uint64
}

func newGate(limits admission.Limits, clock mono.Clock) *gate {
	return &gate{clock: clock, queue: admission.NewQueue(limits), waiting: map[uint64]chan *result.Error{}}
}

// heldSlot is a slot that a request holds; release gives it back.
type heldSlot struct {
	gate *gate
	id   uint64
}

// acquire waits for a slot. An error means that nothing of the request has run.
func (g *gate) acquire(ctx context.Context, r admission.Request) (*heldSlot, *result.Error) {
	verdict, id, refused := g.enqueue(ctx, r)
	if refused != nil {
		return nil, refused
	}
	select {
	case failure := <-verdict:
		if failure != nil {
			return nil, failure
		}
		return &heldSlot{g, id}, nil
	case <-ctx.Done():
		return g.abandonWait(id, verdict)
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
	g.replyAll(answers)
	if err != nil {
		return nil, 0, result.From(err)
	}
	verdict := make(chan *result.Error, 1)
	g.waiting[r.ID] = verdict
	g.dispatch(now)
	return verdict, r.ID, nil
}

// abandonWait removes the request from the queue. If the request got its slot at the same
// moment, the slot is released; nothing has been sent.
func (g *gate) abandonWait(id uint64, verdict <-chan *result.Error) (*heldSlot, *result.Error) {
	g.mu.Lock()
	cancelled := g.queue.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !cancelled {
		if failure := <-verdict; failure != nil {
			return nil, failure
		}
		(&heldSlot{g, id}).release()
	}
	return nil, result.New(result.DeadlineInQueue, "no slot was free in time").After(verifyAfter)
}

func (s *heldSlot) release() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	now := s.gate.clock.Now()
	s.gate.queue.Done(s.id, now)
	s.gate.dispatch(now)
}

// dispatch gives free slots to waiting requests and refuses expired ones. The caller
// holds the lock.
func (g *gate) dispatch(now mono.Time) {
	start, expired := g.queue.Next(now)
	for _, r := range start {
		g.reply(r.ID, nil)
	}
	g.replyAll(expired)
}

func (g *gate) replyAll(answers []admission.Answer) {
	for _, a := range answers {
		g.reply(a.ID, a.Err)
	}
}

func (g *gate) reply(id uint64, failure *result.Error) {
	if verdict := g.waiting[id]; verdict != nil {
		delete(g.waiting, id)
		verdict <- failure
	}
}

// tick refuses expired requests. Without it they would stay in a queue whose slots
// are all held by long requests.
func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Waiting() > 0 {
		g.dispatch(g.clock.Now())
	}
}

// setLimits replaces the limits, for example after a switch to another preset.
func (g *gate) setLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replyAll(g.queue.SetLimits(limits))
	g.dispatch(g.clock.Now())
}

func (g *gate) length() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}
