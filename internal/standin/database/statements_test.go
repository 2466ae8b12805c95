package database_test

import (
	"strings"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

var _ = Describe("Statements", func() {
	var c *pgx.Conn
	BeforeEach(func() { c = connect(startPrimary(database.Config{ID: "a"})) })

	It("reads what every form of write statement wrote", func() {
		run(c, "insert into t (k, v) values ($1, $2)", "x1", "5")
		run(c, "INSERT INTO t (k, v) VALUES ('x2', '7')")
		run(c, "insert into t (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v", "x2", "8")
		run(c, "insert into t (k, v) values ($1, $2) on conflict do nothing", "x2", "9")
		run(c, "update t set v = v + $2 where k = $1", "x1", int64(-2))
		Expect(get(c, "x1")).To(Equal("3"))
		Expect(get(c, "x2")).To(Equal("8"))

		var n int64
		Expect(c.QueryRow(ctx, "select count(*) from t where k like $1", "x%").Scan(&n)).To(Succeed())
		Expect(n).To(BeEquivalentTo(2))
		rows, err := c.Query(ctx, "select k, v from t where k like $1", "x%")
		Expect(err).NotTo(HaveOccurred())
		type row struct{ K, V string }
		all, err := pgx.CollectRows(rows, pgx.RowToStructByPos[row])
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(Equal([]row{{"x1", "3"}, {"x2", "8"}}))

		run(c, "update t set v = $2 where k = $1", "x1", "z")
		run(c, "delete from t where k = $1", "x2")
		Expect(get(c, "x1")).To(Equal("z"))
		Expect(get(c, "x2")).To(BeEmpty())
	})

	It("reports the key in a duplicate key error", func() {
		run(c, "insert into t (k, v) values ('dup', '1')")
		_, err := c.Exec(ctx, "insert into t (k, v) values ($1, '2')", "dup")
		Expect(code(err)).To(Equal("23505"))
		Expect(err.Error()).To(ContainSubstring("dup"))
	})

	It("answers SELECT without a table, pg_sleep, SET, SHOW, DISCARD and the empty statement", func() {
		var one int
		Expect(c.QueryRow(ctx, "select 1").Scan(&one)).To(Succeed())
		var echo string
		Expect(c.QueryRow(ctx, "select $1::text", "hallo").Scan(&echo)).To(Succeed())
		Expect(echo).To(Equal("hallo"))
		run(c, "select pg_sleep($1)", 0.001)
		run(c, "set search_path to 'abc'")
		Expect(c.QueryRow(ctx, "show search_path").Scan(&echo)).To(Succeed())
		Expect(echo).To(Equal("abc"))
		run(c, "")
		run(c, "discard all")
		Expect(execCode(c, "drop table t")).To(Equal("42601"))
	})

	It("reports its position after each write", func() {
		Expect(c.PgConn().ParameterStatus("buckthornshore.position")).To(Equal("1/1"))
		run(c, "insert into t (k, v) values ('a', '1')")
		Expect(c.PgConn().ParameterStatus("buckthornshore.position")).To(Equal("1/2"))
	})

	It("runs a batch without BEGIN as one transaction", func() {
		batch := &pgx.Batch{}
		batch.Queue("insert into t (k, v) values ('p', '1')")
		batch.Queue("insert into t (k, v) values ('q', '1')")
		Expect(c.SendBatch(ctx, batch).Close()).To(Succeed())
		Expect(c.PgConn().ParameterStatus("buckthornshore.position")).To(Equal("1/2"))

		batch.Queue("insert into t (k, v) values ('r', '1')")
		Expect(c.SendBatch(ctx, batch).Close()).NotTo(Succeed())
		Expect(get(c, "r")).To(BeEmpty())

		_, err := c.PgConn().Exec(ctx, "insert into t (k, v) values ('s', '1'); insert into t (k, v) values ('s', '1')").ReadAll()
		Expect(code(err)).To(Equal("23505"))
		Expect(get(c, "s")).To(BeEmpty())
	})
})

var _ = DescribeTable("LIKE", func(pattern, text string, matches bool) {
	Expect(database.Like(pattern, text)).To(Equal(matches))
},
	Entry(nil, "", "", true), Entry(nil, "", "a", false), Entry(nil, "%", "", true),
	Entry(nil, "a%", "abc", true), Entry(nil, "a%", "ba", false), Entry(nil, "a", "ab", false),
	Entry(nil, "a_c%", "abcd", true), Entry(nil, "a_", "a", false), Entry(nil, "%b%d", "abcbd", true),
	Entry(nil, "%b%d", "abcb", false), Entry(nil, `a\%`, "a%", true), Entry(nil, `a\%`, "ab", false),
	Entry("many wildcards on a long key", strings.Repeat("%a", 40)+"%b", strings.Repeat("a", 5000), false),
)
