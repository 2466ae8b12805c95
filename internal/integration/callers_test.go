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

// leavingSQLState is the SQLSTATE of a session that its daemon ends on a planned stop.
const leavingSQLState = "BT104"

// callers write and read back until they are stopped. Each has a key of its own,
// so that a lost write or a stale read is detected.
type callers struct {
	d          *deployment
	stop       chan struct{}
	wait       sync.WaitGroup
	acked      atomic.Int64
	reconnects atomic.Int64 // sessions that a caller closed after an announced stop or an error
	ended      atomic.Int64 // requests refused as not run because the daemon had ended the session

	mu       sync.Mutex
	failures []string
}

func (d *deployment) startCallers(n int) *callers {
	l := &callers{d: d, stop: make(chan struct{})}
	for i := range n {
		l.wait.Add(1)
		go func() {
			defer GinkgoRecover()
			defer l.wait.Done()
			l.call(i)
		}()
	}
	return l
}

func (l *callers) recordFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// end stops the callers and expects that no request failed.
func (l *callers) end() {
	GinkgoHelper()
	close(l.stop)
	l.wait.Wait()
	GinkgoWriter.Printf("acknowledged=%d reconnects=%d ended=%d\n", l.acked.Load(), l.reconnects.Load(), l.ended.Load())
	for _, f := range l.failures {
		GinkgoWriter.Println(f)
	}
	Expect(l.failures).To(BeEmpty())
	Expect(l.ended.Load()).To(BeZero(), "sessions were ended without an announcement")
	Expect(l.acked.Load()).To(BeNumerically(">", 0))
}

// call writes and reads the caller's own key in turn. When the daemon announces
// its stop, or ended the session with "not run", the caller connects to the next
// proxy; a request that was not run is repeated there.
func (l *callers) call(i int) {
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
		leaving := errors.As(err, &refused) && refused.Code == leavingSQLState
		switch {
		case leaving:
			l.ended.Add(1)
		case err != nil:
			l.recordFailure("caller %d request %d: %v", i, n, err)
			n++
		default:
			l.acked.Add(1)
			n++
		}
		if c.IsClosed() || err != nil || c.PgConn().ParameterStatus("buckthornshore.leaving") == "on" {
			l.reconnects.Add(1)
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

// connect tries one proxy after the other, as a load balancer does.
func (l *callers) connect(from int) (*pgx.Conn, int) {
	for i := from; ; i++ {
		proxy := i % len(l.d.callers)
		c, err := l.d.connect(proxy, "landing-report", "session", "clerk")
		if err == nil {
			return c, proxy
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request writes when n is even, in a transaction every second time, and reads
// back the last write when n is odd.
func (l *callers) request(c *pgx.Conn, i, n int) error {
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
