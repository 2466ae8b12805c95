package database_test

import (
	"context"
	"flag"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

// A fixed seed makes the result reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestDatabase(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "database")
}

var ctx = context.Background()

// start starts a database that is closed when the test ends.
func start(cfg database.Config) *database.Database {
	GinkgoHelper()
	db, err := database.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	Expect(db.Listen("127.0.0.1:0")).To(Succeed())
	DeferCleanup(db.Close)
	return db
}

// startPrimary starts a database as the primary of term 1.
func startPrimary(cfg database.Config) *database.Database {
	GinkgoHelper()
	db := start(cfg)
	Expect(db.Promote(1)).To(Succeed())
	return db
}

// dial connects with the start-up parameters in params, as alternating names and
// values.
func dial(db *database.Database, params ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://u@" + db.Address() + "/d?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(params); i += 2 {
		cfg.RuntimeParams[params[i]] = params[i+1]
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// connectWithNotices connects and appends the SQLSTATE of each notice to codes.
func connectWithNotices(db *database.Database, codes *[]string) *pgx.Conn {
	GinkgoHelper()
	cfg, err := pgx.ParseConfig("postgres://u@" + db.Address() + "/d?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	cfg.OnNotice = func(_ *pgconn.PgConn, n *pgconn.Notice) { *codes = append(*codes, n.Code) }
	c, err := pgx.ConnectConfig(ctx, cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close(ctx) })
	return c
}

func connect(db *database.Database, params ...string) *pgx.Conn {
	GinkgoHelper()
	c, err := dial(db, params...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close(ctx) })
	return c
}

func control(db *database.Database) *pgx.Conn {
	GinkgoHelper()
	return connect(db, "buckthornshore.control", "on")
}

func run(c *pgx.Conn, sql string, args ...any) {
	GinkgoHelper()
	_, err := c.Exec(ctx, sql, args...)
	Expect(err).NotTo(HaveOccurred())
}

// get returns the value of key k in table t, or "" if there is none.
func get(c *pgx.Conn, key string) string {
	GinkgoHelper()
	var v string
	err := c.QueryRow(ctx, "select v from t where k = $1", key).Scan(&v)
	if errors.Is(err, pgx.ErrNoRows) {
		return ""
	}
	Expect(err).NotTo(HaveOccurred())
	return v
}

// code returns the SQLSTATE of err, or "" if it has none.
func code(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func execCode(c *pgx.Conn, sql string, args ...any) string {
	_, err := c.Exec(ctx, sql, args...)
	return code(err)
}
