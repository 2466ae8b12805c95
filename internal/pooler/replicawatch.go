package pooler

import (
	"context"
	"sync"
	"time"
)

const (
	// watchPeriod between two looks at the replicas' positions, while a commit
	// waits for them.
	watchPeriod = time.Millisecond
	// watchTimeout of one look.
	watchTimeout = 500 * time.Millisecond
)

// replicaWatch asks a primary for its replicas' positions while somebody waits
// for them: one question at a time for all. Safe for concurrent use.
type replicaWatch struct {
	mu      sync.Mutex
	waiters int
	running bool
	status  TargetStatus
	changed chan struct{}
}

func newReplicaWatch() *replicaWatch { return &replicaWatch{changed: make(chan struct{})} }

// join begins a wait; the caller ends it by the returned function.
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

// latest returns the newest status and a channel that closes with the next one.
func (w *replicaWatch) latest() (TargetStatus, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status, w.changed
}

func (w *replicaWatch) run(c *Control) {
	for w.wanted() {
		ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
		status, err := c.Status(ctx)
		cancel()
		w.publish(status, err)
		time.Sleep(watchPeriod)
	}
}

// wanted ends the loop when nobody waits.
func (w *replicaWatch) wanted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiters == 0 {
		w.running = false
	}
	return w.running
}

// publish wakes the waiters, after a failure too: their right may have changed.
func (w *replicaWatch) publish(status TargetStatus, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.status = status
	}
	close(w.changed)
	w.changed = make(chan struct{})
}
