package target

import (
	"container/heap"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int // lower numbers go first
	deadline mono.Time
	seq      uint64
	index    int
	result   chan given
}

// waitlist orders the waiting requests: by priority, then by deadline, then as they
// came. It answers the load in which a target's connections are all in use, so that
// urgent requests don't wait behind others and the one whose caller gives up first
// is served first. It has no clock.
type waitlist struct {
	items []*waiter
	seq   uint64
}

func (l *waitlist) Len() int { return len(l.items) }

func (l *waitlist) Less(i, j int) bool {
	a, b := l.items[i], l.items[j]
	switch {
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.deadline != b.deadline:
		return a.deadline.Before(b.deadline)
	}
	return a.seq < b.seq
}

func (l *waitlist) Swap(i, j int) {
	l.items[i], l.items[j] = l.items[j], l.items[i]
	l.items[i].index, l.items[j].index = i, j
}

// Push implements heap.Interface.
func (l *waitlist) Push(x any) {
	w := x.(*waiter)
	w.index = len(l.items)
	l.items = append(l.items, w)
}

// Pop implements heap.Interface.
func (l *waitlist) Pop() any {
	last := len(l.items) - 1
	w := l.items[last]
	l.items[last] = nil
	l.items = l.items[:last]
	w.index = -1
	return w
}

func (l *waitlist) add(priority int, deadline mono.Time) *waiter {
	l.seq++
	w := &waiter{priority: priority, deadline: deadline, seq: l.seq, result: make(chan given, 1)}
	heap.Push(l, w)
	return w
}

// before counts those that a new one of the priority would wait for.
func (l *waitlist) before(priority int) int {
	n := 0
	for _, w := range l.items {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

// next removes and returns the first, or nil.
func (l *waitlist) next() *waiter {
	if len(l.items) == 0 {
		return nil
	}
	return heap.Pop(l).(*waiter)
}

// remove reports whether the waiter still waited.
func (l *waitlist) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(l, w.index)
	return true
}
