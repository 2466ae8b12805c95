package database

import (
	"context"
	"time"
)

// lockTimeout is the maximum time that a transaction waits for a row lock. It
// also resolves deadlocks.
const lockTimeout = 2 * time.Second

// rowKey identifies a row of a table.
type rowKey struct {
	table string
	key   string
}

type lockWaiter struct {
	txn   *txn
	ready chan struct{}
}

type rowLock struct {
	owner   *txn
	waiters []*lockWaiter
}

// lockTable holds the write locks of the rows. It is guarded by Database.mu.
type lockTable map[rowKey]*rowLock

// lockRow waits until t owns the write lock of key. The caller must not hold a
// slot.
func (d *Database) lockRow(ctx context.Context, t *txn, key rowKey) error {
	d.mu.Lock()
	lock, ok := d.locks[key]
	if !ok {
		d.locks[key] = &rowLock{owner: t}
		t.locked = append(t.locked, key)
	}
	if !ok || lock.owner == t {
		d.mu.Unlock()
		return nil
	}
	w := &lockWaiter{txn: t, ready: make(chan struct{})}
	lock.waiters = append(lock.waiters, w)
	d.mu.Unlock()
	return d.awaitLock(ctx, key, w)
}

func (d *Database) awaitLock(ctx context.Context, key rowKey, w *lockWaiter) error {
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-w.ready:
		return nil
	case <-timer.C:
		err = sqlError(CodeDeadlock, "gave up waiting for the lock of key %q of table %q", key.key, key.table)
	case <-ctx.Done():
		err = contextError(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.locks.removeWaiter(key, w)
	return err
}

// removeWaiter removes a waiter from the queue. If the lock was granted to it
// meanwhile, the transaction keeps the lock until its rollback releases it.
func (l lockTable) removeWaiter(key rowKey, w *lockWaiter) {
	lock, ok := l[key]
	if !ok {
		return
	}
	for i, other := range lock.waiters {
		if other == w {
			lock.waiters = append(lock.waiters[:i], lock.waiters[i+1:]...)
			return
		}
	}
}

// releaseAll releases the locks of t and grants each to its first waiter.
func (l lockTable) releaseAll(t *txn) {
	for _, key := range t.locked {
		lock := l[key]
		if lock == nil || lock.owner != t {
			continue
		}
		if len(lock.waiters) == 0 {
			delete(l, key)
			continue
		}
		next := lock.waiters[0]
		lock.waiters = lock.waiters[1:]
		lock.owner = next.txn
		next.txn.locked = append(next.txn.locked, key)
		close(next.ready)
	}
	t.locked = nil
}

// clear removes all locks and wakes all waiters. The caller has ended all
// transactions.
func (l lockTable) clear() {
	for key, lock := range l {
		for _, w := range lock.waiters {
			close(w.ready)
		}
		delete(l, key)
	}
}
