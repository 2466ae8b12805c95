package database_test

import (
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

var _ = Describe("Transactions", func() {
	var db *database.Database
	var c, other *pgx.Conn
	BeforeEach(func() {
		db = startPrimary(database.Config{ID: "a"})
		c, other = connect(db), connect(db)
	})

	It("shows writes to others only after the commit", func() {
		run(c, "begin")
		run(c, "insert into t (k, v) values ('x', '1')")
		Expect(get(c, "x")).To(Equal("1"))
		Expect(get(other, "x")).To(BeEmpty())
		run(c, "commit")
		Expect(get(other, "x")).To(Equal("1"))
	})

	It("undoes writes on rollback", func() {
		run(c, "insert into t (k, v) values ('x', '1')")
		run(c, "begin")
		run(c, "delete from t where k = 'x'")
		run(c, "rollback")
		Expect(get(c, "x")).To(Equal("1"))
	})

	It("refuses statements after an error until the transaction ends", func() {
		run(c, "begin")
		run(c, "insert into t (k, v) values ('x', '1')")
		Expect(execCode(c, "nonsense")).To(Equal("42601"))
		Expect(c.PgConn().TxStatus()).To(BeEquivalentTo('E'))
		Expect(execCode(c, "select 1")).To(Equal("25P02"))
		tag, err := c.Exec(ctx, "commit")
		Expect(err).NotTo(HaveOccurred())
		Expect(tag.String()).To(Equal("ROLLBACK"))
		Expect(get(c, "x")).To(BeEmpty())
	})

	It("loses no increment of concurrent transactions", func() {
		run(c, "insert into t (k, v) values ('n', '0')")
		const workers, increments = 8, 20
		var group sync.WaitGroup
		for range workers {
			w := connect(db)
			group.Go(func() {
				defer GinkgoRecover()
				for range increments {
					run(w, "begin")
					run(w, "update t set v = v + $2 where k = $1", "n", int64(1))
					run(w, "commit")
				}
			})
		}
		group.Wait()
		Expect(get(c, "n")).To(Equal(strconv.Itoa(workers * increments)))
	})

	// Each of two transactions holds a row lock and waits for the other's. The
	// first to reach the lock timeout gets 40P01; its rollback releases its lock
	// and the other transaction continues.
	It("resolves a deadlock between two transactions", func() {
		run(c, "insert into t (k, v) values ('x', '1'); insert into t (k, v) values ('y', '1')", pgx.QueryExecModeSimpleProtocol)
		run(c, "begin")
		run(c, "update t set v = '2' where k = 'x'")
		run(other, "begin")
		run(other, "update t set v = '3' where k = 'y'")
		first := make(chan string, 1)
		go func() { first <- execCode(c, "update t set v = '2' where k = 'y'") }()
		second := execCode(other, "update t set v = '3' where k = 'x'")
		Expect([]string{<-first, second}).To(ContainElement("40P01"))
	})

	// The second caller waits for a lock whose owner's connection is closed
	// without a Terminate message. That must roll the owner back at once, so the
	// waiter gets the lock before its own timeout.
	It("releases the locks of a connection that closes", func() {
		run(c, "begin")
		run(c, "insert into t (k, v) values ('x', '1')")
		done := make(chan string, 1)
		go func() { done <- execCode(other, "insert into t (k, v) values ('x', '2')") }()
		Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
		Expect(c.PgConn().Conn().Close()).To(Succeed())
		Eventually(done).Should(Receive(BeEmpty()))
		Expect(get(other, "x")).To(Equal("2"))
	})

	// A statement that waits for a lock must not occupy the only slot: the owner
	// of the lock could then never commit.
	It("holds no slot while it waits for a lock", func() {
		db := startPrimary(database.Config{ID: "a", Slots: 1})
		c, other := connect(db), connect(db)
		run(c, "begin")
		run(c, "insert into t (k, v) values ('x', '1')")
		done := make(chan string, 1)
		go func() {
			done <- execCode(other, "insert into t (k, v) values ('x', '2') on conflict (k) do update set v = excluded.v")
		}()
		Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
		run(c, "update t set v = '3' where k = 'x'")
		run(c, "commit")
		Eventually(done).Should(Receive(BeEmpty()))
		Expect(get(c, "x")).To(Equal("2"))
	})
})
