package database_test

import (
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

var _ = Describe("Terms", func() {
	var db *database.Database
	var c *pgx.Conn
	BeforeEach(func() {
		db = startPrimary(database.Config{ID: "a"})
		c = connect(db)
		run(c, "set buckthornshore.term = '1'")
	})

	// The term changes while the caller is bound to the old one. The term is
	// checked before each statement, so a refused statement has had no effect.
	It("refuses statements before they run once the term has changed", func() {
		run(c, "insert into t (k, v) values ('x', '1')")
		Expect(db.Promote(3)).To(Succeed())
		before := db.Position()
		_, err := c.Exec(ctx, "update t set v = '2' where k = 'x'")
		Expect(code(err)).To(Equal("BT202"))
		Expect(err.Error()).To(And(ContainSubstring("term 1"), ContainSubstring("term 3")))
		Expect(execCode(c, "select 1")).To(Equal("BT202"))
		Expect(execCode(c, "begin")).To(Equal("BT202"))
		Expect(db.Position()).To(Equal(before))
		run(c, "set buckthornshore.term = '3'")
		Expect(get(c, "x")).To(Equal("1"))
	})

	// The transaction was open when the term changed, so the database rolled it
	// back and released its locks to transactions of the new term. COMMIT must
	// be refused and no write may remain.
	DescribeTable("refuses the commit of a transaction begun before a change of term", func(bound bool) {
		if !bound {
			run(c, "reset buckthornshore.term")
		}
		run(c, "begin")
		run(c, "insert into t (k, v) values ('x', '1')")
		Expect(db.Promote(2)).To(Succeed())
		run(connect(db), "insert into t (k, v) values ('x', '2')")
		Expect(execCode(c, "commit")).To(Equal("BT202"))
		Expect(c.PgConn().TxStatus()).To(BeEquivalentTo('I'))
		Expect(get(connect(db), "x")).To(Equal("2"))
	},
		Entry("on a connection bound to the old term", true),
		Entry("on a connection bound to no term", false))

	It("refuses the commit after a change of term also if a statement was refused before", func() {
		run(c, "reset buckthornshore.term")
		run(c, "begin")
		run(c, "insert into t (k, v) values ('x', '1')")
		Expect(db.Promote(2)).To(Succeed())
		Expect(execCode(c, "select 1")).To(Equal("BT202"))
		Expect(execCode(c, "commit")).To(Equal("BT202"))
		run(c, "insert into t (k, v) values ('x', '2')")
	})

	// The caller waits for a lock when the database is fenced. It must be woken
	// and refused, since the fence rolls back all transactions.
	It("wakes and refuses statements that wait for a lock when it is fenced", func() {
		holder := connect(db)
		run(holder, "begin")
		run(holder, "insert into t (k, v) values ('x', '1')")
		done := make(chan string, 1)
		go func() { done <- execCode(c, "insert into t (k, v) values ('x', '2')") }()
		Consistently(done, "100ms").ShouldNot(Receive())
		Expect(db.Fence(2)).To(Succeed())
		Eventually(done).Should(Receive(Equal("BT202")))
	})

	It("returns the same final position when a fence is repeated", func() {
		ctl := control(db)
		run(c, "insert into t (k, v) values ('x', '1')")
		for range 2 {
			row := status(ctl, "BTS FENCE 2")
			Expect(row).To(HaveKeyWithValue("role", "fenced"))
			Expect(row).To(HaveKeyWithValue("term", "2"))
			Expect(row).To(HaveKeyWithValue("position", "1/2"))
		}
		Expect(execCode(ctl, "BTS FENCE 1")).To(Equal("BT202"))
		Expect(execCode(connect(db), "select 1")).To(Equal("BT202"))
	})

	It("never goes back to a lower term", func() {
		ctl := control(db)
		Expect(status(ctl, "BTS PROMOTE 4")).To(HaveKeyWithValue("position", "4/2"))
		Expect(status(ctl, "BTS PROMOTE 4")).To(HaveKeyWithValue("position", "4/2"))
		Expect(execCode(ctl, "BTS PROMOTE 3")).To(Equal("BT202"))
		Expect(execCode(ctl, "BTS FOLLOW 3 b 127.0.0.1:1")).To(Equal("BT202"))
		Expect(execCode(ctl, "BTS FENCE 4")).To(Equal("BT202"))
	})

	It("allows only one primary in a term", func() {
		ctl := control(db)
		Expect(execCode(ctl, "BTS FOLLOW 1 b 127.0.0.1:1")).To(Equal("BT202"))
		replica := start(database.Config{ID: "b"})
		follow(replica, db, 1)
		Expect(execCode(control(replica), "BTS PROMOTE 1")).To(Equal("BT202"))
	})

	It("accepts control statements only on control connections", func() {
		Expect(execCode(c, "BTS FENCE 9")).To(Equal("42501"))
		Expect(execCode(c, "show buckthornshore.status")).To(Equal("42501"))
	})

	It("shows the value of a variable that was set", func() {
		var v string
		Expect(c.QueryRow(ctx, "show buckthornshore.term").Scan(&v)).To(Succeed())
		Expect(v).To(Equal("1"))
		Expect(execCode(c, "set buckthornshore.term = 'x'")).To(Equal("22023"))
	})
})
