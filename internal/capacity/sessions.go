package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// sessionShape carries the callers' measurements: one daemon in each of the
// three data centres, and one group.
var sessionShape = Shape{Daemons: dataCentres, Groups: 1}

const (
	callTimeout = 10 * time.Second
	// openers open sessions at once.
	openers = 16
	// quietTime after sessions were opened: garbage is collected and what only
	// the start needed is let go.
	quietTime = 5 * time.Second
	keyPut    = "k"
)

// Statements of the stand-in's one kind of table.
const (
	putSQL = "insert into t (k, v) values ($1, $2) on conflict (k) do update set v = excluded.v"
	getSQL = "select v from t where k = $1"
)

// connect opens a session that has no prepared statements of its own.
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

func closeSession(c *pgx.Conn) { _ = c.Close(context.Background()) } // The daemon goes anyway.

func put(c *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := c.Exec(ctx, putSQL, keyPut, "v")
	return err
}

func get(c *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var value string
	return c.QueryRow(ctx, getSQL, keyPut).Scan(&value)
}

// firstWrite waits until the deployment takes a write.
func (d *deployment) firstWrite() error {
	return await("a write", func() error {
		c, err := connect(d.shape.callerAddress(0), writeClass)
		if err != nil {
			return err
		}
		defer closeSession(c)
		return put(c)
	})
}

// MeasureSessions returns the first daemon's resident memory with each number of
// sessions open; each has read once and is idle.
func MeasureSessions(p Programs, counts []int) ([]Point, error) {
	d, err := deploy(p, sessionShape)
	if err != nil {
		return nil, err
	}
	defer d.end()
	if err := d.firstWrite(); err != nil {
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
	places := make(chan struct{}, openers)
	for range n {
		places <- struct{}{}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-places }()
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

// Statement is what one statement costs.
type Statement struct {
	// Core is the daemons' processor time a statement, entry and pooler together.
	Core time.Duration
	// Latency is the median with one caller, through the proxy and direct.
	Latency, Direct time.Duration
}

// MeasureStatements runs pairs of rounds, through the proxy and direct.
func MeasureStatements(p Programs, kind config.Kind, pairs int, round time.Duration) ([]Statement, error) {
	d, err := deploy(p, sessionShape)
	if err != nil {
		return nil, err
	}
	defer d.end()
	if err := d.firstWrite(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	idle, err := d.rest(round)
	if err != nil {
		return nil, err
	}
	var out []Statement
	for range pairs {
		s, err := d.pair(kind, round, idle)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (d *deployment) pair(kind config.Kind, round time.Duration, idle Rest) (s Statement, err error) {
	class, call := readClass, get
	if kind == config.Write {
		class, call = writeClass, put
	}
	direct, _, err := timed(d.shape.targetAddress(0), "", call, round)
	if err != nil {
		return s, err
	}
	before, err := d.cpu()
	if err != nil {
		return s, err
	}
	begun := time.Now()
	proxied, n, err := timed(d.shape.callerAddress(0), class, call, round)
	if err != nil {
		return s, err
	}
	after, err := d.cpu()
	if err != nil {
		return s, err
	}
	atRest := time.Duration(idle.Core * float64(len(d.daemons)) * float64(time.Since(begun)))
	return Statement{Core: (after - before - atRest) / time.Duration(n), Latency: proxied, Direct: direct}, nil
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

// timed runs statements one after the other and returns the median and number.
func timed(address, class string, call func(*pgx.Conn) error, round time.Duration) (time.Duration, int, error) {
	c, err := connect(address, class)
	if err != nil {
		return 0, 0, err
	}
	defer closeSession(c)
	var took []float64
	for end := time.Now().Add(round); time.Now().Before(end); {
		begun := time.Now()
		if err := call(c); err != nil {
			return 0, 0, err
		}
		took = append(took, float64(time.Since(begun)))
	}
	return time.Duration(SpreadOf(took).Median), len(took), nil
}
