package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// sessionShape is the deployment for the measurements of sessions and statements: one
// daemon in each of the three data centres, and one group.
var sessionShape = Shape{Daemons: dataCentres, Groups: 1}

const (
	callTimeout = 10 * time.Second
	// maxConcurrentOpens limits the number of sessions being opened at once.
	maxConcurrentOpens = 16
	// quietTime passes between opening sessions and measuring memory, so that garbage
	// is collected and memory that only opening needed is released.
	quietTime = 5 * time.Second
	testKey   = "k"
)

// Statements for the only kind of table that the stand-in database has.
const (
	putSQL = "insert into t (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v"
	getSQL = "select v from t where k = $1"
)

// connect opens a session whose statements are not prepared. An empty class
// omits the settings of the proxy, for a session directly at a target.
func connect(address, class string) (*pgx.Conn, error) {
	conf, err := pgx.ParseConfig(fmt.Sprintf("postgres://caller@%s/db?sslmode=disable", address))
	if err != nil {
		return nil, err
	}
	conf.DefaultQueryExecMode = pgx.QueryExecModeExec
	if class != "" {
		conf.RuntimeParams["buckthornshore.service"] = serviceName
		conf.RuntimeParams["buckthornshore.class"] = class
		conf.RuntimeParams["buckthornshore.group"] = "g0"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, conf)
}

func closeSession(c *pgx.Conn) { _ = c.Close(context.Background()) } // The deployment is stopped afterwards anyway.

func put(c *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := c.Exec(ctx, putSQL, testKey, "v")
	return err
}

func get(c *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var value string
	return c.QueryRow(ctx, getSQL, testKey).Scan(&value)
}

// awaitWrite waits until the deployment acknowledges a write.
func (d *deployment) awaitWrite() error {
	return await("a write", func() error {
		c, err := connect(d.shape.callerAddress(0), writeClass)
		if err != nil {
			return err
		}
		defer closeSession(c)
		return put(c)
	})
}

// MeasureSessions returns the first daemon's resident memory with each number of open
// sessions; each session has executed one read and is idle.
func MeasureSessions(p Programs, counts []int) ([]Point, error) {
	d, err := deploy(p, sessionShape)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.awaitWrite(); err != nil {
		return nil, err
	}
	var open []*pgx.Conn
	var points []Point
	for _, n := range counts {
		more, err := openSessions(d.shape.callerAddress(0), n-len(open))
		open = append(open, more...)
		if err != nil {
			return nil, err
		}
		time.Sleep(quietTime)
		rss, err := d.daemons[0].rss()
		if err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(n), Value: rss})
	}
	return points, nil
}

func openSessions(address string, n int) ([]*pgx.Conn, error) {
	var mu sync.Mutex
	var open []*pgx.Conn
	var failure error
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentOpens)
	for range n {
		semaphore <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-semaphore }()
			c, err := connect(address, readClass)
			if err == nil {
				err = get(c)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
				return
			}
			open = append(open, c)
		}()
	}
	wait.Wait()
	return open, failure
}

// StatementCost is the cost of one statement.
type StatementCost struct {
	// Core is the processor time per statement, summed over all daemons, among them
	// the entry and the pooler, less what they use when idle.
	Core time.Duration
	// Latency is the median latency with one caller through the proxy, and Direct that
	// of the same statement sent directly to the target.
	Latency, Direct time.Duration
}

// MeasureStatements measures statements in pairs of rounds: directly at the target, then
// through the proxy.
func MeasureStatements(p Programs, kind config.Kind, pairs int, round time.Duration) ([]StatementCost, error) {
	d, err := deploy(p, sessionShape)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.awaitWrite(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	idle, err := d.measureIdle(round)
	if err != nil {
		return nil, err
	}
	var out []StatementCost
	for range pairs {
		s, err := d.measurePair(kind, round, idle)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (d *deployment) measurePair(kind config.Kind, round time.Duration, idle IdleCost) (s StatementCost, err error) {
	class, call := readClass, get
	if kind == config.Write {
		class, call = writeClass, put
	}
	direct, _, err := measureLatency(d.shape.targetAddress(0), "", call, round)
	if err != nil {
		return s, err
	}
	before, err := d.cpu()
	if err != nil {
		return s, err
	}
	startedAt := time.Now()
	proxied, n, err := measureLatency(d.shape.callerAddress(0), class, call, round)
	if err != nil {
		return s, err
	}
	after, err := d.cpu()
	if err != nil {
		return s, err
	}
	idleCPU := time.Duration(idle.Core * float64(len(d.daemons)) * float64(time.Since(startedAt)))
	return StatementCost{Core: (after - before - idleCPU) / time.Duration(n), Latency: proxied, Direct: direct}, nil
}

// cpu returns the processor time of all daemons.
func (d *deployment) cpu() (sum time.Duration, err error) {
	for _, p := range d.daemons {
		used, err := p.cpu()
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// measureLatency runs statements one after the other for the duration of a round and
// returns their median latency and their number.
func measureLatency(address, class string, call func(*pgx.Conn) error, round time.Duration) (time.Duration, int, error) {
	c, err := connect(address, class)
	if err != nil {
		return 0, 0, err
	}
	defer closeSession(c)
	var latencies []float64
	for deadline := time.Now().Add(round); time.Now().Before(deadline); {
		startedAt := time.Now()
		if err := call(c); err != nil {
			return 0, 0, err
		}
		latencies = append(latencies, float64(time.Since(startedAt)))
	}
	return time.Duration(SpreadOf(latencies).Median), len(latencies), nil
}
