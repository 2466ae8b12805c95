package integration_test

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var modes = map[string]pgx.QueryExecMode{
	"cache statement": pgx.QueryExecModeCacheStatement,
	"cache describe":  pgx.QueryExecModeCacheDescribe,
	"describe exec":   pgx.QueryExecModeDescribeExec,
	"exec":            pgx.QueryExecModeExec,
	"simple":          pgx.QueryExecModeSimpleProtocol,
}

// oddTexts are texts that a codec or a quotation may lose or change.
var oddTexts = []string{
	"", " ", "  x  y ", "\t", "\r\n", "\x01\v\f", "'", "''", `\`, `\'`, `"`, "$1", "%", "; select 1 --", "/* */", "null", "\u00a0\u2028", "ÿ€𝄞",
	strings.Repeat("x y ", 1000), strings.Repeat("'\\", 20_000) + " ",
}

// shardKeyBytes is how much of a long key is its shard key.
const shardKeyBytes = 100

var _ = Describe("The protocol", Ordered, func() {
	var d *deployment
	BeforeAll(func() { d = deploy(deployOptions{groups: 1, proxies: 3, editConfig: addClasses}) })

	// connectMode opens a session of the class in one of pgx's query execution modes.
	connectMode := func(class string, mode pgx.QueryExecMode) *pgx.Conn {
		c := d.mustConnect(0, class)
		conf := c.Config()
		conf.DefaultQueryExecMode = mode
		other, err := pgx.ConnectConfig(timeoutContext(5*time.Second), conf)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { other.Close(context.Background()) })
		return other
	}

	for name, mode := range modes {
		It("serves statements, options and batches in pgx's mode "+name, func() {
			c := connectMode(classNote, mode)
			ctx := timeoutContext(20 * time.Second)
			for i := range 3 {
				Expect(put(c, "mode", strconv.Itoa(i))).To(Succeed())
				Expect(get(c, "mode")).To(Equal(strconv.Itoa(i)))
			}
			_, err := c.Exec(ctx, "set buckthornshore.class = 'quota-balance'")
			Expect(err).NotTo(HaveOccurred())
			var class string
			Expect(c.QueryRow(ctx, "show buckthornshore.class").Scan(&class)).To(Succeed())
			Expect(class).To(Equal("quota-balance"))
			_, err = c.Exec(ctx, "reset buckthornshore.class")
			Expect(err).NotTo(HaveOccurred())

			batch := &pgx.Batch{}
			batch.Queue("set buckthornshore.class = 'note'")
			batch.Queue(putSQL, "mode", "batch")
			batch.Queue("select v from quota where k = $1", "mode")
			results := c.SendBatch(ctx, batch)
			_, err = results.Exec()
			Expect(err).NotTo(HaveOccurred())
			_, err = results.Exec()
			Expect(err).NotTo(HaveOccurred())
			var value string
			Expect(results.QueryRow().Scan(&value)).To(Succeed())
			Expect(results.Close()).To(Succeed())
			Expect(value).To(Equal("batch"))

			_, err = c.Exec(ctx, "set buckthornshore.nonsense = '1'")
			Expect(sqlState(err)).To(Equal("BT001"))
			_, err = c.Exec(ctx, "selekt 1")
			Expect(sqlState(err)).To(Equal("42601"))
			Expect(get(c, "mode")).To(Equal("batch"))
		})

		// Preparing a statement takes a round trip of its own. If it used up the request's
		// id, the execution that follows would be refused as already run.
		It("runs a class that may not be repeated once in pgx's mode "+name, func() {
			c := connectMode(classOnce, mode)
			set(c, "request_id", "once-"+name)
			Expect(put(c, "once-"+name, "1")).To(Succeed())
			Expect(sqlState(put(c, "once-"+name, "2"))).To(Equal("BT212"))
			set(c, "class", "quota-balance")
			Expect(get(c, "once-"+name)).To(Equal("1"))
		})
	}

	for name, mode := range modes {
		// Guards against parameters, rows or options that lose or change bytes on their way: keys and values of one
		// shape would not show it.
		It("passes parameters and rows of any text in pgx's mode "+name, func() {
			c := connectMode(classNote, mode)
			for i, odd := range oddTexts {
				key := name + strconv.Itoa(i) + odd
				set(c, "shard_key", strings.ReplaceAll(key[:min(len(key), shardKeyBytes)], "'", "''"))
				Expect(put(c, key, odd)).To(Succeed(), "%.40q", odd)
				set(c, "class", "quota-balance")
				Expect(get(c, key)).To(Equal(odd), "%.40q", odd)
				set(c, "class", classNote)
			}
		})
	}

	It("accepts session options only before the other statements of a simple query", func() {
		c := d.mustConnect(0, "quota-balance")
		ctx := timeoutContext(10 * time.Second)
		_, err := c.Exec(ctx, "set buckthornshore.class = 'note'; set buckthornshore.shard_key to x; "+
			"insert into quota (k, v) values ('multi', '1') on conflict (k) do update set v = excluded.v", pgx.QueryExecModeSimpleProtocol)
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "multi")).To(Equal("1"))
		for _, sql := range []string{
			"select 1; set buckthornshore.term = ''",
			"/* */ set buckthornshore.wait_for = ''",
			"set local buckthornshore.term = '9'",
			"set buckthornshore.term = '9'",
		} {
			_, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
			Expect(sqlState(err)).To(Equal("BT001"), sql)
		}
		Expect(get(c, "multi")).To(Equal("1"))
	})

	// A caller's settings must not stay on the database connection when another caller
	// gets it. Here, every write on that connection would fail as read-only.
	It("gives no caller the settings of another", func() {
		c := d.mustConnect(0, classNote)
		_, err := c.Exec(timeoutContext(5*time.Second), "set default_transaction_read_only = 'on'", pgx.QueryExecModeSimpleProtocol)
		Expect(err).NotTo(HaveOccurred())
		for range 20 {
			Expect(put(d.mustConnect(0, classNote), "settings", "1")).To(Succeed())
		}
	})

	It("passes over what follows an error up to the Sync, as PostgreSQL does", func() {
		c := d.mustConnect(0, classNote).PgConn()
		ctx := timeoutContext(10 * time.Second)
		p := c.StartPipeline(ctx)
		p.SendQueryPrepared("missing", nil, nil, nil)
		p.SendPrepare("after", "select v from quota where k = 'a'", nil)
		Expect(p.Sync()).To(Succeed())
		_, err := p.GetResults()
		if err == nil {
			err = p.Close()
		}
		Expect(sqlState(err)).To(Equal("26000"))
		_ = p.Close()
		Expect(c.IsClosed()).To(BeFalse())
		_, err = c.Prepare(ctx, "after", "select v from quota where k = $1", nil)
		Expect(err).NotTo(HaveOccurred(), "the statement after the error must have been skipped")
		for range 2 {
			_, err = c.Prepare(ctx, "twice", "select v from quota where k = $1", nil)
		}
		Expect(sqlState(err)).To(Equal("42P05"))
		_, err = c.Prepare(ctx, "wrong", "selekt", nil)
		Expect(sqlState(err)).To(Equal("42601"))
		_, err = c.Prepare(ctx, "wrong", "select v from quota where k = $1", nil)
		Expect(err).NotTo(HaveOccurred(), "a failed preparation leaves no statement")
	})
})
