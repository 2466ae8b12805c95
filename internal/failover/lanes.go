package failover

import (
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// step is one action on a database.
type step struct {
	// kind names the action; a repeat replaces one of its kind that still waits.
	kind string
	do   func()
}

// lanes runs the steps of each database in their order, one at a time.
//
// Failure: a fence is slow, its attempt is given up, and the order to follow the
// primary again overtakes it: the replica stays fenced and falls behind.
type lanes struct {
	mu      *sync.Mutex
	waiting map[topology.TargetID][]step
	busy    map[topology.TargetID]bool
}

func newLanes() lanes {
	return lanes{mu: &sync.Mutex{}, waiting: map[topology.TargetID][]step{}, busy: map[topology.TargetID]bool{}}
}

// run has s done after all that was given for t before. The systems repeat what
// is not answered, so a database that hangs never has more than a few waiting.
func (l lanes) run(t topology.TargetID, s step) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.waiting[t]
	if last := len(queue) - 1; last >= 0 && queue[last].kind == s.kind {
		queue[last] = s
		return
	}
	l.waiting[t] = append(queue, s)
	if !l.busy[t] {
		l.busy[t] = true
		go l.work(t)
	}
}

func (l lanes) work(t topology.TargetID) {
	for {
		s, ok := l.next(t)
		if !ok {
			return
		}
		s.do()
	}
}

// next takes the first step of t; without one the lane ends.
func (l lanes) next(t topology.TargetID) (step, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.waiting[t]
	if len(queue) == 0 {
		delete(l.waiting, t)
		delete(l.busy, t)
		return step{}, false
	}
	l.waiting[t] = queue[1:]
	return queue[0], true
}
