package integration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// outcome asks until it is told; failures of a failover pass.
func (d *deployment) outcome(i int, id string) string {
	var answer string
	Eventually(func() error {
		c, err := d.connect(i, classOnce)
		if err != nil {
			return err
		}
		defer c.Close(context.Background())
		return c.QueryRow(within(5*time.Second), "select buckthornshore.outcome('"+id+"')").Scan(&answer)
	}).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(Succeed())
	return answer
}

var _ = Describe("A request that may not be repeated", func() {
	// The caller asks by its request's id and the answer is for good: asked before
	// the request came, it has not run, and when it comes it is refused.
	It("has an outcome that stays true", func() {
		d := deploy(shape{groups: 1, proxies: 3, edit: addClasses})
		c := d.mustConnect(0, classOnce, "request_id", "r-1")
		Expect(put(c, "r-1", "1")).To(Succeed())
		Expect(d.outcome(1, "r-1")).To(Equal("run"))
		Expect(d.outcome(2, "r-2")).To(Equal("not run"))
		set(c, "request_id", "r-2")
		Expect(state(put(c, "r-2", "1"))).To(Equal("BT212"))
		Expect(d.outcome(1, "r-2")).To(Equal("not run"))
		_, err := get(d.mustConnect(1, "quota-balance"), "r-2")
		Expect(err).To(MatchError(pgx.ErrNoRows))
	})

	// Each caller sees its confirmation done, refused as not run, or unknown at
	// once and without a time to come back. An entry, the pooler and the primary
	// die by kill -9 at random moments. What was told must be what the rows show,
	// and a second run would fail on its key.
	It("never runs twice and is never reported wrongly", func() {
		d := deploy(shape{groups: 1, proxies: 6, edit: addClasses})
		d.settled()
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1))
		pooler := d.poolerOfPrimary()
		entry, safe := (pooler+1)%len(d.proxies), (pooler+2)%len(d.proxies)
		var callers []*confirmer
		for n, at := range []int{entry, safe, entry, safe} {
			callers = append(callers, d.confirm(n, at, safe))
		}
		for _, p := range []*process{d.proxies[entry], d.proxies[pooler], d.databases[d.row().Primary]} {
			time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
			p.kill()
		}
		time.Sleep(3 * time.Second)
		ends := map[string]int{}
		for _, c := range callers {
			for id, end := range c.stop() {
				ends[end]++
				if end != ended || ends[end]%5 == 1 { // A sample of what succeeded.
					d.checkEnd(safe, id, end)
				}
			}
		}
		AddReportEntry("ends", ends)
		Expect(ends[ended]).To(BeNumerically(">", 20))
	})
})

// Ends of a confirmation besides the states of its error.
const (
	ended = "done"
	cut   = "connection cut"
)

// confirmer sends confirmations one after the other, each with an id of its own.
type confirmer struct {
	ends map[string]string
	quit chan struct{}
	done chan struct{}
}

func (d *deployment) confirm(n, at, safe int) *confirmer {
	c := &confirmer{ends: map[string]string{}, quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer GinkgoRecover()
		defer close(c.done)
		for i := 0; ; i++ {
			select {
			case <-c.quit:
				return
			default:
			}
			id := fmt.Sprintf("c%d-%d", n, i)
			conn, err := d.connect(at, classOnce, "request_id", id)
			if err != nil {
				at = safe // Its proxy has been killed.
				continue
			}
			c.ends[id] = confirmOnce(conn, id)
		}
	}()
	return c
}

func confirmOnce(conn *pgx.Conn, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	defer conn.Close(ctx)
	_, err := conn.Exec(ctx, "insert into confirmations (k, v) values ('"+id+"', '1')", pgx.QueryExecModeSimpleProtocol)
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return ended
	case !errors.As(err, &refused):
		return cut
	}
	if refused.Code == "BT205" {
		Expect(refused.Message).NotTo(ContainSubstring("retry after"), "it must not come back")
		Expect(refused.Hint).To(BeEmpty())
	}
	return refused.Code
}

func (c *confirmer) stop() map[string]string {
	close(c.quit)
	Eventually(c.done).WithTimeout(15 * time.Second).Should(BeClosed())
	return c.ends
}

// checkEnd compares what a caller was told with the rows and the outcome.
func (d *deployment) checkEnd(at int, id, end string) {
	told := d.outcome(at, id)
	c := d.mustConnect(at, classNote)
	defer c.Close(context.Background())
	rows := ""
	err := c.QueryRow(within(5*time.Second), "select v from confirmations where k = '"+id+"'").Scan(&rows)
	Expect(err).To(Or(BeNil(), MatchError(pgx.ErrNoRows)))
	Expect(told == "run").To(Equal(rows == "1"), "%s ended as %s, outcome %s, row %q", id, end, told, rows)
	switch end {
	case "BT205", "BT208", cut: // Unknown to the caller until it asked.
	case ended:
		// Done, yet a class that waits for no replica may lose it with its primary.
	default:
		Expect(told).To(Equal("not run"), "%s was refused as %s", id, end)
	}
}
