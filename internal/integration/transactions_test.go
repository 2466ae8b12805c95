package integration_test

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// longIdle is an idle timeout that is too long to end a transaction during a test
// that expects another mechanism to end it.
const longIdle = config.Duration(10 * time.Minute)

var _ = Describe("A transaction", func() {
	begin := func(c *pgx.Conn, key, value string) pgx.Tx {
		tx, err := c.Begin(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(context.Background(), putSQL, key, value)
		Expect(err).NotTo(HaveOccurred())
		return tx
	}

	// Another caller can write the row soon afterwards. The entry proxy of a
	// transaction that holds the row's lock is killed and sends no release. The pooler
	// probes the entry proxy of an idle transaction and rolls the transaction back
	// when the probe gets no answer.
	It("is freed when its entry dies", func() {
		d := deploy(deployOptions{groups: 1, proxies: 4, editConfig: func(doc *config.Document) {
			addClasses(doc)
			doc.Limits.IdleInTransactionTimeout = longIdle
		}})
		d.awaitStableView()
		// The fourth proxy is in the same data centre as the first, and at most one of
		// the two is the pooler of the primary. The session is opened at the other one,
		// so that its transaction runs through another VM's pool.
		entry := 0
		if d.poolerOfPrimary() == 0 {
			entry = 3
		}
		begin(d.mustConnect(entry, classNote), "boat-2", "1")
		d.proxies[entry].kill()
		other := d.mustConnect(1, classNote)
		Eventually(func() error { return put(other, "boat-2", "2") }).WithTimeout(15 * time.Second).Should(Succeed())
	})

	// The caller's next statement ends the session with a FATAL error that does not
	// claim success. The pooler of the transaction is killed; the target rolls back
	// when the connection closes, and the transaction's writes are not there.
	It("ends with a true error when its pooler dies", func() {
		d := deploy(deployOptions{groups: 1, proxies: 4, editConfig: addClasses})
		d.awaitStableView()
		pooler := d.poolerOfPrimary()
		c := d.mustConnect(1, classNote)
		tx := begin(c, "boat-3", "1")
		d.proxies[pooler].kill()
		err := tx.Commit(context.Background())
		Expect(sqlState(err)).To(BeElementOf("BT211", "BT205"))
		Expect(c.IsClosed()).To(BeTrue())
		reader := d.mustConnect(2, "quota-balance")
		Eventually(func() error { _, err := get(reader, "boat-3"); return err }).
			WithTimeout(20 * time.Second).Should(MatchError(pgx.ErrNoRows))
	})

	// The caller's session ends when its transaction has been idle for longer than the
	// configuration allows; other callers can then write its row.
	It("is ended by the idle time-out of the configuration", func() {
		d := deploy(deployOptions{groups: 1, proxies: 3, editConfig: func(doc *config.Document) {
			addClasses(doc)
			doc.Limits.IdleInTransactionTimeout = config.Duration(500 * time.Millisecond)
		}})
		tx := begin(d.mustConnect(0, classNote), "boat-4", "1")
		other := d.mustConnect(1, classNote)
		Eventually(func() error { return put(other, "boat-4", "2") }).WithTimeout(8 * time.Second).Should(Succeed())
		Expect(sqlState(tx.Commit(context.Background()))).To(Equal("BT213"))
	})
})
