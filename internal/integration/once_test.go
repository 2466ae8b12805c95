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

// outcome queries the outcome of a request until it gets an answer; errors during
// a failover are retried.
func (d *deployment) outcome(i int, id string) string {
	var answer string
	Eventually(func() error {
		c, err := d.connect(i, classOnce)
		if err != nil {
			return err
		}
		defer c.Close(context.Background())
		return c.QueryRow(timeoutContext(5*time.Second), "select buckthornshore.outcome('"+id+"')").Scan(&answer)
	}).WithTimeout(30 * time.Second).WithPolling(50 * time.Millisecond).Should(Succeed())
	return answer
}

var _ = Describe("A request that may not be repeated", func() {
	// The caller queries the outcome by its request's id, and the answer never
	// changes: if it is queried before the request arrives, the answer is "not run",
	// and the request is refused when it arrives.
	It("has an outcome that stays true", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3, editConfig: addClasses})
		c := d.mustConnect(0, classOnce, "request_id", "r-1")
		Expect(put(c, "r-1", "1")).To(Succeed())
		Expect(d.outcome(1, "r-1")).To(Equal("run"))
		Expect(d.outcome(2, "r-2")).To(Equal("not run"))
		set(c, "request_id", "r-2")
		Expect(sqlState(put(c, "r-2", "1"))).To(Equal("BT212"))
		Expect(d.outcome(1, "r-2")).To(Equal("not run"))
		_, err := get(d.mustConnect(1, "quota-balance"), "r-2")
		Expect(err).To(MatchError(pgx.ErrNoRows))
	})

	// Each confirmation is acknowledged, refused as not run, or reported as unknown
	// without a time to retry after. An entry proxy, the pooler and the primary are
	// killed with SIGKILL at random times. The reported outcomes must match the rows,
	// and a second run would fail on the duplicate key.
	It("never runs twice and is never reported wrongly", func() {
		d := deploy(deployOptions{groups: 1, proxies: 6, editConfig: addClasses})
		d.awaitSettled()
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1))
		pooler := d.poolerOfPrimary()
		entry, survivor := (pooler+1)%len(d.proxies), (pooler+2)%len(d.proxies)
		var callers []*confirmer
		for n, at := range []int{entry, survivor, entry, survivor} {
			callers = append(callers, d.startConfirmer(n, at, survivor))
		}
		for _, p := range []*process{d.proxies[entry], d.proxies[pooler], d.databases[d.row().Primary]} {
			time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
			p.kill()
		}
		time.Sleep(3 * time.Second)
		resultCounts := map[string]int{}
		for _, c := range callers {
			for id, result := range c.stop() {
				resultCounts[result]++
				if result != resultDone || resultCounts[result]%5 == 1 { // Of those that succeeded, check a sample.
					d.checkResult(survivor, id, result)
				}
			}
		}
		AddReportEntry("results", resultCounts)
		Expect(resultCounts[resultDone]).To(BeNumerically(">", 20))
	})
})

// Results of a confirmation other than the SQLSTATE of an error.
const (
	resultDone          = "done"
	resultConnectionCut = "connection cut"
)

// confirmer sends confirmations one after the other, each with an id of its own.
type confirmer struct {
	results map[string]string
	quit    chan struct{}
	done    chan struct{}
}

func (d *deployment) startConfirmer(n, at, survivor int) *confirmer {
	c := &confirmer{results: map[string]string{}, quit: make(chan struct{}), done: make(chan struct{})}
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
				at = survivor // The proxy has been killed.
				continue
			}
			c.results[id] = confirmOnce(conn, id)
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
		return resultDone
	case !errors.As(err, &refused):
		return resultConnectionCut
	}
	if refused.Code == "BT205" {
		Expect(refused.Message).NotTo(ContainSubstring("retry after"), "a request with an unknown outcome must not be repeated")
		Expect(refused.Hint).To(BeEmpty())
	}
	return refused.Code
}

func (c *confirmer) stop() map[string]string {
	close(c.quit)
	Eventually(c.done).WithTimeout(15 * time.Second).Should(BeClosed())
	return c.results
}

// checkResult compares the result that a caller got with the rows and with the
// outcome that the proxies report.
func (d *deployment) checkResult(at int, id, result string) {
	reported := d.outcome(at, id)
	c := d.mustConnect(at, classNote)
	defer c.Close(context.Background())
	rows := ""
	err := c.QueryRow(timeoutContext(5*time.Second), "select v from confirmations where k = '"+id+"'").Scan(&rows)
	Expect(err).To(Or(BeNil(), MatchError(pgx.ErrNoRows)))
	Expect(reported == "run").To(Equal(rows == "1"), "%s ended as %s, outcome %s, row %q", id, result, reported, rows)
	switch result {
	case "BT205", "BT208", resultConnectionCut: // The result is unknown to the caller until it queries the outcome.
	case resultDone:
		// It ran, but a class that waits for no replica may lose the write when the
		// primary dies.
	default:
		Expect(reported).To(Equal("not run"), "%s was refused as %s", id, result)
	}
}
