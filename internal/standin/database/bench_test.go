package database_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/buckthornshore/buckthornshore/internal/standin/database"
)

// BenchmarkStatements measures the statement rate with a statement time of 0:
// half reads, half writes, on 1 connection and on 16, the default limit.
func BenchmarkStatements(b *testing.B) {
	for _, connections := range []int{1, 16} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			benchmark(b, connections)
		})
	}
}

func benchmark(b *testing.B, connections int) {
	db, err := database.New(database.Config{ID: "a", Connections: connections})
	if err == nil {
		err = db.Listen("127.0.0.1:0")
	}
	if err == nil {
		err = db.Promote(1)
	}
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	var group sync.WaitGroup
	start := make(chan struct{})
	for i := range connections {
		c, err := pgx.Connect(ctx, "postgres://u@"+db.Address()+"/d?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		group.Go(func() {
			<-start
			runStatements(b, c, fmt.Sprint("key", i), b.N/connections)
		})
	}
	b.ResetTimer()
	close(start)
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

func runStatements(b *testing.B, c *pgx.Conn, key string, n int) {
	for j := range n {
		sql, args := "select v from t where k = $1", []any{key}
		if j%2 == 0 {
			sql = "insert into t (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v"
			args = append(args, "value")
		}
		if _, err := c.Exec(ctx, sql, args...); err != nil {
			b.Error(err)
			return
		}
	}
}
