package integration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// leavingState is the SQLSTATE of a session whose daemon leaves.
const leavingState = "BT104"

// load is callers that write and read back until they are stopped. Each has its
// own keys, so that a write that is lost or a read that is older shows.
type load struct {
	d     *deployment
	stop  chan struct{}
	wait  sync.WaitGroup
	acked atomic.Int64
	told  atomic.Int64 // sessions that were told to go and had one more answer
	ended atomic.Int64 // sessions that found themselves ended, not run

	mu       sync.Mutex
	failures []string
}

func (d *deployment) startLoad(callers int) *load {
	l := &load{d: d, stop: make(chan struct{})}
	for i := range callers {
		l.wait.Add(1)
		go func() {
			defer GinkgoRecover()
			defer l.wait.Done()
			l.call(i)
		}()
	}
	return l
}

func (l *load) failed(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// end stops the callers and expects that no request failed.
func (l *load) end() {
	GinkgoHelper()
	close(l.stop)
	l.wait.Wait()
	GinkgoWriter.Printf("acknowledged=%d told=%d ended=%d\n", l.acked.Load(), l.told.Load(), l.ended.Load())
	for _, f := range l.failures {
		GinkgoWriter.Println(f)
	}
	Expect(l.failures).To(BeEmpty())
	Expect(l.ended.Load()).To(BeZero(), "sessions were ended that had not been told")
	Expect(l.acked.Load()).To(BeNumerically(">", 0))
}

// call writes and reads its own key in turn. A session that is told to go
// connects anew, as one that was ended with "not run" does; then it repeats.
func (l *load) call(i int) {
	var c *pgx.Conn
	defer func() { closeConn(c) }()
	for n, proxy := 0, i; ; {
		select {
		case <-l.stop:
			return
		default:
		}
		if c == nil {
			c, proxy = l.connect(proxy)
		}
		err := l.request(c, i, n)
		var refused *pgconn.PgError
		leaving := errors.As(err, &refused) && refused.Code == leavingState
		switch {
		case leaving:
			l.ended.Add(1)
		case err != nil:
			l.failed("caller %d request %d: %v", i, n, err)
			n++
		default:
			l.acked.Add(1)
			n++
		}
		if c.IsClosed() || err != nil || c.PgConn().ParameterStatus("buckthornshore.leaving") == "on" {
			l.told.Add(1)
			closeConn(c)
			c, proxy = nil, proxy+1
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func closeConn(c *pgx.Conn) {
	if c != nil {
		_ = c.Close(context.Background())
	}
}

// connect asks one proxy after the other, as a balancer does.
func (l *load) connect(from int) (*pgx.Conn, int) {
	for i := from; ; i++ {
		proxy := i % len(l.d.callers)
		c, err := l.d.connect(proxy, "landing-report", "session", "clerk")
		if err == nil {
			return c, proxy
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request writes on even turns, half of them in a transaction, and reads what
// was written on odd ones.
func (l *load) request(c *pgx.Conn, i, n int) error {
	key, value := fmt.Sprintf("caller-%d", i), fmt.Sprint(n/2)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if n%2 == 1 {
		got, err := get(c, key)
		if err == nil && got != value {
			return fmt.Errorf("read %q after writing %q", got, value)
		}
		return err
	}
	if n%4 == 0 {
		return put(c, key, value)
	}
	tx, err := c.Begin(ctx)
	if err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, putSQL, key, value); err != nil {
		return err
	}
	return tx.Commit(ctx)
}
