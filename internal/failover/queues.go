package failover

import (
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// queuedAction is one action on a target.
type queuedAction struct {
	// kind names the action. A new action replaces the last queued one if both are
	// of the same kind.
	kind string
	do   func()
}

// actionQueues runs the actions on each target in order, one at a time.
//
// Failure: a fence is slow, its attempt is given up, and the command to follow the
// primary again overtakes it: the replica stays fenced and falls behind.
type actionQueues struct {
	mu      *sync.Mutex
	waiting map[topology.TargetID][]queuedAction
	busy    map[topology.TargetID]bool
}

func newActionQueues() actionQueues {
	return actionQueues{mu: &sync.Mutex{}, waiting: map[topology.TargetID][]queuedAction{}, busy: map[topology.TargetID]bool{}}
}

// enqueue runs a after all actions enqueued for t before. The authority tables
// repeat unanswered actions and a repeat replaces the one that waits, so a target
// that hangs never has more than a few waiting.
func (q actionQueues) enqueue(t topology.TargetID, a queuedAction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.waiting[t]
	if last := len(queue) - 1; last >= 0 && queue[last].kind == a.kind {
		queue[last] = a
		return
	}
	q.waiting[t] = append(queue, a)
	if !q.busy[t] {
		q.busy[t] = true
		go q.work(t)
	}
}

func (q actionQueues) work(t topology.TargetID) {
	for {
		a, ok := q.next(t)
		if !ok {
			return
		}
		a.do()
	}
}

// next removes and returns the first action of t, or ends the queue if there is
// none.
func (q actionQueues) next(t topology.TargetID) (queuedAction, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.waiting[t]
	if len(queue) == 0 {
		delete(q.waiting, t)
		delete(q.busy, t)
		return queuedAction{}, false
	}
	q.waiting[t] = queue[1:]
	return queue[0], true
}
