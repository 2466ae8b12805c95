package pooler

import (
	"context"
	"sync"
	"time"
)

const (
	// watchInterval is the pause between two queries of the replicas' positions while a
	// commit waits for them.
	watchInterval = time.Millisecond
	// watchTimeout bounds one query.
	watchTimeout = 500 * time.Millisecond
)

// replicaWatch polls a primary for its replicas' positions while requests wait for
// them. All waiting requests share one poll. Safe for concurrent use.
type replicaWatch struct {
	mu      sync.Mutex
	waiters int
	running bool
	status  TargetStatus
	changed chan struct{}
}

func newReplicaWatch() *replicaWatch { return &replicaWatch{changed: make(chan struct{})} }

// join begins a wait, which the caller ends with the returned function.
func (w *replicaWatch) join(c *Control) (leave func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters++
	if !w.running {
		w.running = true
		go w.run(c)
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.waiters--
	}
}

// latest returns the newest status and a channel that is closed after the next query.
func (w *replicaWatch) latest() (TargetStatus, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status, w.changed
}

func (w *replicaWatch) run(c *Control) {
	for w.hasWaiters() {
		ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
		status, err := c.Status(ctx)
		cancel()
		w.publish(status, err)
		time.Sleep(watchInterval)
	}
}

// hasWaiters reports whether any request waits. If none does, it marks the poll loop
// as stopped.
func (w *replicaWatch) hasWaiters() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiters == 0 {
		w.running = false
	}
	return w.running
}

// publish stores the status and wakes the waiting requests. It wakes them after a
// failed query too, because their right may have changed.
func (w *replicaWatch) publish(status TargetStatus, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.status = status
	}
	close(w.changed)
	w.changed = make(chan struct{})
}
