package database

import (
	"context"
	"sync"
	"time"
)

// timedBatch is a batch and when it came.
type timedBatch struct {
	replicationBatch
	at time.Time
}

// batchQueue holds batches that wait for the replication delay. It has no
// bound: a receiver that stopped to wait for room would no longer answer
// heartbeats, the primary would drop the connection and the queue with it, and
// with a long delay nothing would ever be applied.
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

// pop waits for the oldest batch; false when ctx ends. It serves one goroutine.
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
