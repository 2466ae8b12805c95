package target_test

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// modelDriver opens connections to a model of a target, which refuses commands, or answers them late, at random.
type modelDriver struct {
	mu     sync.Mutex
	random *rand.Rand
	failed int
}

// fails decides whether something that may fail does.
func (d *modelDriver) fails() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.random.Float64() >= failureRate {
		return false
	}
	d.failed++
	return true
}

func (d *modelDriver) Dial(context.Context, topology.Target, topology.CustomerID) (target.Conn, error) {
	return &modelConn{driver: d, values: map[string]string{}, prepared: map[string]statement.Prepared{}, state: statement.Idle}, nil
}

// modelConn is the state of one connection at the target.
type modelConn struct {
	driver   *modelDriver
	values   map[string]string
	prepared map[string]statement.Prepared
	state    statement.State
}

func (c *modelConn) Close() {}

func (c *modelConn) Finish(time.Time) (statement.Answer, error) { return statement.Done(c.state), nil }

// failureRate is the share of commands that are refused, and that of those answered late.
const failureRate = 0.05

func (c *modelConn) Run(_ time.Time, cmd target.Command) (statement.Answer, error) {
	if c.driver.fails() {
		return statement.Fail(result.New(result.TargetBusy, ""), c.state), nil
	}
	c.apply(cmd)
	if c.driver.fails() {
		return statement.Answer{}, os.ErrDeadlineExceeded
	}
	return statement.Answer{Digest: "d", State: c.state}, nil
}

func (c *modelConn) apply(cmd target.Command) {
	switch cmd.Kind {
	case target.Reset:
		clear(c.values)
		clear(c.prepared)
	case target.Set:
		c.values[cmd.Name] = cmd.Value
	case target.PrepareRead, target.PrepareWrite:
		c.prepared[cmd.Name] = statement.Prepared{Shape: cmd.Value, Writes: cmd.Kind == target.PrepareWrite}
	case target.Begin, target.BeginReadOnly:
		c.state = statement.Open
	case target.Rollback:
		c.state = statement.Idle
	}
}

// Names, values and shapes of the sessions: empty ones, parts of each other, and odd bytes.
var (
	valueNames = []string{"", "a", "a\t", "a\x00", "A", "\xff"}
	values     = []string{"", " ", "x", "x ", " x", "x\t", "\xff"}
	shapes     = []string{"x", "x ", " x", "X", "x\x00", collidingShapes[0], collidingShapes[1]}
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) } //nolint:gosec // A test.

func pick(r *rand.Rand, from []string) string { return from[r.IntN(len(from))] }

// Guards against a statement that runs with other values than its session's, or with another shape, after any course of
// sessions on shared connections, of refusals and of late answers, within transactions as well.
func TestSessionsOnSharedConnectionsSeeTheirOwnState(t *testing.T) {
	const seeds, steps = 30, 300
	for seed := range uint64(seeds) {
		d, random := &modelDriver{random: newRandom(seed, 1)}, newRandom(seed, 2)
		p := target.NewPool(topology.Target{ID: "t"}, 1, d, mono.System{}, slog.New(slog.DiscardHandler))
		sessions := make([]statement.Context, 3)
		ran := 0
		for range steps {
			s := &sessions[random.IntN(len(sessions))]
			changeSession(random, s)
			ran += runOperation(t, p, random, s)
			if random.IntN(20) == 0 {
				samplePosition(t, p)
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		if ran < steps/2 {
			t.Fatalf("seed %d: %d statements ran", seed, ran)
		}
	}
}

func changeSession(r *rand.Rand, s *statement.Context) {
	switch r.IntN(3) {
	case 0:
		_ = s.Apply(set(pick(r, valueNames), pick(r, values)))
	case 1:
		_ = s.Apply(&statement.Statement{Kind: statement.Prepare, Name: "p", Shape: pick(r, shapes), Writes: r.IntN(2) == 0})
	case 2:
		if r.IntN(10) == 0 {
			*s = statement.Context{} // Another session begins.
		}
	}
}

func set(name, value string) *statement.Statement {
	return &statement.Statement{Kind: statement.Set, Name: name, Value: value}
}

// runOperation sets a connection up for a statement of the session, at times in a transaction with a change of the
// session between two statements. It returns how many statements could run.
func runOperation(t *testing.T, p *target.Pool, r *rand.Rand, s *statement.Context) int {
	l := acquire(t, p, s.Values())
	defer l.Release()
	if r.IntN(3) > 0 {
		return runStatement(t, l, s)
	}
	if l.ApplyValues(soon(), s.Values()) != nil || l.Begin(soon(), false, position.Position{}) != nil {
		return 0
	}
	ran := runStatement(t, l, s)
	if ran == 0 {
		return 0
	}
	_ = s.Apply(set(pick(r, valueNames), pick(r, values)))
	return ran + runStatement(t, l, s)
}

func runStatement(t *testing.T, l *target.Link, s *statement.Context) int {
	inTransaction := l.InTransaction()
	if l.ApplyValues(soon(), s.Values()) != nil {
		return 0
	}
	c, ok := target.ConnOf(l).(*modelConn)
	if !ok {
		t.Fatal("no connection to the model")
	}
	if prepared, failure := s.Prepared("p"); failure == nil {
		name, err := l.EnsurePrepared(soon(), prepared)
		if err != nil {
			return 0
		}
		if got, ok := c.prepared[name]; !ok || got != prepared {
			t.Errorf("%q runs %+v, %v; its session prepared %+v", name, got, ok, prepared)
		}
	}
	if !maps.Equal(c.values, s.Values()) {
		t.Errorf("runs with the values %q, its session has %q", c.values, s.Values())
	}
	if (c.state == statement.Open) != inTransaction {
		t.Errorf("runs in the state %c; in a transaction: %v", c.state, inTransaction)
	}
	return 1
}

// samplePosition asks for the target's position, which clears the connection.
func samplePosition(t *testing.T, p *target.Pool) {
	l := acquire(t, p, nil)
	defer l.Release()
	_, _ = l.Position(soon())
}
