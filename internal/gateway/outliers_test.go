package gateway_test

import (
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/gateway"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/outlier"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
)

// logLines keeps what a server logs.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// last returns the value of a key in the last line that has it.
func (l *logLines) last(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, value, _ := strings.Cut(l.text.String()[max(0, strings.LastIndex(l.text.String(), " "+key+"=")):], "=")
	value, _, _ = strings.Cut(value, " ")
	return value
}

// startAvoiding starts a server that avoids outliers.
func startAvoiding(t *testing.T) (*fixture, *logLines) {
	t.Helper()
	lines := &logLines{}
	f := start(t, func(o *gateway.Options) {
		o.AvoidOutliers, o.Log = true, slog.New(slog.NewTextHandler(lines, nil))
	})
	return f, lines
}

// lagging makes the replica hold what the primary wrote the given time ago, and opens a session that has written
// since. The primary then refuses all statements because of its load.
func (f *fixture) lagging(lag time.Duration) *client {
	f.t.Helper()
	f.server.Positions().Add(group, routing.Sample{Begun: mono.System{}.Now().Add(-lag), Position: position.Position{Term: 1, Index: 1}})
	c := f.open("own")
	c.expect("write a 1", "I ok d")
	refusals := &atomic.Int64{}
	refusals.Store(math.MaxInt32)
	f.refuseStatements(refusals)
	return c
}

func (l *logLines) expectFewAttempts(t *testing.T) {
	t.Helper()
	var n int
	if _, err := fmt.Sscan(l.last("attempts"), &n); err != nil || n == 0 || n > outlier.MaxAttempts {
		t.Fatalf("%d attempts, %v", n, err)
	}
}

// Guards against reads that ask lagging replicas and a saturated primary until their deadline.
func TestReadIsRefusedWhenNoReplicaCatchesUpInTime(t *testing.T) {
	f, lines := startAvoiding(t)
	c := f.lagging(8 * time.Second)
	for _, text := range []string{"read a", "begin_read_only"} {
		began := time.Now()
		if text == "read a" {
			c.expect(text, "I ReplicaBehind not run")
		} else {
			c.expect(text, "T ok")
			c.expect("read a", "E ReplicaBehind not run")
		}
		if took := time.Since(began); took > statementTimeout/2 {
			t.Fatalf("%s was held for %v", text, took)
		}
		lines.expectFewAttempts(t)
		if after, err := time.ParseDuration(lines.last("retry_after")); err != nil || after < 7*time.Second || after > 8*time.Second {
			t.Fatalf("retry after %v, %v", after, err)
		}
	}
}

// Guards against refusals of reads that a replica will be able to serve before their deadline.
func TestReadWaitsForReplicaThatCatchesUp(t *testing.T) {
	f, _ := startAvoiding(t)
	c := f.lagging(200 * time.Millisecond)
	d := f.databases[replica]
	time.AfterFunc(150*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.position.Index = 2
	})
	c.expect("read a", "I ok d")
	if ran := d.statements(); ran != "read a" {
		t.Fatalf("at the replica: %s", ran)
	}
}

// Guards against writes that are sent to a saturated primary until their deadline.
func TestAttemptsAtSaturatedPrimaryAreLimited(t *testing.T) {
	f, lines := startAvoiding(t)
	var refusals atomic.Int64
	f.refuseStatements(&refusals)
	refusals.Store(outlier.MaxAttempts / 2)
	f.open("newest").expect("write a 1", "I ok d")
	refusals.Store(math.MaxInt32)
	f.open("newest").expect("write a 2", "I TargetBusy not run")
	lines.expectFewAttempts(t)
}

// Guards against requests that are refused while the primary is being replaced.
func TestRequestsWaitForRightBeyondTheirAttempts(t *testing.T) {
	f, _ := startAvoiding(t)
	f.rights.set(false)
	time.AfterFunc(statementTimeout/2, func() { f.rights.set(true) })
	f.open("newest").expect("write a 1", "I ok d")
	f.markLeaving(primary, longAgo)
	time.AfterFunc(statementTimeout/2, func() {
		f.rights.mu.Lock()
		f.rights.row.Primary, f.rights.row.Term = replica, 2
		f.rights.mu.Unlock()
		f.rights.set(true)
	})
	f.open("newest").expect("write a 2", "I ok d")
}

// Guards against reads that keep going to a replica that fails.
func TestReadsAvoidReplicaThatFails(t *testing.T) {
	f, lines := startAvoiding(t)
	c := f.open("bounded")
	n := f.open("newest")
	var asked atomic.Int64
	f.databases[replica].before = func(string) (*result.Error, error) {
		asked.Add(1)
		return result.New(result.TargetFailed, ""), nil
	}
	for range 100 {
		n.expect("read a", "I ok d")
		c.expect("read a", "I ok d")
	}
	if got := asked.Load(); got > 30 {
		t.Fatalf("%d of 100 reads went to the replica", got)
	}
	if got := lines.last("reason"); got != "failing" {
		t.Fatalf("the log gives the reason %q", got)
	}
}
