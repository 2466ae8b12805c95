package integration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// writer writes increasing values to a key of its own, one after the other, and
// records when each write was acknowledged.
type writer struct {
	d     *deployment
	proxy int
	class string
	key   string
	group string // empty: the group is chosen by the shard key

	mu       sync.Mutex
	acked    []time.Time
	newest   int // the newest value acknowledged
	failures map[string]int
	stop     chan struct{}
	done     chan struct{}
}

// writePause is the time between two writes.
const writePause = 5 * time.Millisecond

func (d *deployment) startWriter(proxy int, class, key string) *writer {
	return d.startGroupWriter(proxy, class, key, "")
}

func (d *deployment) startGroupWriter(proxy int, class, key, group string) *writer {
	w := &writer{
		d: d, proxy: proxy, class: class, key: key, group: group,
		failures: map[string]int{},
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *writer) run() {
	defer close(w.done)
	var c *pgx.Conn
	for n := 1; ; n++ {
		select {
		case <-w.stop:
			if c != nil {
				c.Close(context.Background())
			}
			return
		case <-time.After(writePause):
		}
		if c == nil || c.IsClosed() {
			var err error
			if c, err = w.d.connect(w.proxy, w.class, "session", w.key, "group", w.group); err != nil {
				w.record(0, err)
				c = nil
				continue
			}
		}
		w.record(n, put(c, w.key, fmt.Sprint(n)))
	}
}

func (w *writer) record(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.acked = append(w.acked, time.Now())
		w.newest = n
		return
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		w.failures[pg.Code]++
		return
	}
	w.failures["connection"]++
}

func (w *writer) end() {
	close(w.stop)
	<-w.done
}

// gap returns the longest time without an acknowledgement after from.
func (w *writer) gap(from time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	last := from
	for _, at := range w.acked {
		if at.Before(from) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, time.Since(last))
}

func (w *writer) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

func (w *writer) value() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}
