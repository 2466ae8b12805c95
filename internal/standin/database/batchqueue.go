package database

import (
	"context"
	"sync"
	"time"
)

// timedBatch is a batch with the time of its receipt.
type timedBatch struct {
	replicationBatch
	receivedAt time.Time
}

// batchQueue holds received batches until the replication delay has passed. It
// is unbounded: a receiver blocked on a full queue would not answer heartbeats,
// so the primary would close the connection, the queue would be lost and, with
// a long delay, no batch would ever be applied.
type batchQueue struct {
	mu    sync.Mutex
	items []timedBatch
	wake  chan struct{}
}

func newBatchQueue() *batchQueue {
	return &batchQueue{wake: make(chan struct{}, 1)}
}

func (q *batchQueue) push(b timedBatch) {
	q.mu.Lock()
	q.items = append(q.items, b)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop waits for the oldest batch and removes it. It returns false when ctx ends.
// Only one goroutine may call it.
func (q *batchQueue) pop(ctx context.Context) (timedBatch, bool) {
	for {
		if b, ok := q.take(); ok {
			return b, true
		}
		select {
		case <-q.wake:
		case <-ctx.Done():
			return timedBatch{}, false
		}
	}
}

func (q *batchQueue) take() (timedBatch, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return timedBatch{}, false
	}
	b := q.items[0]
	q.items = q.items[1:]
	return b, true
}
