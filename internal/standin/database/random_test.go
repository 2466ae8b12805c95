package database_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

// group is a primary and two replicas.
type group struct {
	t       *rapid.T
	dir     string
	dbs     []*database.Database
	primary int
	term    uint64
	writes  int
	// replicated holds the keys whose commit all three databases acknowledged.
	replicated []string
}

func newGroup(t *rapid.T) *group {
	dir, err := os.MkdirTemp("", "database")
	if err != nil {
		t.Fatal(err)
	}
	g := &group{t: t, dir: dir}
	for i := range 3 {
		g.dbs = append(g.dbs, g.open(i))
	}
	g.promote(0)
	return g
}

func (g *group) close() {
	for _, db := range g.dbs {
		db.Close()
	}
	_ = os.RemoveAll(g.dir)
}

func (g *group) id(i int) string { return "db" + strconv.Itoa(i) }

func (g *group) check(err error) {
	if err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) open(i int) *database.Database {
	db, err := database.New(database.Config{ID: g.id(i), DataFile: filepath.Join(g.dir, g.id(i))})
	g.check(err)
	g.check(db.Listen("127.0.0.1:0"))
	return db
}

// promote makes database i the primary of a new term; the others follow it.
func (g *group) promote(i int) {
	g.term++
	g.primary = i
	g.check(g.dbs[i].Promote(g.term))
	for j, db := range g.dbs {
		if j != i {
			g.check(db.Follow(g.term, g.id(i), g.dbs[i].Address()))
		}
	}
}

// write commits a new key on the primary. If waits is set, the commit waits for
// both replicas.
func (g *group) write(waits bool) {
	c, err := pgx.Connect(ctx, "postgres://u@"+g.dbs[g.primary].Address()+"/d?sslmode=disable")
	g.check(err)
	defer c.Close(ctx)
	g.writes++
	key := strconv.Itoa(g.writes)
	if waits {
		sql := fmt.Sprintf("set buckthornshore.wait_for = '%s,%s'", g.id((g.primary+1)%3), g.id((g.primary+2)%3))
		_, err = c.Exec(ctx, sql)
		g.check(err)
		g.replicated = append(g.replicated, key)
	}
	_, err = c.Exec(ctx, "insert into t (k, v) values ($1, $1)", key)
	g.check(err)
}

// restart closes a replica and reopens it from its data file.
func (g *group) restart(offset int) {
	i := (g.primary + offset) % 3
	g.dbs[i].Close()
	g.dbs[i] = g.open(i)
}

// disconnect disconnects a replica from the primary, so that the logs may diverge.
func (g *group) disconnect(offset int) {
	i := (g.primary + offset) % 3
	g.check(g.dbs[i].Follow(g.term, g.id(g.primary), "127.0.0.1:1"))
}

func (g *group) converged() bool {
	for _, db := range g.dbs {
		if db.Position() != g.dbs[g.primary].Position() {
			return false
		}
	}
	return true
}

func (g *group) rows(i int) string {
	c, err := pgx.Connect(ctx, "postgres://u@"+g.dbs[i].Address()+"/d?sslmode=disable")
	g.check(err)
	defer c.Close(ctx)
	rows, err := c.Query(ctx, "select k, v from t where k like '%'")
	g.check(err)
	all, err := pgx.CollectRows(rows, pgx.RowToMap)
	g.check(err)
	return fmt.Sprint(all)
}

var _ = Describe("A group under random failovers", func() {
	// Replicas are disconnected, restarted and promoted in random order, so that
	// logs diverge and are truncated. A commit that all three databases
	// acknowledged must survive, and all must finally hold the same rows.
	It("converges and keeps every commit that all databases acknowledged", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := newGroup(t)
			defer g.close()
			connected := true
			for range rapid.IntRange(1, 15).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					g.promote(rapid.IntRange(0, 2).Draw(t, "primary"))
					connected = true
				case 1:
					g.restart(rapid.IntRange(1, 2).Draw(t, "replica"))
				case 2:
					g.disconnect(rapid.IntRange(1, 2).Draw(t, "replica"))
					connected = false
				default:
					g.write(connected && rapid.Bool().Draw(t, "waits"))
				}
			}
			g.promote(g.primary)
			for deadline := time.Now().Add(10 * time.Second); !g.converged(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the databases have not converged after 10 s")
				}
			}
			g.verify()
		})
	})
})

func (g *group) verify() {
	first := g.rows(0)
	for i := range g.dbs {
		if rows := g.rows(i); rows != first {
			g.t.Fatalf("%s has %s, %s has %s", g.id(0), first, g.id(i), rows)
		}
	}
	c, err := pgx.Connect(ctx, "postgres://u@"+g.dbs[g.primary].Address()+"/d?sslmode=disable")
	g.check(err)
	defer c.Close(ctx)
	for _, key := range g.replicated {
		var v string
		if err := c.QueryRow(ctx, "select v from t where k = $1", key).Scan(&v); err != nil {
			g.t.Fatalf("key %s: %v", key, err)
		}
	}
}
