package sqlparse_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

func TestParse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sqlparse")
}

var _ = Describe("Parse", func() {
	It("parses quotes, comments and several statements", func() {
		stmts, err := sqlparse.Parse("-- one;\nUPDATE \"T\" set V = 'it''s;' where k = -5;; select $2::text")
		Expect(err).NotTo(HaveOccurred())
		Expect(stmts).To(HaveLen(2))
		Expect(*stmts[0]).To(Equal(sqlparse.Statement{
			Kind: sqlparse.Update, Table: "T",
			Key:   sqlparse.Operand{Literal: "-5"},
			Value: sqlparse.Operand{Literal: "it's;"},
		}))
		Expect(stmts[1].Params).To(Equal(2))
	})

	It("keeps the text of a control statement", func() {
		stmts, err := sqlparse.Parse(" BTS FOLLOW 3 db-a.1 127.0.0.1:7000 ;")
		Expect(err).NotTo(HaveOccurred())
		Expect(stmts[0].Text).To(Equal("BTS FOLLOW 3 db-a.1 127.0.0.1:7000"))
	})

	DescribeTable("returns an error for unsupported or malformed SQL", func(sql string) {
		_, err := sqlparse.Parse(sql)
		Expect(err).To(HaveOccurred())
	},
		Entry(nil, "drop table t"),
		Entry(nil, "select v from t"),
		Entry(nil, "select v from t where k = $0"),
		Entry(nil, "select v from t where k = $99999999999999999999"),
		Entry(nil, "insert into t (k, v) values ('a', 'b"),
		Entry(nil, "insert into t (k, v) values ('a', 'b') on conflict do update set v = excluded.v"),
		Entry(nil, "update t set v = 1 where k = 2 3"),
		Entry(nil, "set x = $1"),
		Entry(nil, "begin; commit; ?"),
	)
})

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", ";", "select 1", "select v from t where k = $1", "select k, v from t where k like 'a%'",
		"insert into t (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v",
		"update t set v = v + -1 where k = 'x'", "begin; set a.b to 'c'; commit", "bts follow 1 a 127.0.0.1:1",
		"select 'it''s", "--", "$", "\"", "::",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		stmts, err := sqlparse.Parse(sql)
		if err != nil && stmts != nil {
			t.Fatalf("both statements and error %v", err)
		}
		for _, s := range stmts {
			if s.Key.Param > s.Params || s.Value.Param > s.Params {
				t.Fatalf("parameter beyond the count in %+v", s)
			}
		}
	})
}
